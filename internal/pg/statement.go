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

// Statement is a client's SQL statement with its decoded statement comment. It keeps the text around the deadline in the comment, so that
// the statement can be forwarded with another deadline.
type Statement struct {
	ID, RequestClass, Tenant string
	IdempotencyKey           string  // the first text in single quotes after the comment
	TimeoutMs                float64 // time that the client waits for the response, in ms
	Position                 float64 // minimum position that the response must reflect; 0 for none
	Group                    int
	IsRetry                  bool // the client marked it as a retry

	textBeforeDeadline, textAfterDeadline string
}

// ParseStatement decodes the statement comment, a comma-separated list of name=value pairs. Unknown names are ignored and forwarded
// unchanged.
func ParseStatement(sql string) (*Statement, error) {
	body, found := strings.CutPrefix(sql, commentStart)
	end := strings.Index(body, commentEnd)
	if !found || end < 0 {
		return nil, newCommentError("a statement begins with a comment that names its id, c and d")
	}
	s := &Statement{TimeoutMs: -1}
	offset := len(commentStart) // of the current pair in sql
	for pair := range strings.SplitSeq(body[:end], ",") {
		if err := s.decodePair(sql, offset, pair); err != nil {
			return nil, err
		}
		offset += len(pair) + 1
	}
	if s.ID == "" || s.RequestClass == "" || s.TimeoutMs < 0 {
		return nil, newCommentError("comment: id, c and d must be given")
	}
	s.IdempotencyKey = firstQuotedText(body[end:])
	return s, nil
}

// decodePair decodes one name=value pair, which starts at the given offset of sql. The names id, c, t, d, after, cluster and r stand for
// the ID, request class, tenant, deadline, position, group and retry flag.
func (s *Statement) decodePair(sql string, offset int, pair string) error {
	name, value, found := strings.Cut(pair, "=")
	if !found {
		return newCommentError("comment: %q is no name=value", strings.TrimSpace(pair))
	}
	name = strings.TrimSpace(name)
	valueOffset := offset + len(pair) - len(value)
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
		isFirstDeadline := s.textBeforeDeadline == "" // AppendQuery can replace only one deadline
		s.TimeoutMs, valid = parseNumber(value)
		valid = valid && isFirstDeadline
		s.textBeforeDeadline, s.textAfterDeadline = sql[:valueOffset], sql[valueOffset+len(value):]
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

// firstQuotedText returns the first text in single quotes, or an empty string if there is none.
func firstQuotedText(s string) string {
	_, s, found := strings.Cut(s, "'")
	end := strings.IndexByte(s, '\'')
	if !found || end < 0 {
		return ""
	}
	return s[:end]
}

// AppendQuery appends the statement as a Query message in which the deadline is replaced by waitMs, rounded down but at least 1.
func (s *Statement) AppendQuery(out []byte, waitMs float64) []byte {
	return AppendQuery(out, s.textBeforeDeadline, strconv.Itoa(int(max(1, waitMs))), s.textAfterDeadline)
}
