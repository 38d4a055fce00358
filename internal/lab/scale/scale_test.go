package scale

import (
	"fmt"
	"math"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"wayloft/internal/discovery"
	"wayloft/internal/fleetpb"
)

func TestFitLine(t *testing.T) {
	for _, c := range []struct {
		name string
		x, y []float64
		want Fit
	}{
		{"straight", []float64{1, 2, 3, 4}, []float64{5, 7, 9, 11}, Fit{Slope: 2, Intercept: 3, Points: 4}},
		{"level", []float64{1, 2, 3}, []float64{4, 4, 4}, Fit{Intercept: 4, Points: 3}},
		{"two points", []float64{0, 10}, []float64{0, 5}, Fit{Slope: 0.5, Points: 2}},
		// Distances of 1, -2 and 1: a sum of squares of 6 over one degree of freedom, and 2 for x.
		{"bent", []float64{0, 1, 2}, []float64{1, -2, 1}, Fit{Intercept: 0, Points: 3, Residual: math.Sqrt(6), Error: math.Sqrt(3), Worst: 2}},
	} {
		got, err := FitLine(c.x, c.y)
		if err != nil {
			t.Errorf("%s: %v", c.name, err)
			continue
		}
		for _, pair := range [][2]float64{{got.Slope, c.want.Slope}, {got.Intercept, c.want.Intercept}, {got.Residual, c.want.Residual}, {got.Error, c.want.Error},
			{got.Worst, c.want.Worst}} {
			if math.Abs(pair[0]-pair[1]) > 1e-9 {
				t.Errorf("%s: %+v, not %+v", c.name, got, c.want)
			}
		}
		if got.Points != c.want.Points {
			t.Errorf("%s: %d points", c.name, got.Points)
		}
	}
	for name, c := range map[string][2][]float64{"one point": {{1}, {1}}, "same x": {{2, 2}, {1, 3}}, "unequal": {{1, 2}, {1}}} {
		if _, err := FitLine(c[0], c[1]); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}

func TestQuantile(t *testing.T) {
	x := []float64{1, 2, 3, 4}
	if a, b, c := quantile(x, 0.5), quantile(x, 1), quantile(x, 0); a != 2 || b != 4 || c != 1 {
		t.Error(a, b, c)
	}
	if !math.IsNaN(quantile(nil, 0.5)) {
		t.Error("quantile of no values")
	}
}

// Each of so many is in one zone, and the sizes of zones differ by one at most.
func TestZoneShare(t *testing.T) {
	for _, of := range []int{1, 3, 8, 76, 610, 820} {
		at, least, most := 0, of, 0
		for z := range zones {
			from, to := zoneShare(z, of)
			if from == to {
				least = 0
				continue
			}
			if from != at {
				t.Fatalf("%d: zone %d begins at %d, not %d", of, z, from, at)
			}
			at, least, most = to, min(least, to-from), max(most, to-from)
		}
		if at != of || most-least > 1 {
			t.Errorf("%d: %d in zones, from %d to %d each", of, at, least, most)
		}
	}
}

func validOptions() Options {
	return Options{Routers: 16, RealRouters: 1, Members: 16, GroupSize: 4, Holders: 1, HealthShareInterval: 250 * time.Millisecond, SampleDuration: time.Second, SessionTimeout: 12 * time.Second}
}

// Options out of bounds are rejected before anything is started, by the name of their flag.
func TestOptions_OutOfBounds(t *testing.T) {
	if err := validOptions().Check(); err != nil {
		t.Fatal(err)
	}
	for want, change := range map[string]func(*Options){
		"--routers: from 0 to 2000, not -1":           func(o *Options) { o.Routers = -1 },
		"--real: from 0 to 300, not 301":              func(o *Options) { o.RealRouters = 301 },
		"--members: from 1 to 4000, not 0":            func(o *Options) { o.Members = 0 },
		"--group: from 1 to 1000, not 0":              func(o *Options) { o.GroupSize = 0 },
		"--owners: from 0 to 64, not 65":              func(o *Options) { o.Holders = 65 },
		"--owners: 5, but there are 4 groups":         func(o *Options) { o.Holders = 5 },
		"--sight: from 10ms to 1m0s, not 0s":          func(o *Options) { o.HealthShareInterval = 0 },
		"--for: from 1s to 1h0m0s, not 10ms":          func(o *Options) { o.SampleDuration = 10 * time.Millisecond },
		"--session: from 200ms to 1m0s, not 2h0m0s":   func(o *Options) { o.SessionTimeout = 2 * time.Hour },
		"--pace: from 0s to 10s, not -1s":             func(o *Options) { o.StartInterval = -time.Second },
		"--routers, --real: one router at least":      func(o *Options) { o.Routers, o.RealRouters = 0, 0 },
		"--real: 321 processes in all, 300 at most":   func(o *Options) { o.RealRouters = 299 },
		"--routers, --real, --members: would take 15": func(o *Options) { o.Routers = 2000 },
		"--routers, --real, --members: would take 14": func(o *Options) { o.RealRouters, o.Members, o.Routers = 80, 4000, 0 },
	} {
		o := validOptions()
		change(&o)
		if err := o.Check(); err == nil || !strings.HasPrefix(err.Error(), want) {
			t.Errorf("%v, not %s", err, want)
		}
	}
	if _, err := RunEvent("nothing", validOptions()); err == nil || !strings.Contains(err.Error(), "--event: change, cut-regions, primary, restart-zone") {
		t.Error(err)
	}
	o := validOptions()
	o.Routers = 15
	if _, err := RunEvent("restart-zone", o); err == nil || !strings.Contains(err.Error(), "takes 16 hollow routers") {
		t.Error(err)
	}
	if _, err := Sweep(validOptions(), []int{1, 2}, nil); err == nil || !strings.HasPrefix(err.Error(), "--sizes: 3 at least") {
		t.Error(err)
	}
	if _, err := MeasurePair(validOptions(), 1); err == nil || !strings.HasPrefix(err.Error(), "--paired") {
		t.Error(err)
	}
	// The largest installation that is measured fits.
	o = Options{Routers: 610, RealRouters: 10, Members: 820, GroupSize: 5, Holders: 1, HealthShareInterval: 250 * time.Millisecond, SampleDuration: 10 * time.Second, SessionTimeout: 2 * time.Second}
	if err := o.Check(); err != nil {
		t.Error(err)
	}
}

func TestRows_OverAllowance(t *testing.T) {
	rows := []Row{{Role: "a", CPU: 1.5, Bytes: 6000, Memory: 10, Allowance: routerAllowance}, {Role: "b", CPU: 99, Bytes: 1e9, Memory: 1e9},
		{Role: "c", CPU: 1.4, Bytes: 6001, Memory: 65, Allowance: routerAllowance}}
	for n := range rows {
		rows[n].compare()
	}
	if rows[0].OK || !rows[1].OK || rows[2].OK {
		t.Error(rows)
	}
	want := "over: a cpu_percent 1.5 of 1.4; c bytes_per_s 6001 of 6000; c memory_mb 65 of 64"
	if got := OverAllowance(rows); got != want {
		t.Error(got)
	}
	if got := OverAllowance(rows[1:2]); got != "over: none" {
		t.Error(got)
	}
	var b strings.Builder
	PrintRows(&b, rows)
	if lines := strings.Split(strings.TrimSpace(b.String()), "\n"); len(lines) != 5 || lines[4] != want {
		t.Error(b.String())
	}
}

func TestSweepResult_Fit(t *testing.T) {
	s := &SweepResult{}
	for _, n := range SweepSizes(80) {
		s.Reports = append(s.Reports, &Report{Routers: n, RealRouters: 2, Rows: []Row{{Role: "a", CPU: 3 + 0.5*float64(n+2)}, {Role: fmt.Sprint("only ", n)}}})
	}
	if err := s.fit(); err != nil {
		t.Fatal(err)
	}
	if len(s.Slopes) != len(figures) {
		t.Fatalf("%d slopes: a role that is not in each report has none", len(s.Slopes))
	}
	if f := s.Slopes[0].Fit; math.Abs(f.Slope-0.5) > 1e-9 || math.Abs(f.Intercept-3) > 1e-9 || f.Points != 4 {
		t.Error(f)
	}
	if got := fmt.Sprint(SweepSizes(80), SweepSizes(3), SweepSizes(1)); got != "[10 20 40 80] [1 3] [1]" {
		t.Error(got)
	}
}

// The kernel's count of a connection is what was read from it, to the byte.
func TestReadTraffic_CountsBytes(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(l)
	from, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(from)
	to, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(to)
	port := func(a net.Addr) uint16 { return uint16(a.(*net.TCPAddr).Port) }
	find := func(all map[endpoint]traffic) (traffic, bool) {
		for end, found := range all {
			if end.localPort == port(l.Addr()) && end.peerPort == port(from.LocalAddr()) {
				return found, true
			}
		}
		return traffic{}, false
	}
	total := 0
	for _, n := range []int{0, 1, 1000, 12345} {
		if _, err := from.Write(make([]byte, n)); err != nil {
			t.Fatal(err)
		}
		for total += n; n > 0; {
			got, err := to.Read(make([]byte, n))
			if err != nil {
				t.Fatal(err)
			}
			n -= got
		}
		all, err := readTraffic()
		if err != nil {
			t.Fatal(err)
		}
		if f, there := find(all); !there || f.bytesReceived != int64(total) || f.bytesSent != 0 {
			t.Errorf("%d bytes were received, the kernel says %+v, %v", total, f, there)
		}
	}
}

// Of a connection that was open before, only the traffic since counts; of a new one all; of one that has ended none.
func TestInterval_Traffic(t *testing.T) {
	kept, opened, ended := endpoint{inode: 1, peerPort: 80}, endpoint{inode: 2, peerPort: 80}, endpoint{inode: 3, peerPort: 80}
	i := interval{
		seconds: 2,
		before: &sample{
			traffic:       map[endpoint]traffic{kept: {bytesSent: 10, bytesReceived: 20}, ended: {bytesSent: 1000}},
			endpointOwner: map[endpoint]int{kept: 7, ended: 7},
		},
		after: &sample{
			traffic:       map[endpoint]traffic{kept: {bytesSent: 15, bytesReceived: 30, segmentsSent: 2}, opened: {bytesReceived: 4, segmentsReceived: 1}},
			endpointOwner: map[endpoint]int{kept: 7, opened: 8},
		},
	}
	if f := i.trafficTo([]int{7}, []uint16{80}); f.bytes() != 15 || f.segments() != 2 {
		t.Error(f)
	}
	if f := i.totalTraffic(7, 8); f.bytes() != 19 || f.segments() != 3 {
		t.Error(f)
	}
	if f := i.trafficTo([]int{7, 8}, []uint16{81}); f.bytes() != 0 {
		t.Error(f)
	}
}

// Messages are counted by kind, with their encoded bytes, and pass through unchanged.
func TestMessageCounter(t *testing.T) {
	c := newMessageCounter()
	for _, m := range []any{&fleetpb.Request{Stand: "sight/1"}, &fleetpb.Request{Stands: []string{"sight/1"}}, &fleetpb.Request{Entry: []byte{1, 2}}, &fleetpb.Answer{Held: true}, &fleetpb.Answer{Moved: true},
		&fleetpb.Update{Whole: true}, &fleetpb.Update{Index: 3}, &fleetpb.Order{Duty: "sight/1"}, &fleetpb.Verdict{},
		&fleetpb.PolicyFrom{}, &fleetpb.PolicyPart{}} {
		if _, err := c.Marshal(m); err != nil {
			t.Fatal(err)
		}
	}
	in := &fleetpb.Update{Sessions: []*fleetpb.Session{{Name: "a1-1", Incarnation: 100}, {Name: "a1-2", Incarnation: 99}, {Name: "a1-3", Incarnation: 100, Ended: true},
		{Name: "a2-1", Incarnation: 100}}}
	b, err := c.Marshal(in)
	if err != nil {
		t.Fatal(err)
	}
	out := &fleetpb.Update{}
	if err := c.Unmarshal(b, out); err != nil || len(out.Sessions) != 4 {
		t.Fatal(err, out)
	}
	counts := map[string]int64{}
	c.addTo(counts)
	want := map[string]int64{"stand_out": 2, "call_out": 1, "answer_out": 1, "moved_out": 1, "whole_out": 1, "alive_out": 1, "order_out": 1, "verdict_out": 1, "fetch_out": 1, "part_out": 1,
		"change_out": 1, "change_in": 1, "change_in_bytes": int64(b.Len()), "call_out_bytes": 4, "verdict_out_bytes": 0}
	for k, n := range want {
		if counts[k] != n {
			t.Errorf("%s: %d, not %d", k, counts[k], n)
		}
	}
}

// A watch receives the complete list first and then each change, each in as many bytes as the service counts.
func TestDiscoveryServer_Watch(t *testing.T) {
	d, err := newDiscoveryServer([]Entry{{ID: "a", Addr: "127.0.0.1:1", Phase: "in_service", Started: 1}, {ID: "b", Addr: "127.0.0.1:2", Group: 1, Phase: "in_service", Started: 1}})
	if err != nil {
		t.Fatal(err)
	}
	lists := make(chan *discovery.List, 16)
	w := discovery.NewWatcher(d.addr, 0, func(l *discovery.List) { lists <- l }, func(error) {})
	go w.Watch(t.Context())
	if l := <-lists; !l.Complete || len(l.Entries) != 2 || l.Revision != 1 {
		t.Fatalf("%+v", l)
	}
	if at := d.markRestarted([]string{"b"}, 5000); at != 2 {
		t.Fatal(at)
	}
	l := <-lists
	for len(l.Entries) == 0 { // an empty line: nothing had changed yet
		l = <-lists
	}
	if l.Complete || len(l.Entries) != 1 || l.Entries[0].Started != 5000 || l.Revision != 2 {
		t.Fatalf("%+v", l)
	}
	a, err := d.respond(ChildRequest{Do: CommandCount})
	if err != nil {
		t.Fatal(err)
	}
	if c := a.Counts; c["wholes"] != 1 || c["changes"] != 1 || c["watches"] != 1 || c["whole_bytes"] != int64(len(listLine{1, true, []Entry{
		{ID: "a", Addr: "127.0.0.1:1", Phase: "in_service", Started: 1}, {ID: "b", Addr: "127.0.0.1:2", Group: 1, Phase: "in_service", Started: 1}}}.encode())) {
		t.Error(c)
	}
	// A watch that is further behind than changes are kept receives the complete list again.
	for range maxKeptChanges {
		d.markRestarted([]string{"a"}, 6000)
	}
	if out, at, _ := d.linesSince(1); at != maxKeptChanges+2 || !strings.Contains(string(out), `"complete":true`) {
		t.Errorf("at %d: %.60s", at, out)
	}
	if out, _, _ := d.linesSince(2); strings.Count(string(out), "\n") != maxKeptChanges {
		t.Errorf("%d lines", strings.Count(string(out), "\n"))
	}
}

// A hollow process reports what is wrong with a specification or a request.
func TestRunHollow_InvalidInput(t *testing.T) {
	for _, c := range [][2]string{{`{"role":"cook"}`, `role: unknown value \"cook\"`}, {`{"role":"discovery"}` + "\n" + `{"do":"sing"}`, `do: unknown value \"sing\"`},
		{`{"role":"databases","names":["a"],"addrs":["x","y"]}`, "addrs: 2 for 1"}} {
		var out strings.Builder
		_ = RunHollow(strings.NewReader(c[0]), &out) // the response has the error
		if !strings.Contains(out.String(), c[1]) {
			t.Errorf("%s: %s", c[0], out.String())
		}
	}
	if got := EventNames(); !slices.Equal(got, []string{"change", "cut-regions", "primary", "restart-zone"}) {
		t.Error(got)
	}
}
