package session

import (
	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"wayloft/internal/pg"
)

// Extended handles a client message of an extended query or a COPY and returns the messages for the member.
func (s *Session) Extended(m pg.Message) []Message {
	switch m.Kind {
	case pg.Parse:
		return s.parse(m)
	case pg.Bind:
		return s.bind(m)
	case pg.Describe:
		return s.describe(m)
	case pg.Execute:
		return s.execute(m)
	case pg.Close:
		return s.close(m)
	case pg.Flush, pg.Sync, pg.CopyData, pg.CopyDone, pg.CopyFail:
		return forward(m)
	}
	return nil
}

func (s *Session) parse(m pg.Message) []Message {
	if _, exists := s.prepared.Get([]byte(m.Name)); exists && m.Name != "" {
		return reject(m.Kind, &pg.Error{Code: pg.DuplicatePreparedStatement, Text: `prepared statement "` + m.Name + `" already exists`})
	}
	if s.prepared.Len() >= s.policy.MaxStatements {
		return reject(m.Kind, &pg.Error{Code: pg.ProgramLimitExceeded, Text: "too many prepared statements in this session"})
	}
	statement := newPreparedStatement(m)
	if pgErr := s.policyError(statement.Command); pgErr != nil {
		return reject(m.Kind, pgErr)
	}
	s.prepared, _, _ = s.prepared.Insert([]byte(m.Name), statement)
	s.expectPrepared(pg.ParseComplete)
	if s.firstCommand == nil {
		first := statement.Command
		s.firstCommand = &first
	}
	return []Message{{Action: Prepare, Kind: m.Kind, Statement: statement}}
}

func (s *Session) bind(m pg.Message) []Message {
	statement, found := s.prepared.Get([]byte(m.Name))
	if !found {
		return reject(m.Kind, unknownStatementError(m.Name))
	}
	s.portals[m.Portal] = statement.Command
	return []Message{{Action: Bind, Kind: m.Kind, Portal: m.Portal, Statement: statement, Raw: append([]byte(nil), m.Tail...)}}
}

// targetPortal marks the target of a Describe or Close message as a portal.
const targetPortal = 'P'

func (s *Session) describe(m pg.Message) []Message {
	if m.Target == targetPortal {
		return s.forwardForPortal(m)
	}
	statement, found := s.prepared.Get([]byte(m.Name))
	if !found {
		return reject(m.Kind, unknownStatementError(m.Name))
	}
	return []Message{{Action: DescribeStatement, Kind: m.Kind, Statement: statement}}
}

func (s *Session) execute(m pg.Message) []Message {
	command, found := s.portals[m.Portal]
	if !found {
		return reject(m.Kind, &pg.Error{Code: pg.InvalidCursorName, Text: `portal "` + m.Portal + `" does not exist`})
	}
	if pgErr := s.sequenceError(command, s.statementRan); pgErr != nil {
		return reject(m.Kind, pgErr)
	}
	s.expectCompletion(command, false)
	return s.forwardForPortal(m)
}

// forwardForPortal returns a message to be sent unchanged, with the command of its portal.
func (s *Session) forwardForPortal(m pg.Message) []Message {
	messages := forward(m)
	if command, found := s.portals[m.Portal]; found {
		messages[0].Command = &command
	}
	return messages
}

// close closes a portal or a prepared statement of the session. A prepared statement is closed in the session only, since the one on
// the server connection is shared with other sessions.
func (s *Session) close(m pg.Message) []Message {
	if m.Target == targetPortal {
		delete(s.portals, m.Portal)
		s.expectPrepared(pg.CloseComplete)
		return forward(m)
	}
	s.prepared, _, _ = s.prepared.Delete([]byte(m.Name))
	s.expectPrepared(pg.CloseComplete)
	return []Message{{Action: AnswerLocally, Kind: m.Kind, Raw: pg.AppendEmptyMessage(nil, closeCompleteByte)}}
}

// deallocateAll removes all prepared statements of the session.
func (s *Session) deallocateAll() {
	s.prepared = iradix.New[*PreparedStatement]()
	s.confirmed = s.prepared
}

func unknownStatementError(name string) *pg.Error {
	return &pg.Error{Code: pg.InvalidSQLStatementName, Text: `prepared statement "` + name + `" does not exist`}
}

// LocalReply answers a unit that does not need a member. It reports false if the unit needs one.
func (s *Session) LocalReply(messages []Message) (answer []byte, local bool) {
	for _, message := range messages {
		switch {
		case message.Action == AnswerLocally:
			answer = append(answer, message.Raw...)
		case message.Kind == pg.Sync:
			answer = pg.AppendReadyForQuery(answer, s.status)
		case message.Kind != pg.Flush:
			return nil, false
		}
	}
	s.expected, s.confirmed = nil, s.prepared
	return answer, true
}
