package session

import "wayloft/internal/pg"

// savepoint is a savepoint of the current transaction, with the settings to restore.
type savepoint struct {
	name  string
	state settingsState
}

// beginTransaction saves the current settings, to be restored if the transaction is rolled back.
func (s *Session) beginTransaction() {
	s.transactionStart, s.savepoints = s.current, nil
}

// applyTransaction applies a completed transaction or savepoint statement.
func (s *Session) applyTransaction(c Command, tag string) {
	switch c.Kind {
	case pg.Begin:
		if s.status == StatusIdle {
			s.beginTransaction()
		}
	case pg.Commit, pg.Rollback:
		if tag == "ROLLBACK" && !s.policy.SeededDefects.KeepRolledBackSettings { // also the tag of a COMMIT in a failed transaction
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

// findSavepoint returns the index of the latest savepoint with the given name, or -1 if there is none.
func (s *Session) findSavepoint(name string) int {
	for n := len(s.savepoints) - 1; n >= 0; n-- {
		if s.savepoints[n].name == name {
			return n
		}
	}
	return -1
}

// readyForQuery handles a ReadyForQuery, which ends a unit.
func (s *Session) readyForQuery(status byte) {
	if status == StatusIdle {
		if s.errorReceived {
			s.current = s.transactionStart
		}
		s.beginTransaction()
		clear(s.portals)
		s.firstCommand, s.statementRan = nil, false
	}
	s.status, s.errorReceived, s.expected = status, false, nil
	s.effect = unitEffect{}
	s.prepared = s.confirmed
}
