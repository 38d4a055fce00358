package pg

import (
	"math"
	"strconv"
	"strings"
)

const (
	commentStart = "/*"
	commentEnd   = "*/"
	commentPlace = "statement comment"

	maxCommentNumber = 1e15
)

// Statement is a request as its client sent it: the comment in front of it, decoded, and the text around the deadline in the comment.
type Statement struct {
	ID, RequestClass, Tenant string
	IdempotencyKey           string  // the first quoted text of the statement
	WaitMs                   float64 // how long the client waits
	Position                 float64 // that the client must see; 0 for none
	Group                    int
	IsRetry                  bool // as the client says

	textBeforeDeadline, textAfterDeadline string
}

// ParseStatement decodes the comment, a list of name=value. Names that it does not know are sent on with the rest.
func ParseStatement(sql string) (*Statement, error) {
	body, found := strings.CutPrefix(sql, commentStart)
	end := strings.Index(body, commentEnd)
	if !found || end < 0 {
		return nil, newCommentError("a statement begins with a comment that names its id, c and d")
	}
	s := &Statement{WaitMs: -1}
	offset := len(commentStart) // of the pair in sql
	for pair := range strings.SplitSeq(body[:end], ",") {
		if err := s.decodePair(sql, offset, pair); err != nil {
			return nil, err
		}
		offset += len(pair) + 1
	}
	if s.ID == "" || s.RequestClass == "" || s.WaitMs < 0 {
		return nil, newCommentError("comment: id, c and d must be given")
	}
	s.IdempotencyKey = firstQuotedText(body[end:])
	return s, nil
}

// decodePair decodes one name=value, which starts at an offset of sql. The names id, c, t, d, after, cluster and r are the comment's words
// for ID, request class, tenant, deadline, position, group and retry.
func (s *Statement) decodePair(sql string, offset int, pair string) error {
	name, value, found := strings.Cut(pair, "=")
	if !found {
		return newCommentError("comment: %q is no name=value", strings.TrimSpace(pair))
	}
	name = strings.TrimSpace(name)
	valueAt := offset + len(pair) - len(value)
	value = strings.TrimRight(value, " ")
	valid := true
	switch name {
	case "id":
		s.ID = value
	case "c":
		s.RequestClass = value
	case "t":
		s.Tenant = value
	case "d":
		isFirst := s.textBeforeDeadline == "" // AppendQuery replaces only one
		s.WaitMs, valid = parseNumber(value)
		valid = valid && isFirst
		s.textBeforeDeadline, s.textAfterDeadline = sql[:valueAt], sql[valueAt+len(value):]
	case "after":
		s.Position, valid = parseNumber(value)
	case "cluster":
		group, err := strconv.Atoi(value)
		s.Group, valid = group, err == nil
	case "r":
		s.IsRetry = value == "1"
	}
	if !valid {
		return newCommentError("comment: %s must be a number, not %q", name, value)
	}
	return nil
}

func newCommentError(format string, args ...any) error {
	return newDecodeError(commentPlace, ProtocolViolation, format, args...)
}

func parseNumber(text string) (number float64, valid bool) {
	number, err := strconv.ParseFloat(text, 64)
	return number, err == nil && !math.IsNaN(number) && number >= 0 && number <= maxCommentNumber
}

// firstQuotedText returns the first text in single quotes, empty if there is none.
func firstQuotedText(s string) string {
	_, s, found := strings.Cut(s, "'")
	end := strings.IndexByte(s, '\'')
	if !found || end < 0 {
		return ""
	}
	return s[:end]
}

// AppendQuery appends the statement as a Query message, with a deadline in ms.
func (s *Statement) AppendQuery(out []byte, waitMs float64) []byte {
	return AppendQuery(out, s.textBeforeDeadline, strconv.Itoa(int(max(1, waitMs))), s.textAfterDeadline)
}
