package pg

import (
	"errors"
	"strings"
	"testing"
)

const testStatement = "/* id=9b1f,c=basket,t=acme,d=480,k=5c0f,cluster=2,after=1767225600123,r=1,new=x */ " +
	"SELECT blob FROM rows WHERE handle = '7f3a'"

func TestParseStatement(t *testing.T) {
	s, err := ParseStatement(testStatement)
	if err != nil {
		t.Fatal(err)
	}
	want := Statement{ID: "9b1f", RequestClass: "basket", Tenant: "acme", IdempotencyKey: "7f3a", TimeoutMs: 480, Position: 1767225600123,
		Group: 2, IsRetry: true, textBeforeDeadline: s.textBeforeDeadline, textAfterDeadline: s.textAfterDeadline}
	if *s != want {
		t.Errorf("got %+v, want %+v", *s, want)
	}
	got := string(s.AppendQuery(nil, 12.9))
	if want := string(AppendQuery(nil, strings.Replace(testStatement, "d=480", "d=12", 1))); got != want {
		t.Errorf("forwarded %q, want %q", got, want)
	}
}

func TestParseStatement_InvalidComment(t *testing.T) {
	for _, sql := range []string{"", "SELECT 1", "/*", "/* */ SELECT 1", "/* id=1,c=x,d=5 SELECT 1", "/* id=1,c=x */ SELECT 1",
		"/* id=1,c=x,d=soon */ x", "/* id=1,c=x,d=-1 */ x", "/* id=1,c=x,d=NaN */ x", "/* id=1,c=x,d=1e300 */ x",
		"/* id=1,c=x,d=5,cluster=a */ x", "/* id=1,c=x,d=5,after=b */ x", "/* id=1,c=x,d=5,what */ x", "/* id=,c=x,d=5 */ x",
		"/* id=1,c=x,d=5,d=6 */ x"} {
		s, err := ParseStatement(sql)
		var response *Error
		if !errors.As(err, &response) || response.Code != ProtocolViolation {
			t.Errorf("%q: got %+v, %v", sql, s, err)
		}
		var decodeError *DecodeError
		if !errors.As(err, &decodeError) || decodeError.Place != commentPlace {
			t.Errorf("%q: got %v, want an error with the place of the comment", sql, err)
		}
	}
}

// FuzzParseStatement checks that a forwarded statement decodes to the same request with the new deadline.
func FuzzParseStatement(f *testing.F) {
	f.Add(testStatement)
	f.Fuzz(func(t *testing.T, sql string) {
		s, err := ParseStatement(sql)
		if err != nil {
			return
		}
		query := s.AppendQuery(nil, 7)
		decoded, err := ParseStatement(string(query[headerSize : len(query)-1]))
		if err != nil || decoded.ID != s.ID || decoded.RequestClass != s.RequestClass || decoded.IdempotencyKey != s.IdempotencyKey || decoded.TimeoutMs != 7 {
			t.Errorf("%q: forwarded %q, decoded as %+v, %v", sql, query, decoded, err)
		}
	})
}
