package healthshare

import (
	"fmt"
	"math"
	"testing"
)

// Members are probed in turn, each once per period. Reports are batched and sent within the batch delay. A removed member is neither
// probed nor reported.
func TestProber_ProbesEvenlyAndBatchesReports(t *testing.T) {
	prober := NewProber(400)
	prober.SetMembers([]string{"a", "b", "c", "d"})
	probed, shared, lastProbe := map[string]int{}, map[string]int{}, 0.0
	var gaps []float64
	for at := 0.0; at < 4000; at += 10 {
		if at == 2000 {
			prober.SetMembers([]string{"a", "b"})
			prober.Reported(Report{Member: "c"})
		}
		prober.Advance(at)
		for d, more := prober.Next(); more; d, more = prober.Next() {
			switch d.Action {
			case Probe:
				probed[d.Member]++
				gaps, lastProbe = append(gaps, at-lastProbe), at
				prober.Reported(Report{Member: d.Member, Position: at})
			case Share:
				for _, r := range d.Reports {
					if shared[r.Member]++; at-r.Position > 110 {
						t.Errorf("a report of %s was held back for %v ms", r.Member, at-r.Position)
					}
					if at > 2000 && (r.Member == "c" || r.Member == "d") {
						t.Error("shared a report of a removed member")
					}
				}
			}
		}
	}
	if fmt.Sprint(probed) != "map[a:10 b:10 c:5 d:5]" || fmt.Sprint(shared) != fmt.Sprint(probed) {
		t.Errorf("probed %v, shared %v", probed, shared)
	}
	for _, g := range gaps[1:19] {
		if g != 100 {
			t.Errorf("probed after %v ms, want 100", g)
		}
	}
}

// After a pause of the process, the probes that it missed are skipped.
func TestProber_DoesNotCatchUpAfterAPause(t *testing.T) {
	prober := NewProber(100)
	prober.SetMembers([]string{"a", "b"})
	prober.Advance(100000)
	probes := 0
	for d, more := prober.Next(); more && probes < 100; d, more = prober.Next() {
		if d.Action == Probe {
			probes++
		}
	}
	if probes > 3 {
		t.Errorf("%d probes at once", probes)
	}
}

// Reports from other processes are accepted only if all their values are within bounds.
func TestCheckReport_Bounds(t *testing.T) {
	for name, c := range map[string]struct {
		report Report
		valid  bool
	}{
		"valid":               {Report{Member: "a", Position: 5000, At: 5000, Primary: true}, true},
		"no position":         {Report{Member: "a", At: 5000}, true},
		"slightly ahead":      {Report{Member: "a", Position: 5900, At: 5000}, true},
		"too far ahead":       {Report{Member: "a", Position: 7000, At: 5000}, false},
		"no member":           {Report{Position: 5000}, false},
		"primary and replica": {Report{Member: "a", Primary: true, Replica: true}, false},
		"not a number":        {Report{Member: "a", Position: math.NaN()}, false},
		"infinite":            {Report{Member: "a", Started: math.Inf(1)}, false},
		"negative":            {Report{Member: "a", At: -1}, false},
		"oversized member":    {Report{Member: string(make([]byte, 300))}, false},
	} {
		if err := ValidateReport(c.report, 5000); (err == nil) != c.valid {
			t.Errorf("%s: %v", name, err)
		}
	}
}
