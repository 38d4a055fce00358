package session

import "wayloft/internal/pg"

// Query handles a simple query. It returns either the answer for the client, or the messages for a member. carried says whether a
// connection carries the transaction.
func (s *Session) Query(sql string, raw []byte, carried bool) (answer []byte, messages []Message) {
	texts := pg.SplitStatements(sql)
	if len(texts) == 0 {
		if carried {
			return nil, []Message{{Kind: pg.Query, Raw: raw}}
		}
		return pg.AppendReadyForQuery(pg.AppendEmptyQuery(nil), s.status), nil
	}
	commands := make([]Command, len(texts))
	for n, text := range texts {
		commands[n] = parseCommand(text)
		if fault := s.fault(commands[n]); fault != nil {
			s.failTransaction()
			if carried {
				return nil, reject(pg.Query, fault)
			}
			return failed(fault, s.status), nil
		}
	}
	if s.status == StatusFailed && !carried {
		return s.queryAfterLoss(commands[0]), nil
	}
	if len(commands) == 1 {
		if answer := s.answerLocally(commands[0], texts[0], carried); answer != nil {
			return answer, nil
		}
	}
	messages = s.FlushDeferredBegin()
	for _, c := range commands {
		s.expectCompletion(c)
	}
	return nil, append(messages, Message{Kind: pg.Query, Raw: raw})
}

// fault returns the error for a statement that the pool does not allow, else nil.
func (s *Session) fault(c Command) *pg.Error {
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

// failTransaction has an open transaction accept only its end.
func (s *Session) failTransaction() {
	if s.status == StatusInTransaction {
		s.status = StatusFailed
		s.deferred = deferredBegin{}
	}
}

// answerLocally answers a statement for which no member is needed, or not yet; nil if one is.
func (s *Session) answerLocally(c Command, text string, carried bool) []byte {
	switch c.Kind {
	case pg.Begin, pg.SetTransaction, pg.Commit, pg.Rollback:
		return s.answerDeferred(c, text)
	case pg.Set:
		return s.answerSet(c)
	case pg.Show:
		return s.answerShow(c, carried)
	case pg.Reset, pg.ResetAll, pg.DiscardAll:
		return s.answerReset(c)
	case pg.Deallocate:
		return s.answerDeallocate(c)
	}
	return nil
}

// answerSet sets a setting of the router's own.
func (s *Session) answerSet(c Command) []byte {
	if c.Local || s.status != StatusIdle && !s.deferred.pending() || !isRouterSetting(c.Settings[0].Name) {
		return nil
	}
	s.setLocally(s.current.client.with(s.startup, c.Settings...))
	return completed("SET", s.status)
}

// answerShow shows a setting of the router's own.
func (s *Session) answerShow(c Command, carried bool) []byte {
	if !isRouterSetting(c.Name) || carried && s.status != StatusIdle {
		return nil
	}
	row := pg.AppendTextRow(nil, c.Name, pg.Unquote(s.setting(c.Name)))
	return pg.AppendReadyForQuery(pg.AppendCommandComplete(row, "SHOW"), s.status)
}

// answerReset takes settings back. The next connection gets the session's settings in any case.
func (s *Session) answerReset(c Command) []byte {
	if !s.detached() {
		return nil
	}
	switch c.Kind {
	case pg.Reset:
		s.setLocally(s.current.client.with(s.startup, pg.Setting{Name: c.Name}))
	case pg.ResetAll:
		s.setLocally(s.startup)
	case pg.DiscardAll:
		s.setLocally(s.startup)
		s.deallocateAll()
		return completed("DISCARD ALL", StatusIdle)
	}
	return completed("RESET", StatusIdle)
}

// answerDeallocate removes prepared statements of the session. Members keep theirs, which are shared.
func (s *Session) answerDeallocate(c Command) []byte {
	if c.Name == "" {
		if !s.detached() {
			return nil
		}
		s.deallocateAll()
		return completed("DEALLOCATE ALL", StatusIdle)
	}
	if _, known := s.prepared.Get([]byte(c.Name)); !known || s.status == StatusFailed {
		return nil
	}
	s.prepared, _, _ = s.prepared.Delete([]byte(c.Name))
	s.confirmed = s.prepared
	return completed("DEALLOCATE", s.status)
}
