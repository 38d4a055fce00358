package duplicate

import (
	"testing"

	"wayloft/internal/pg"
)

// record records a complete response.
func record(d *Detector, messages ...string) {
	for _, message := range messages {
		d.Record([]byte(message))
	}
	d.Complete()
}

func TestDetector_Skip(t *testing.T) {
	for name, c := range map[string]struct {
		response, received []string
		want               []Verdict
	}{
		"a copy":                    {[]string{"1", "D1", "C"}, []string{"1", "D1", "C"}, []Verdict{Copy, Copy, Copy}},
		"a copy of a copy":          {[]string{"D1", "C"}, []string{"D1", "C", "D1", "C"}, []Verdict{Copy, Copy, Copy, Copy}},
		"another first message":     {[]string{"D1", "C"}, []string{"D2"}, []Verdict{Other}},
		"another message within":    {[]string{"1", "D1", "C"}, []string{"1", "D2", "C"}, []Verdict{Copy, Copy, Mismatch}},
		"messages in another order": {[]string{"1", "D1", "D2"}, []string{"1", "D2", "D1"}, []Verdict{Copy, Copy, Mismatch}},
		"behind no response":        {nil, []string{"1"}, []Verdict{Other}},
	} {
		t.Run(name, func(t *testing.T) {
			var d Detector
			record(&d, c.response...)
			for n, message := range c.received {
				if got := d.Skip([]byte(message)); got != c.want[n] {
					t.Errorf("message %d: got %d, want %d", n, got, c.want[n])
				}
			}
			if d.Copying() {
				t.Error("the copy has not ended")
			}
		})
	}
}

func TestDetector_LastResponseCounts(t *testing.T) {
	var d Detector
	record(&d, "1", "C")
	record(&d, "2", "C")
	d.Complete()
	if got := d.Skip([]byte("1")); got != Other {
		t.Errorf("a message of an earlier response: got %d", got)
	}
	if got := d.Skip([]byte("2")); got != Copy || !d.Copying() {
		t.Errorf("a message of the last response: got %d", got)
	}
}

func TestMarker(t *testing.T) {
	const none = -1
	for _, c := range []struct{ previous, next, want pg.Kind }{
		{pg.Bind, pg.Bind, pg.Close},
		{pg.Close, pg.Close, pg.Parse},
		{pg.Parse, pg.Parse, pg.Close},
		{pg.Close, pg.Bind, none},
		{pg.Describe, pg.Execute, pg.Close}, // both replies may begin with a RowDescription
		{pg.Describe, pg.Query, pg.Close},
		{pg.Execute, pg.Execute, pg.Close},
		{pg.Execute, pg.Sync, none},
		{pg.Parse, pg.Execute, none},
	} {
		got, needed := Marker(c.previous, c.next)
		if needed != (c.want != none) || needed && got != c.want {
			t.Errorf("%d behind %d: got %d, %v", c.next, c.previous, got, needed)
		}
	}
}
