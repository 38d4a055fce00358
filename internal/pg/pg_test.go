package pg

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

// told puts what a reader made of its bytes in one line.
func told(r *Reader) string {
	var out []string
	for {
		m, ok, err := r.Next()
		var broken *Error
		if errors.As(err, &broken) {
			return strings.Join(append(out, "broken "+broken.Code), "; ")
		}
		if !ok {
			return strings.Join(out, "; ")
		}
		s := fmt.Sprintf("%d %s%s %d%d %s", m.Kind, m.Name, m.Text, m.MinorVersion, m.ColumnCount, m.FirstColumn)
		if m.Error != nil {
			s += m.Error.Error() + m.Error.Detail
		}
		out = append(out, strings.Join(strings.Fields(s), " "))
	}
}

const cell = "\x00\x00\x00\x02ok"

var inputs = []struct {
	name   string
	server bool
	bytes  string
	want   string
}{
	{"a client", false, "\x00\x00\x00\x08\x04\xd2\x16\x2f" + string(AppendStartup(nil, "api", "ledger")) +
		string(AppendQuery(nil, "SELECT ", "1")) + "S\x00\x00\x00\x04P\x00\x00\x00\x05xX\x00\x00\x00\x04",
		"1 00; 0 00; 3 SELECT 1 00; 7 00; 5 00; 4 00"},
	{"cancel", false, "\x00\x00\x00\x10\x04\xd2\x16\x2e12345678", "2 00"},
	{"another version", false, "\x00\x00\x00\x08\x00\x02\x00\x00", "broken 0A000"},
	{"startup without end", false, "\x00\x00\x00\x0c\x00\x03\x00\x00user", "broken 08P01"},
	{"a length too small", false, "\x00\x00\x00\x03", "broken 08P01"},
	{"a length too large", false, "\x7f\x00\x00\x00", "broken 54000"},
	{"unknown type", false, string(AppendStartup(nil, "a", "b")) + "?\x00\x00\x00\x04", "0 00; broken 08P01"},
	{"query without end", false, string(AppendStartup(nil, "a", "b")) + "Q\x00\x00\x00\x05x", "0 00; broken 08P01"},
	{"query with two ends", false, string(AppendStartup(nil, "a", "b")) + "Q\x00\x00\x00\x06\x00\x00",
		"0 00; broken 08P01"},
	{"a greeting", true, string(AppendGreeting(nil, 0)),
		"8 00; 10 server_version16.0 00; 10 client_encodingUTF8 00; 10 server_encodingUTF8 00; " +
			"10 standard_conforming_stringson 00; 9 00; 11 00"},
	{"an answer", true, "T\x00\x00\x00\x06\x00\x01D\x00\x00\x00\x0c\x00\x01" + cell + "C\x00\x00\x00\x0dSELECT 1\x00" +
		string(AppendReadyIdle(nil)), "12 01; 13 01 ok; 14 SELECT 1 00; 11 00"},
	{"an error", true, string(AppendError(nil, &Error{Code: TooManyConnections, Text: "full", Detail: "20"}, true)),
		"16 00 53300: full20"},
	{"a null", true, "D\x00\x00\x00\x0a\x00\x01\xff\xff\xff\xff", "13 01"},
	{"a password", true, "R\x00\x00\x00\x08\x00\x00\x00\x03", "broken 0A000"},
	{"a cell beyond its row", true, "D\x00\x00\x00\x0c\x00\x01\x00\x00\x00\x03ok", "broken 08P01"},
	{"a row beyond its cells", true, "D\x00\x00\x00\x0d\x00\x01" + cell + "!", "broken 08P01"},
	{"an error without end", true, "E\x00\x00\x00\x07C12", "broken 08P01"},
	{"noise by its head", true, "x\x00\x00\x00\x40", "broken 08P01"},
	{"ready, by its head too long", true, "Z\x00\x00\x00\x06", "broken 08P01"},
	{"a value that is not its row's, by its head", true, "D\x00\x00\x08\x00\x00\x01\x00\x00\x00\x05", "broken 08P01"},
	{"a value beyond its row, by its head", true, "D\x00\x00\x08\x00\x00\x02\x00\x00\x08\x00", "broken 08P01"},
	{"a value of 3 GB", true, "D\xb2\xd0\x5e\x0a\x00\x01\xb2\xd0\x5e\x00", "broken 54000"},
	{"unknown type by its head", false, string(AppendStartup(nil, "a", "b")) + "?\x00\x00\x01\x00", "0 00; broken 08P01"},
	{"another version by its head", false, "\x00\x00\x00\x20\x00\x02\x00\x00", "broken 0A000"},
	{"a long startup", false, "\x00\x00\x80\x00", "broken 54000"},
	{"an error without code", true, "E\x00\x00\x00\x05\x00", "broken 08P01"},
}

func TestEverySplit(t *testing.T) {
	for _, in := range inputs {
		t.Run(in.name, func(t *testing.T) {
			for i := range len(in.bytes) + 1 {
				for _, j := range []int{i, (i + len(in.bytes)) / 2, len(in.bytes)} {
					r := NewReader(in.server, 1<<12)
					var got []string
					for _, part := range []string{in.bytes[:i], in.bytes[i:j], in.bytes[j:]} {
						r.Feed([]byte(part))
						if s := told(r); s != "" {
							got = append(got, s)
						}
						if r.err != nil {
							break
						}
					}
					if all := strings.Join(got, "; "); all != in.want {
						t.Fatalf("split at %d and %d: got %s, want %s", i, j, all, in.want)
					}
				}
			}
		})
	}
}

// Whatever comes, a reader neither fails nor holds more than its bound once it has been read.
func FuzzReader(f *testing.F) {
	for _, in := range inputs {
		f.Add(in.server, []byte(in.bytes))
	}
	f.Fuzz(func(t *testing.T, server bool, b []byte) {
		const most = 1 << 8
		if wide := NewReader(server, most); true { // all of the protocol: neither fails nor gives more than it was fed
			wide.EnableExtended()
			wide.Feed(b)
			sum := 0
			for m, ok, err := wide.Next(); ok && err == nil; m, ok, err = wide.Next() {
				sum += len(m.Raw)
			}
			if sum > len(b) {
				t.Fatalf("%d bytes of %d", sum, len(b))
			}
		}
		r := NewReader(server, most)
		whole := NewReader(server, most)
		whole.Feed(b)
		want := told(whole)
		var got []string
		for n := range b {
			r.Feed(b[n : n+1])
			if s := told(r); s != "" {
				got = append(got, s)
			}
			if r.err != nil {
				break
			}
			if r.Buffered() > most {
				t.Fatalf("holds %d bytes", r.Buffered())
			}
		}
		if s := strings.Join(got, "; "); s != want {
			t.Fatalf("byte by byte %q, at once %q", s, want)
		}
	})
}

const statement = "/* id=9b1f,c=basket,t=acme,d=480,k=5c0f,cluster=2,after=1767225600123,r=1,new=x */ " +
	"SELECT blob FROM rows WHERE handle = '7f3a'"

func TestStatement(t *testing.T) {
	s, err := ParseStatement(statement)
	if err != nil {
		t.Fatal(err)
	}
	want := Statement{ID: "9b1f", RequestClass: "basket", Tenant: "acme", IdempotencyKey: "7f3a", WaitMs: 480, Position: 1767225600123,
		Group: 2, IsRetry: true, head: s.head, tail: s.tail}
	if *s != want {
		t.Errorf("got %+v, want %+v", *s, want)
	}
	got := string(s.AppendQuery(nil, 12.9))
	if want := string(AppendQuery(nil, strings.Replace(statement, "d=480", "d=12", 1))); got != want {
		t.Errorf("passed on %q, want %q", got, want)
	}
}

func TestBrokenStatements(t *testing.T) {
	for _, sql := range []string{"", "SELECT 1", "/*", "/* */ SELECT 1", "/* id=1,c=x,d=5 SELECT 1", "/* id=1,c=x */ SELECT 1",
		"/* id=1,c=x,d=soon */ x", "/* id=1,c=x,d=-1 */ x", "/* id=1,c=x,d=NaN */ x", "/* id=1,c=x,d=1e300 */ x",
		"/* id=1,c=x,d=5,cluster=a */ x", "/* id=1,c=x,d=5,after=b */ x", "/* id=1,c=x,d=5,what */ x", "/* id=,c=x,d=5 */ x",
		"/* id=1,c=x,d=5,d=6 */ x"} {
		var broken *Error
		if s, err := ParseStatement(sql); !errors.As(err, &broken) || broken.Code != ProtocolViolation {
			t.Errorf("%q: got %+v, %v", sql, s, err)
		}
	}
}

func FuzzStatement(f *testing.F) {
	f.Add(statement)
	f.Fuzz(func(t *testing.T, sql string) {
		s, err := ParseStatement(sql)
		if err != nil {
			return
		}
		// What is passed on reads the same but for its time limit.
		q := s.AppendQuery(nil, 7)
		again, err := ParseStatement(string(q[5 : len(q)-1]))
		if err != nil || again.ID != s.ID || again.RequestClass != s.RequestClass || again.IdempotencyKey != s.IdempotencyKey || again.WaitMs != 7 {
			t.Errorf("%q: passed on %q: %+v, %v", sql, q, again, err)
		}
	})
}
