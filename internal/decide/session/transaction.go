package session

import "wayloft/internal/pg"

// savepoint is a point of the transaction to which it can go back.
type savepoint struct {
	name  string
	state settingsState
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
