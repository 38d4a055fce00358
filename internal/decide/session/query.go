package session

import "wayloft/internal/pg"

// Query handles a simple query. It returns either the answer for the client or the messages for a member. hasConn reports whether the
// transaction has a server connection.
func (s *Session) Query(sql string, raw []byte, hasConn bool) (answer []byte, messages []Message) {
	texts := pg.SplitStatements(sql)
	if len(texts) == 0 {
		if hasConn {
			return nil, []Message{{Kind: pg.Query, Raw: raw}}
		}
		return pg.AppendReadyForQuery(pg.AppendEmptyQuery(nil), s.status), nil
	}
	commands := make([]Command, len(texts))
	statementRan := s.statementRan
	for n, text := range texts {
		commands[n] = parseCommand(text)
		pgErr := s.policyError(commands[n])
		if pgErr == nil {
			pgErr = s.sequenceError(commands[n], statementRan)
		}
		statementRan = statementRan || commands[n].Kind == pg.OtherCommand
		if pgErr != nil {
			s.failTransaction()
			if hasConn {
				return nil, reject(pg.Query, pgErr)
			}
			return errorReply(pgErr, s.status), nil
		}
	}
	if s.status == StatusFailed && !hasConn {
		return s.queryInLostTransaction(commands, texts)
	}
	if len(commands) == 1 {
		if answer := s.answerLocally(commands[0], texts[0], hasConn); answer != nil {
			return answer, nil
		}
	}
	messages = s.FlushDeferredBegin()
	for _, c := range commands {
		s.expectCompletion(c, true)
	}
	return nil, append(messages, Message{Kind: pg.Query, Raw: raw})
}

// policyError returns an error if the policy of the pool does not allow a statement, else nil.
func (s *Session) policyError(c Command) *pg.Error {
	if c.StickyReason != "" && !s.policy.AllowSticky {
		text := c.StickyReason + " can't follow its client to another connection, and this pool pins none"
		return &pg.Error{Code: pg.FeatureNotSupported, Text: text}
	}
	if c.Kind != pg.Set {
		return nil
	}
	size := s.current.client.size
	for _, setting := range c.Settings {
		size += len(setting.Name) + len(setting.Value)
	}
	if size > s.policy.MaxSettingsBytes {
		return &pg.Error{Code: pg.ProgramLimitExceeded, Text: "the settings of this session are too long"}
	}
	return nil
}

// sequenceError returns an error if a statement asks for a value that an earlier statement of this client drew from a sequence, and the earlier
// statement may have run on another connection, else nil. statementRan reports whether one has run in the same transaction or message. A connection that went from client to client gives the value of another client.
func (s *Session) sequenceError(c Command, statementRan bool) *pg.Error {
	if c.ReadsSequence == "" || statementRan || s.Sticky() {
		return nil
	}
	text := c.ReadsSequence + "() gives the value of the connection, which may be that of another client: use RETURNING, or the same transaction"
	return &pg.Error{Code: pg.FeatureNotSupported, Text: text}
}

// failTransaction marks an open transaction as failed. Statements are rejected until the client ends it.
func (s *Session) failTransaction() {
	if s.status == StatusInTransaction {
		s.status = StatusFailed
		s.deferred = deferredBegin{}
	}
}

// answerLocally answers a statement that needs no member, or none yet. It returns nil if a member must answer the statement.
func (s *Session) answerLocally(c Command, text string, hasConn bool) []byte {
	switch c.Kind {
	case pg.Begin, pg.SetTransaction, pg.Commit, pg.Rollback:
		return s.answerDeferred(c, text)
	case pg.Set:
		return s.answerSet(c)
	case pg.Show:
		return s.answerShow(c, hasConn)
	case pg.Reset, pg.ResetAll, pg.DiscardAll:
		return s.answerReset(c)
	case pg.Deallocate:
		return s.answerDeallocate(c)
	}
	return nil
}

// answerSet answers a SET of one of the router's own settings.
func (s *Session) answerSet(c Command) []byte {
	if c.Local || s.status != StatusIdle && !s.deferred.pending() {
		return nil
	}
	if len(c.Settings) != 1 || !isRouterSetting(c.Settings[0].Name) {
		return nil
	}
	s.setClientSettings(s.current.client.with(s.startup, c.Settings...))
	return completionReply("SET", s.status)
}

// answerShow answers a SHOW of one of the router's own settings.
func (s *Session) answerShow(c Command, hasConn bool) []byte {
	if !isRouterSetting(c.Name) || hasConn && s.status != StatusIdle {
		return nil
	}
	row := pg.AppendTextRow(nil, c.Name, pg.Unquote(s.setting(c.Name)))
	return pg.AppendReadyForQuery(pg.AppendCommandComplete(row, "SHOW"), s.status)
}

// answerReset answers RESET, RESET ALL and DISCARD ALL. Unless a server connection holds state of the session, no member is needed: the
// next server connection gets the session's settings anyway.
func (s *Session) answerReset(c Command) []byte {
	if !s.detached() {
		return nil
	}
	switch c.Kind {
	case pg.Reset:
		s.setClientSettings(s.current.client.with(s.startup, effectOnSession([]pg.Setting{{Name: c.Name}})...))
	case pg.ResetAll:
		s.setClientSettings(s.current.client.resetAll(s.startup))
	case pg.DiscardAll:
		s.setClientSettings(s.startup)
		s.deallocateAll()
		return completionReply("DISCARD ALL", StatusIdle)
	}
	return completionReply("RESET", StatusIdle)
}

// answerDeallocate answers DEALLOCATE. The statements are removed from the session only, since those on server connections are shared
// with other sessions.
func (s *Session) answerDeallocate(c Command) []byte {
	if c.Name == "" {
		if !s.detached() {
			return nil
		}
		s.deallocateAll()
		return completionReply("DEALLOCATE ALL", StatusIdle)
	}
	if _, found := s.prepared.Get([]byte(c.Name)); !found || s.status == StatusFailed {
		return nil
	}
	s.prepared, _, _ = s.prepared.Delete([]byte(c.Name))
	s.confirmed = s.prepared
	return completionReply("DEALLOCATE", s.status)
}
