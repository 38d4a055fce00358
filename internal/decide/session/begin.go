package session

import (
	"strings"

	"wayloft/internal/pg"
)

// maxDeferredStatements is how many statements of a transaction are deferred at most.
const maxDeferredStatements = 4

// deferredBegin is a BEGIN, and the SET TRANSACTION that followed it, while no member has received them. The transaction takes a connection
// only with its first statement: until then nothing is known of what it needs.
type deferredBegin struct {
	statements          []string
	readOnly, readWrite bool // the access mode that they ask for; neither: the default
}

// pending reports whether anything is deferred.
func (d *deferredBegin) pending() bool { return len(d.statements) > 0 }

// add defers one more statement.
func (d *deferredBegin) add(c Command, text string) {
	d.statements = append(d.statements, text)
	if c.Kind == pg.Begin || c.ReadOnly || c.ReadWrite {
		d.readOnly, d.readWrite = c.ReadOnly, c.ReadWrite
	}
}

// answerDeferred answers a statement that begins a transaction, or belongs to one that no member knows of; nil if a member must answer it.
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
		return s.endDeferred("COMMIT")
	default:
		return s.endDeferred("ROLLBACK")
	}
}

// endDeferred ends a transaction that no member knows of; nil if one does.
func (s *Session) endDeferred(tag string) []byte {
	if !s.deferred.pending() {
		return nil
	}
	s.status, s.deferred = StatusIdle, deferredBegin{}
	return completionReply(tag, StatusIdle)
}

// beginTag returns the command tag with which a server answers a statement that begins a transaction.
func beginTag(text string) string {
	if strings.HasPrefix(strings.ToLower(strings.TrimSpace(text)), "start") {
		return "START TRANSACTION"
	}
	return "BEGIN"
}

// FlushDeferredBegin returns the deferred begin of the transaction, which goes before its first statement. It is empty if the member has
// received it.
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
