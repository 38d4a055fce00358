package backend

import (
	"wayloft/internal/decide/duplicate"
	"wayloft/internal/decide/session"
	"wayloft/internal/pg"
)

// unitParts tells the responses to the parts of one unit apart. A part is what the client sends up to a Flush, or the rest up to Sync. The
// member may send a second copy of its response to a part, which has the form of the response to the next one. So a marker goes ahead of each
// part but the first: a message without an effect, whose reply can't be the first message of the response before it. What arrives before that
// reply is a copy, which is discarded, or a violation of the protocol. No marker is needed ahead of a Sync, whose reply is no part's first
// message, and none is sent to the member for a client that never sends Flush.
type unitParts struct {
	flushed       bool    // a part of the unit has ended
	markerDue     bool    // nothing of the part behind the last Flush was written
	firstReplyTo  pg.Kind // the message of the current part to which the member replies first; noReply until it is written
	previousFirst pg.Kind // the same of the part before
	duplicates    duplicate.Detector
}

// noReply is the value of unitParts.firstReplyTo while the member owes no reply to the part. No reply is expected to a message of this kind.
const noReply = pg.Startup

// emptyStatement is the end of a Parse message, from the statement text on: no text and no parameter types.
var emptyStatement = []byte{0, 0, 0}

// endPart records that a Flush was written.
func (p *unitParts) endPart() {
	if p.firstReplyTo == noReply {
		return
	}
	p.flushed, p.markerDue = true, true
	p.previousFirst, p.firstReplyTo = p.firstReplyTo, noReply
}

// beginPart prepares for the first operation of a part to which the member replies. It appends the marker if one is due.
func (c *memberConn) beginPart(out []byte, op session.Message) []byte {
	if !c.parts.markerDue || op.Kind == pg.Sync || !c.memberReplies(op) {
		return out
	}
	c.parts.markerDue = false
	if c.parts.previousFirst == pg.Close {
		c.expectFirstOfPart(pg.Parse)
		return pg.AppendParse(out, "", emptyStatement)
	}
	c.expectFirstOfPart(pg.Close)
	return pg.AppendClose(out, statementTarget, "")
}

func (c *memberConn) expectFirstOfPart(kind pg.Kind) {
	c.expected = append(c.expected, expectedReply{kind: kind, startsPart: true})
	c.parts.firstReplyTo = kind
}

// memberReplies reports whether the member, rather than the router, replies to an operation.
func (c *memberConn) memberReplies(op session.Message) bool {
	switch op.Kind {
	case pg.Flush, pg.CopyData, pg.CopyDone, pg.CopyFail:
		return false
	}
	return op.Action != session.AnswerLocally && (op.Action != session.Prepare || !c.hasPrepared(op.Statement))
}

// recordFirstReply records the first reply that the member owes to the current part. before is the number of expected replies ahead of the
// operation that was just written.
func (c *memberConn) recordFirstReply(before int) {
	if c.parts.firstReplyTo != noReply || before == len(c.expected) {
		return
	}
	first := &c.expected[before]
	c.parts.firstReplyTo = first.kind
	first.startsPart = c.parts.markerDue // a Sync
	c.parts.markerDue = false
}

// skipDuplicate handles a message that arrives between the responses to two parts of the unit. handled is false for any other message. ok is
// false if the message violates the protocol.
func (c *memberConn) skipDuplicate(m *pg.Message) (handled, ok bool) {
	duplicates := &c.parts.duplicates
	if len(c.expected) > 0 && c.expected[0].barrier { // still ahead of the unit
		return false, true
	}
	switch m.Kind {
	case pg.Ignored, pg.ParameterStatus, pg.BackendKeyData: // may arrive at any time
		return false, true
	case pg.NoticeResponse, pg.NotificationResponse:
		return duplicates.Copying(), true
	case pg.ReadyForQuery:
		return duplicates.Copying(), false // no part's response contains it
	}
	if !duplicates.Copying() && !c.betweenParts(m) {
		duplicates.Record(m.Raw)
		return false, true
	}
	duplicates.Complete()
	verdict := duplicates.Skip(m.Raw)
	return verdict != duplicate.Other, verdict == duplicate.Copy
}

// betweenParts reports whether a message arrives when the response to a part is complete, and does not begin the response to the next one.
func (c *memberConn) betweenParts(m *pg.Message) bool {
	if len(c.expected) == 0 {
		return true
	}
	first := c.expected[0]
	if !first.startsPart {
		return false
	}
	c.parts.duplicates.Complete()
	return first.kind == pg.Sync || m.Kind != markerReplies[first.kind]
}

// markerReplies maps the kinds of markers to those of the replies.
var markerReplies = map[pg.Kind]pg.Kind{
	pg.Parse: pg.ParseComplete,
	pg.Close: pg.CloseComplete,
}
