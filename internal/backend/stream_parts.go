package backend

import (
	"slices"

	"wayloft/internal/decide/duplicate"
	"wayloft/internal/decide/session"
	"wayloft/internal/pg"
)

// unitParts tells the responses to the parts of one unit apart. A part is what the client sends up to a Flush, or the rest up to Sync. The
// member may send a second copy of its response to a part, ahead of its response to the next one. So a part must be answered with another
// first message than the part before it. Where it may not be, a marker goes ahead of it: a message without an effect, with another reply.
// What arrives between two responses is then a copy, which is discarded, or a violation of the protocol. A client that never sends Flush has
// no marker.
type unitParts struct {
	flushed       bool    // a part of the unit has ended
	begins        bool    // nothing to which the member replies was written since the last Flush
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
	p.flushed, p.begins = true, true
	p.previousFirst, p.firstReplyTo = p.firstReplyTo, noReply
}

// encodeFirstOfPart appends an operation that may be the first of a part behind a Flush, and the marker ahead of it if one is needed.
func (c *memberConn) encodeFirstOfPart(out []byte, op session.Message) []byte {
	expectedBefore := len(c.expected)
	encoded := c.encode(nil, op)
	if len(encoded) == 0 || len(c.expected) == expectedBefore { // the member does not reply to it
		return append(out, encoded...)
	}
	c.parts.begins = false
	if marker, needed := duplicate.Marker(c.parts.previousFirst, c.expected[expectedBefore].kind); needed {
		c.expected = slices.Insert(c.expected, expectedBefore, expectedReply{kind: marker})
		out = appendMarker(out, marker)
	}
	c.expected[expectedBefore].startsPart = true
	return append(out, encoded...)
}

// appendMarker appends a Close of the unnamed statement, which is never used on a member, or a Parse of an empty one.
func appendMarker(out []byte, kind pg.Kind) []byte {
	if kind == pg.Parse {
		return pg.AppendParse(out, "", emptyStatement)
	}
	return pg.AppendClose(out, statementTarget, "")
}

// recordFirstReply records the first reply that the member owes to the current part. expectedBefore is the number of expected replies ahead
// of the operation that was just written.
func (c *memberConn) recordFirstReply(expectedBefore int) {
	if c.parts.firstReplyTo == noReply && expectedBefore < len(c.expected) {
		c.parts.firstReplyTo = c.expected[expectedBefore].kind
	}
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
	if duplicates.Copying() || c.betweenParts() {
		duplicates.Complete()
		if verdict := duplicates.Skip(m.Raw); verdict != duplicate.Other {
			return true, verdict == duplicate.Copy
		}
	}
	duplicates.Record(m.Raw)
	if len(c.expected) > 0 {
		c.expected[0].startsPart = false // its first message has arrived
	}
	return false, true
}

// betweenParts reports whether the response to a part is complete, and nothing of the response to the next one has arrived.
func (c *memberConn) betweenParts() bool { return len(c.expected) == 0 || c.expected[0].startsPart }
