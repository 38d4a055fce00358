package session

import (
	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"wayloft/internal/pg"
)

// expectedReply is a reply expected from the member that changes the session state.
type expectedReply struct {
	kind     pg.Kind                          // ParseComplete, CloseComplete or CommandComplete
	prepared *iradix.Tree[*PreparedStatement] // for ParseComplete and CloseComplete: the prepared statements that the reply confirms
	command  Command                          // for CommandComplete: the completed command
}

// expectCompletion records a statement, whose effects are applied once the member reports its completion. wholeUnit means that it runs only
// once the member has received the whole unit.
func (s *Session) expectCompletion(c Command, wholeUnit bool) {
	s.recordCommand(c)
	if !s.effect.begun {
		s.effect = unitEffect{begun: true, inTransaction: s.status != StatusIdle}
	}
	s.effect.add(c, wholeUnit)
	s.statementRan = s.statementRan || c.Kind == pg.OtherCommand
	s.expected = append(s.expected, expectedReply{kind: pg.CommandComplete, command: c})
}

// expectPrepared records that a reply of the given kind will confirm the current prepared statements.
func (s *Session) expectPrepared(kind pg.Kind) {
	s.expected = append(s.expected, expectedReply{kind: kind, prepared: s.prepared})
}

// recordCommand records what is known of a request from a statement before the statement has run.
func (s *Session) recordCommand(c Command) {
	if s.firstCommand == nil {
		s.firstCommand = &c
	} else if s.firstCommand.Label == nil && c.Label != nil && s.firstCommand.Kind == pg.Begin {
		s.firstCommand.Label = c.Label
	}
	if c.StickyReason != "" {
		s.stickyReason = c.StickyReason
	}
}

// ServerMessage handles a message from the member that is passed on to the client.
func (s *Session) ServerMessage(m *pg.Message) {
	switch m.Kind {
	case pg.ParseComplete, pg.CloseComplete:
		if reply := s.popExpected(m.Kind); reply != nil {
			s.confirmed = reply.prepared
		}
	case pg.CommandComplete:
		if reply := s.popExpected(pg.CommandComplete); reply != nil {
			s.applyCompletion(reply.command, m.Text)
		}
	case pg.EmptyQuery, pg.PortalSuspended:
		s.popExpected(pg.CommandComplete)
	case pg.ErrorResponse:
		s.errorReceived, s.expected, s.prepared = true, nil, s.confirmed
	case pg.ReadyForQuery:
		s.readyForQuery(m.Status)
	}
}

// popExpected removes and returns the first expected reply if it is of the given kind; otherwise it returns nil.
func (s *Session) popExpected(kind pg.Kind) *expectedReply {
	if len(s.expected) == 0 || s.expected[0].kind != kind {
		return nil
	}
	first := s.expected[0]
	s.expected = s.expected[1:]
	return &first
}

// applyCompletion applies the effects of a statement that the member has completed with the given command tag.
func (s *Session) applyCompletion(c Command, tag string) {
	switch c.Kind {
	case pg.Set, pg.Reset, pg.ResetAll, pg.DiscardAll:
		s.applySettings(c)
	case pg.Deallocate:
		if c.Name == "" {
			s.deallocateAll()
		}
	case pg.Begin, pg.Commit, pg.Rollback, pg.Savepoint, pg.RollbackTo, pg.ReleaseSavepoint:
		s.applyTransaction(c, tag)
	}
}

func (s *Session) applySettings(c Command) {
	switch c.Kind {
	case pg.Set:
		if !c.Local {
			s.current = s.current.with(s.startup, effectOnSession(c.Settings)...)
		}
	case pg.Reset:
		s.current = s.current.with(s.startup, effectOnSession([]pg.Setting{{Name: c.Name}})...)
	case pg.ResetAll:
		s.current = settingsState{client: s.current.client.resetAll(s.startup), server: s.current.server.resetAll(NoSettings)}
	case pg.DiscardAll:
		s.current = settingsState{client: s.startup, server: NoSettings}
		s.resetSticky()
		s.deallocateAll()
	}
}
