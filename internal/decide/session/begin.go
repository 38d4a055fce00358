package session

import (
	"strings"

	"wayloft/internal/pg"
)

// maxDeferredStatements is the maximum number of statements of a transaction that are deferred.
const maxDeferredStatements = 4

// deferredBegin holds a BEGIN and the SET TRANSACTION statements after it until they are sent to a member. A transaction gets a
// connection only at the first statement that needs a member, because what the transaction needs is not known before.
type deferredBegin struct {
	statements          []string
	readOnly, readWrite bool // the requested access mode; neither means the default
}

// pending reports whether any statement is deferred.
func (d *deferredBegin) pending() bool { return len(d.statements) > 0 }

// add defers a statement.
func (d *deferredBegin) add(c Command, text string) {
	d.statements = append(d.statements, text)
	if c.Kind == pg.Begin || c.ReadOnly || c.ReadWrite {
		d.readOnly, d.readWrite = c.ReadOnly, c.ReadWrite
	}
}

// answerDeferred answers a statement that begins a transaction, or that belongs to a transaction not yet begun on a member. It returns
// nil if a member must answer the statement.
func (s *Session) answerDeferred(c Command, text string) []byte {
	switch c.Kind {
	case pg.Begin:
		if s.status != StatusIdle || !c.Simple || c.Label != nil {
			return nil
		}
		s.status, s.deferred = StatusInTransaction, deferredBegin{}
		s.deferred.add(c, text)
		return completionReply(beginTag(text), s.status)
	case pg.SetTransaction:
		if !s.deferred.pending() || len(s.deferred.statements) >= maxDeferredStatements || !c.Simple {
			return nil
		}
		s.deferred.add(c, text)
		return completionReply("SET", StatusInTransaction)
	case pg.Commit:
		return s.endDeferred("COMMIT", c.Chain)
	default:
		return s.endDeferred(rollbackTag, c.Chain)
	}
}

// endDeferred ends a transaction that has not yet begun on a member. chain begins the next one, with the same modes. endDeferred returns nil
// if there is no such transaction.
func (s *Session) endDeferred(tag string, chain bool) []byte {
	if !s.deferred.pending() {
		return nil
	}
	if chain {
		return completionReply(tag, s.status)
	}
	s.status, s.deferred = StatusIdle, deferredBegin{}
	return completionReply(tag, StatusIdle)
}

// beginTag returns the command tag of a statement that begins a transaction.
func beginTag(text string) string {
	if strings.HasPrefix(strings.ToLower(strings.TrimSpace(text)), "start") {
		return "START TRANSACTION"
	}
	return "BEGIN"
}

// FlushDeferredBegin returns and clears the deferred statements of the transaction, which must be sent before the first statement that
// needs a member. It returns nil if none are deferred.
func (s *Session) FlushDeferredBegin() (messages []Message) {
	if !s.deferred.pending() {
		return nil
	}
	for _, text := range s.deferred.statements {
		messages = append(messages, Message{Action: ForwardDiscardReply, Kind: pg.Query, Raw: pg.AppendQuery(nil, text)})
	}
	begin := &Command{Command: pg.Command{Kind: pg.Begin, ReadOnly: s.deferred.readOnly, ReadWrite: s.deferred.readWrite}}
	if s.firstCommand != nil {
		begin.Label = s.firstCommand.Label
	}
	s.firstCommand, s.deferred = begin, deferredBegin{}
	return messages
}
