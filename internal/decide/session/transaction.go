package session

import (
	"wayloft/internal/pg"
)

// settingsState is what a transaction that fails takes back.
type settingsState struct {
	client Settings // what the client has set
	server Settings // what its connection has
}

// with returns the state after a SET or RESET on the connection.
func (s settingsState) with(startup Settings, pairs ...[2]string) settingsState {
	return settingsState{client: s.client.with(startup, pairs...), server: s.server.with(NoSettings, pairs...)}
}

// savepoint is a point of the transaction to which it can go back.
type savepoint struct {
	name  string
	state settingsState
}

// Settings returns the settings that the session's connection should have.
func (s *Session) Settings() Settings { return s.current.client }

// ServerSettings returns the settings that the session's connection has.
func (s *Session) ServerSettings() Settings { return s.current.server }

// AttachConnection has the session go on with a connection that has these settings.
func (s *Session) AttachConnection(has Settings) {
	s.current.server = has
	s.transactionStart.server = has
}

// SettingsStatements returns the statements that bring the settings of the session's connection to the session's own.
func (s *Session) SettingsStatements() []string {
	if s.policy.SeededDefects.SkipSettings {
		return nil
	}
	return settingsStatements(s.current.server, s.current.client)
}

// SettingsApplied records that the session's connection has the settings that it should have. beforeTransaction says whether they were set
// before the transaction began on the connection: a rollback then keeps them.
func (s *Session) SettingsApplied(beforeTransaction bool) {
	s.current.server = s.current.client
	if beforeTransaction {
		s.transactionStart.server = s.current.client
	}
}

// setLocally sets the client's settings without a member. No transaction takes them back.
func (s *Session) setLocally(settings Settings) {
	s.current.client = settings
	s.transactionStart.client = settings
}

// beginTransaction has the transaction go back to the present settings if it fails.
func (s *Session) beginTransaction() {
	s.transactionStart, s.savepoints = s.current, nil
}

// applyTransaction applies a statement that begins or ends a transaction or a part of one.
func (s *Session) applyTransaction(c Command, tag string) {
	switch c.Kind {
	case pg.Begin:
		if s.status == StatusIdle {
			s.beginTransaction()
		}
	case pg.Commit, pg.Rollback:
		if tag == "ROLLBACK" && !s.policy.SeededDefects.KeepRolledBackSettings { // also of a COMMIT, if the transaction has failed
			s.current = s.transactionStart
		}
		s.beginTransaction()
	case pg.Savepoint:
		s.savepoints = append(s.savepoints, savepoint{c.Name, s.current})
	case pg.RollbackTo:
		if n := s.findSavepoint(c.Name); n >= 0 {
			s.current, s.savepoints = s.savepoints[n].state, s.savepoints[:n+1]
		}
	case pg.ReleaseSavepoint:
		if n := s.findSavepoint(c.Name); n >= 0 {
			s.savepoints = s.savepoints[:n]
		}
	}
}

// findSavepoint returns the index of the latest savepoint of this name, -1 if there is none.
func (s *Session) findSavepoint(name string) int {
	for n := len(s.savepoints) - 1; n >= 0; n-- {
		if s.savepoints[n].name == name {
			return n
		}
	}
	return -1
}

// readyForQuery ends a unit.
func (s *Session) readyForQuery(status byte) {
	if status == StatusIdle {
		if s.errorReceived {
			s.current = s.transactionStart
		}
		s.beginTransaction()
		clear(s.portals)
		s.firstCommand = nil
	}
	s.status, s.errorReceived, s.expected, s.mayCommit = status, false, nil, false
	s.prepared = s.confirmed
}
