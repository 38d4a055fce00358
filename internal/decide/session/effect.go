package session

import "wayloft/internal/pg"

// unitEffect is what the commands of a unit may make permanent, by PostgreSQL's rules. A unit is not one transaction: a COMMIT within it ends
// the transaction of what stood before it, and what stands outside a transaction block is committed at the unit's end.
type unitEffect struct {
	begun         bool // a command was added
	inTransaction bool // a transaction block is open behind the commands so far
	beforeEnd     bool // a member may commit something before it has received the whole unit
	atEnd         bool // a member that has received the whole unit may commit something
}

// add adds a command. wholeUnit means that a member runs the command only once it has received the whole unit, as those of a simple query.
func (e *unitEffect) add(c Command, wholeUnit bool) {
	commits := c.Kind == pg.Commit || e.commitsItself(c)
	e.beforeEnd = e.beforeEnd || commits && !wholeUnit
	e.atEnd = e.atEnd || commits || !e.inTransaction && c.Kind != pg.Begin
	e.passTransactionCommand(c)
}

// passTransactionCommand follows a command into or out of a transaction block. AND CHAIN is not regarded, so that what follows it counts as
// outside.
func (e *unitEffect) passTransactionCommand(c Command) {
	switch c.Kind {
	case pg.Begin:
		e.inTransaction = true
	case pg.Commit, pg.Rollback:
		e.inTransaction = false
	}
}

// commitsItself reports whether a command may commit something even if it fails later.
func (e *unitEffect) commitsItself(c Command) bool { return c.CommitsItself && !e.inTransaction }

// CommitsBeforeEnd reports whether a member may have committed a part of the unit although it has not received all of it.
func (s *Session) CommitsBeforeEnd() bool { return s.effect.beforeEnd }

// PartCommitted reports whether a member may have committed a part of the unit although the unit has failed. response is all that the member
// has sent of its response, of which the client has received nothing.
func (s *Session) PartCommitted(response []pg.Message) bool {
	passed := unitEffect{inTransaction: s.status != StatusIdle}
	expected := s.expected
	for _, m := range response {
		if m.Kind == pg.ErrorResponse {
			return passed.commitsItself(nextCommand(expected))
		}
		if len(expected) == 0 || !completes(m.Kind, expected[0].kind) {
			continue
		}
		command := expected[0].command
		expected = expected[1:]
		if passed.commitsItself(command) || command.Kind == pg.Commit && m.Text != "ROLLBACK" {
			return true
		}
		passed.passTransactionCommand(command)
	}
	return false
}

// completes reports whether a message of the member is the reply that is expected.
func completes(kind, expected pg.Kind) bool {
	switch kind {
	case pg.EmptyQuery, pg.PortalSuspended:
		return expected == pg.CommandComplete
	case pg.ParseComplete, pg.CloseComplete, pg.CommandComplete:
		return kind == expected
	}
	return false
}

// nextCommand returns the first command whose completion is expected.
func nextCommand(expected []expectedReply) Command {
	for _, reply := range expected {
		if reply.kind == pg.CommandComplete {
			return reply.command
		}
	}
	return Command{}
}
