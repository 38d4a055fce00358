package healthshare

import (
	"fmt"
	"math"
	"testing"
)

// Each member is asked once a period, one after the other; reports go together, soon; a member that left is neither asked nor told of.
func TestProber_ProbesEvenlyAndBatchesReports(t *testing.T) {
	o := NewProber(400)
	o.SetMembers([]string{"a", "b", "c", "d"})
	asked, told, last := map[string]int{}, map[string]int{}, 0.0
	var gaps []float64
	for at := 0.0; at < 4000; at += 10 {
		if at == 2000 {
			o.SetMembers([]string{"a", "b"})
			o.Reported(Report{Member: "c"})
		}
		o.Advance(at)
		for d, more := o.Next(); more; d, more = o.Next() {
			switch d.Action {
			case Probe:
				asked[d.Member]++
				gaps, last = append(gaps, at-last), at
				o.Reported(Report{Member: d.Member, Position: at})
			case Share:
				for _, r := range d.Reports {
					if told[r.Member]++; at-r.Position > 110 {
						t.Errorf("a report of %s waited for %v ms", r.Member, at-r.Position)
					}
					if at > 2000 && (r.Member == "c" || r.Member == "d") {
						t.Error("told of a member that left")
					}
				}
			}
		}
	}
	if fmt.Sprint(asked) != "map[a:10 b:10 c:5 d:5]" || fmt.Sprint(told) != fmt.Sprint(asked) {
		t.Errorf("asked %v, told %v", asked, told)
	}
	for _, g := range gaps[1:19] {
		if g != 100 {
			t.Errorf("asked after %v ms, not evenly", g)
		}
	}
}

// One that stood still doesn't make up for the turns that it missed.
func TestProber_DoesNotCatchUpAfterAPause(t *testing.T) {
	o := NewProber(100)
	o.SetMembers([]string{"a", "b"})
	o.Advance(100000)
	looks := 0
	for d, more := o.Next(); more && looks < 100; d, more = o.Next() {
		if d.Action == Probe {
			looks++
		}
	}
	if looks > 3 {
		t.Errorf("%d looks at once", looks)
	}
}

func TestCheckReport_Bounds(t *testing.T) {
	for what, c := range map[string]struct {
		r  Report
		ok bool
	}{
		"one":           {Report{Member: "a", Position: 5000, At: 5000, Primary: true}, true},
		"none told":     {Report{Member: "a", At: 5000}, true},
		"a little":      {Report{Member: "a", Position: 5900, At: 5000}, true},
		"ahead":         {Report{Member: "a", Position: 7000, At: 5000}, false},
		"nobody":        {Report{Position: 5000}, false},
		"both":          {Report{Member: "a", Primary: true, Replica: true}, false},
		"no number":     {Report{Member: "a", Position: math.NaN()}, false},
		"without end":   {Report{Member: "a", Started: math.Inf(1)}, false},
		"before time":   {Report{Member: "a", At: -1}, false},
		"a long member": {Report{Member: string(make([]byte, 300))}, false},
	} {
		if err := CheckReport(c.r, 5000); (err == nil) != c.ok {
			t.Errorf("%s: %v", what, err)
		}
	}
}
