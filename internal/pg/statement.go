package pg

import (
	"math"
	"strconv"
	"strings"
)

// Statement is a request as its client worded it: the comment in front, decoded, and the text around its time limit.
type Statement struct {
	ID, TxnType, Tenant string
	Session             string  // the quoted key
	Wait                float64 // ms that the client waits
	After               float64 // the position that it must see; 0 for none
	Group               int
	Marked              bool // the client says it is a repeat

	head, tail string
}

// ParseStatement decodes the comment. Names that it does not know pass on with the rest.
func ParseStatement(sql string) (*Statement, error) {
	body, ok := strings.CutPrefix(sql, "/*")
	end := strings.Index(body, "*/")
	if !ok || end < 0 {
		return nil, fail(Violation, "a statement begins with a comment that names its id, c and d")
	}
	s := &Statement{Wait: -1}
	at := 2
	for pair := range strings.SplitSeq(body[:end], ",") {
		name, value, found := strings.Cut(pair, "=")
		name = strings.TrimSpace(name)
		if !found {
			return nil, fail(Violation, "comment: %q is no name=value", strings.TrimSpace(pair))
		}
		start := at + len(pair) - len(value)
		value = strings.TrimRight(value, " ")
		var bad bool
		switch name {
		case "id":
			s.ID = value
		case "c":
			s.TxnType = value
		case "t":
			s.Tenant = value
		case "d":
			s.Wait, bad = number(value)
			bad = bad || s.head != "" // one of two would pass on as it was
			s.head, s.tail = sql[:start], sql[start+len(value):]
		case "after":
			s.After, bad = number(value)
		case "cluster":
			n, err := strconv.Atoi(value)
			s.Group, bad = n, err != nil
		case "r":
			s.Marked = value == "1"
		}
		if bad {
			return nil, fail(Violation, "comment: %s must be a number, not %q", name, value)
		}
		at += len(pair) + 1
	}
	if s.ID == "" || s.TxnType == "" || s.Wait < 0 {
		return nil, fail(Violation, "comment: id, c and d must be given")
	}
	s.Session = quoted(body[end:])
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
