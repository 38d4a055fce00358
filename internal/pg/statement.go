package pg

import (
	"math"
	"strconv"
	"strings"
)

// Statement is a request as its client worded it: the comment in front, decoded, and the text around its time limit.
type Statement struct {
	ID, RequestClass, Tenant string
	IdempotencyKey           string  // the quoted key
	WaitMs                   float64 // ms that the client waits
	Position                 float64 // the position that it must see; 0 for none
	Group                    int
	IsRetry                  bool // the client says it is a repeat

	head, tail string
}

// ParseStatement decodes the comment. Names that it does not know pass on with the rest.
func ParseStatement(sql string) (*Statement, error) {
	body, ok := strings.CutPrefix(sql, "/*")
	end := strings.Index(body, "*/")
	if !ok || end < 0 {
		return nil, fail(ProtocolViolation, "a statement begins with a comment that names its id, c and d")
	}
	s := &Statement{WaitMs: -1}
	at := 2
	for pair := range strings.SplitSeq(body[:end], ",") {
		name, value, found := strings.Cut(pair, "=")
		name = strings.TrimSpace(name)
		if !found {
			return nil, fail(ProtocolViolation, "comment: %q is no name=value", strings.TrimSpace(pair))
		}
		start := at + len(pair) - len(value)
		value = strings.TrimRight(value, " ")
		var bad bool
		switch name {
		case "id":
			s.ID = value
		case "c":
			s.RequestClass = value
		case "t":
			s.Tenant = value
		case "d":
			s.WaitMs, bad = number(value)
			bad = bad || s.head != "" // one of two would pass on as it was
			s.head, s.tail = sql[:start], sql[start+len(value):]
		case "after":
			s.Position, bad = number(value)
		case "cluster":
			n, err := strconv.Atoi(value)
			s.Group, bad = n, err != nil
		case "r":
			s.IsRetry = value == "1"
		}
		if bad {
			return nil, fail(ProtocolViolation, "comment: %s must be a number, not %q", name, value)
		}
		at += len(pair) + 1
	}
	if s.ID == "" || s.RequestClass == "" || s.WaitMs < 0 {
		return nil, fail(ProtocolViolation, "comment: id, c and d must be given")
	}
	s.IdempotencyKey = quoted(body[end:])
	return s, nil
}

func number(s string) (x float64, bad bool) {
	x, err := strconv.ParseFloat(s, 64)
	return x, err != nil || math.IsNaN(x) || x < 0 || x > 1e15
}

// quoted finds the first quoted text.
func quoted(s string) string {
	_, s, ok := strings.Cut(s, "'")
	end := strings.IndexByte(s, '\'')
	if !ok || end < 0 {
		return ""
	}
	return s[:end]
}

// AppendQuery asks a server the statement with this many ms left.
func (s *Statement) AppendQuery(out []byte, left float64) []byte {
	return AppendQuery(out, s.head, strconv.Itoa(int(max(1, left))), s.tail)
}
