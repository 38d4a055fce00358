package scale

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"wayloft/internal/decide/policy"
	"wayloft/internal/fleetpb"
	"wayloft/internal/lab/fleet"
	"wayloft/internal/settings"
)

// Propagation is one thing that had to get everywhere after an event.
type Propagation struct {
	What     string  `json:"what"`
	Expected int     `json:"expected"` // hearings
	Received int     `json:"heard"`
	Median   float64 `json:"median_ms"` // from the event until heard
	Worst    float64 `json:"worst_ms"`
}

// EventResult is one event.
type EventResult struct {
	Event   string             `json:"event"`
	Seconds float64            `json:"seconds"` // until all parts were everywhere, or it was given up
	Parts   []Propagation      `json:"parts"`
	Bytes   map[string]float64 `json:"bytes"` // that it cost a router, by whom; what the same time costs without it is taken off
	Calls   map[string]int64   `json:"calls"` // of hollow routers meanwhile, all together
	Notes   []string           `json:"said,omitempty"`
}

// everywhere is how long an event may take before it is given up.
const everywhere = 2 * time.Minute

// event plays one on an installation that has settled, with what a router's bytes a second are meanwhile without it.
type event struct {
	prepare func(*Options)
	play    func(in *Installation, calm between) (*EventResult, error)
}

// events are those that there are. One more is one more line here.
var events = map[string]event{
	"restart-zone": {func(o *Options) { o.Holders = 0 }, restartZone},
	"cut-regions":  {func(o *Options) { o.Holders, o.Regions = 0, true }, cutRegions},
	"change":       {func(o *Options) { o.Holders = 0 }, changePolicy},
	"primary":      {func(o *Options) { o.Holders = max(1, o.Holders) }, changePrimary},
}

// EventNames names them.
func EventNames() []string { return sortedKeys(events) }

// RunEvent has an event happen to an installation that it starts and ends.
func RunEvent(name string, o Options) (*EventResult, error) {
	e, known := events[name]
	if !known {
		return nil, fmt.Errorf("--event: %s, not %q", strings.Join(EventNames(), ", "), name)
	}
	if e.prepare(&o); o.Routers < 2*zones {
		return nil, fmt.Errorf("--event: takes %d hollow routers, two in each zone, not %d", 2*zones, o.Routers)
	}
	if o.Members < zones || o.GroupSize < 2 {
		return nil, fmt.Errorf("--event: takes %d databases, and groups of two", zones)
	}
	in, err := Start(o)
	if err != nil {
		return nil, err
	}
	defer in.Close()
	if in.Holders > 0 {
		if err := in.StartHolders(); err != nil {
			return nil, err
		}
	}
	calm, err := in.during(o.SampleDuration)
	if err != nil {
		return nil, err
	}
	h, err := e.play(in, calm)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	h.Event = name
	return h, nil
}

// mark has all processes of hollow routers note what it names from now on.
func (in *Installation) mark(m Mark) error {
	for _, c := range in.routers {
		if c != nil {
			if _, err := c.Ask(ChildRequest{Do: "mark", Mark: &m}); err != nil {
				return err
			}
		}
	}
	return nil
}

// heard waits until so much has been heard, and gives the parts, with times from an event on.
func (in *Installation) heard(from float64, expected map[string]int, opened *opened) (parts []Propagation, err error) {
	var times map[string][]float64
	for late := time.Now().Add(everywhere); ; {
		times = map[string][]float64{}
		for _, c := range in.routers {
			if c == nil {
				continue
			}
			a, err := c.Ask(ChildRequest{Do: "heard"})
			if err != nil {
				return nil, err
			}
			times["policies"] = append(times["policies"], a.Heard.Policies...)
			times["lists"] = append(times["lists"], a.Heard.Lists...)
			times["primaries"] = append(times["primaries"], a.Heard.Primaries...)
		}
		times["sessions"] = opened.times()
		missing := false
		for what, n := range expected {
			missing = missing || len(times[what]) < n
		}
		if !missing || time.Now().After(late) {
			break
		}
		if err := in.wait(200 * time.Millisecond); err != nil {
			return nil, err
		}
	}
	for _, what := range slices.Sorted(maps.Keys(expected)) {
		all := times[what]
		slices.Sort(all)
		p := Propagation{What: what, Expected: expected[what], Received: len(all), Median: -1, Worst: -1}
		if len(all) > 0 {
			p.Median, p.Worst = quantile(all, 0.5)-from, all[len(all)-1]-from
		}
		parts = append(parts, p)
	}
	return parts, nil
}

// opened notes when sessions open, by a watch of its own: routers that give no orders are told of no others.
type opened struct {
	mu   sync.Mutex
	at   map[string]float64 // Unix ms, by name
	stop context.CancelFunc
}

// open notes sessions whose names begin so and that began at a time, Unix ms, or later; 0: whenever.
func (in *Installation) open(begin string, from float64) *opened {
	ctx, cancel := context.WithCancel(context.Background())
	o := &opened{at: map[string]float64{}, stop: cancel}
	go func() {
		for ctx.Err() == nil {
			in.client.Watch(ctx, false, func(u *fleetpb.Update) {
				o.mu.Lock()
				defer o.mu.Unlock()
				for _, s := range u.Sessions {
					if _, known := o.at[s.Name]; !known && !s.Ended && strings.HasPrefix(s.Name, begin) && float64(s.Incarnation) >= from {
						o.at[s.Name] = unixMs()
					}
				}
			})
		}
	}()
	return o
}

func (o *opened) times() []float64 {
	if o == nil {
		return nil
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Collect(maps.Values(o.at))
}

// cost is what some routers' bytes were beyond what the same time costs without the event, for each.
func cost(calm, b between, of []int, routers int) float64 {
	rate := float64(calm.all(of...).bytes()) / calm.seconds
	return (float64(b.all(of...).bytes()) - rate*b.seconds) / float64(max(1, routers))
}

func (in *Installation) ended(before *look) (between, error) {
	then, err := in.look()
	if err != nil {
		return between{}, err
	}
	return between{then.at.Sub(before.at).Seconds(), before, then}, nil
}

const (
	restarted = 3               // the zone that is
	second    = string('a' + 1) // region, which is cut off from the coordinator's majority
)

// restartZone kills all routers and databases of a zone at once and has them back at once, cold, with the list saying so.
func restartZone(in *Installation, calm between) (*EventResult, error) {
	from, to := share(restarted, in.Routers)
	mFrom, mTo := share(restarted, in.Members)
	before, err := in.look()
	if err != nil {
		return nil, err
	}
	a, err := in.directory.Ask(ChildRequest{Do: "count"})
	if err != nil {
		return nil, err
	}
	m := Mark{Revision: a.Revision + 1}
	if err := in.mark(m); err != nil {
		return nil, err
	}
	at := unixMs()
	back := in.open(zoneNames(restarted), at)
	defer back.stop()
	in.routers[restarted].Kill()
	in.databases[restarted].Kill()
	var ids []string
	for _, m := range in.members[mFrom:mTo] {
		ids = append(ids, m.ID)
	}
	if _, err := in.directory.Ask(ChildRequest{Do: "restarted", Members: ids, At: at}); err != nil {
		return nil, err
	}
	shop := in.databases[restarted].Spec
	shop.Addrs = in.databases[restarted].Addrs
	if in.databases[restarted], err = StartChild(in.Binary, in.Dir, "databases-again", shop); err != nil {
		in.databases[restarted] = nil
		return nil, err
	}
	spec := in.routers[restarted].Spec
	spec.PaceMs, spec.Mark = 0, &m
	others := slices.DeleteFunc(slices.Clone(in.routers), func(c *Child) bool { return c == nil || c == in.routers[restarted] })
	if in.routers[restarted], err = StartChild(in.Binary, in.Dir, "routers-again", spec); err != nil {
		in.routers[restarted] = nil
		return nil, err
	}
	parts, err := in.heard(at, map[string]int{"sessions": to - from, "lists": in.Routers}, back)
	if err != nil {
		return nil, err
	}
	took := (unixMs() - at) / 1000
	if err := in.settle(in.Routers + in.RealRouters); err != nil { // each asks of the coordinator where all leases stand
		return nil, err
	}
	b, err := in.ended(before)
	if err != nil {
		return nil, err
	}
	again := in.routers[restarted]
	h := &EventResult{Seconds: took, Parts: parts, Bytes: map[string]float64{
		"another": cost(calm, b, pids(others), in.Routers-(to-from)), "restarted": float64(b.all(again.Pid()).bytes()) / float64(to-from)},
		Calls: map[string]int64{}}
	name := fmt.Sprint("routers-", restarted)
	for k, n := range b.then.counts[name] { // since its start
		h.Calls["restarted "+k] = n
	}
	delete(b.before.counts, name)
	delete(b.then.counts, name)
	for k, n := range differences(b) {
		h.Calls["others "+k] = n
	}
	h.Notes = append(h.Notes, fmt.Sprintf("nothing but beats was asked of the council after %.0f s, to the second", (unixMs()-at)/1000), fmt.Sprintf("%d routers and %d databases killed and back", to-from, mTo-mFrom))
	return h, nil
}

// cutRegions cuts every link between the two regions, without a word to anybody, and heals all after a look's time.
func cutRegions(in *Installation, calm between) (*EventResult, error) {
	var ways []*fleet.Link
	ways = append(ways, in.switches...)
	for n, a := range in.council() {
		for m, b := range in.council() {
			if s := in.fleet.Link(a.Name, b.Name); s != nil && "aab"[n] != "aab"[m] {
				ways = append(ways, s)
			}
		}
	}
	var lost int // routers of the region that is cut off from the majority
	for z := range zones {
		if from, to := share(z, in.Routers); string(region(z)) == second {
			lost += to - from
		}
	}
	for _, s := range ways {
		s.Blackhole(true, true)
	}
	if err := in.wait(in.SampleDuration); err != nil {
		return nil, err
	}
	s, err := in.state()
	if err != nil {
		return nil, err
	}
	left := len(s.State.Sessions)
	before, err := in.look()
	if err != nil {
		return nil, err
	}
	at := unixMs()
	back := in.open(second, 0) // those that were open before are gone: their length is over
	defer back.stop()
	for _, s := range ways {
		s.Heal()
	}
	parts, err := in.heard(at, map[string]int{"sessions": lost}, back)
	if err != nil {
		return nil, err
	}
	b, err := in.ended(before)
	if err != nil {
		return nil, err
	}
	h := &EventResult{Seconds: (unixMs() - at) / 1000, Parts: parts, Calls: differences(b), Bytes: map[string]float64{
		"first region": cost(calm, b, pids(in.routers[:zones/2]), in.Routers-lost), "second region": cost(calm, b, pids(in.routers[zones/2:]), lost)}}
	h.Notes = append(h.Notes, fmt.Sprintf("apart for %s; %d of %d sessions were left at the council", in.SampleDuration, left, in.Routers+in.RealRouters),
		"discovery and databases were not cut; a router's share of the council's majority side is what decides")
	return h, nil
}

// changePrimary has another database of an owned group take writes in place of the first.
func changePrimary(in *Installation, calm between) (*EventResult, error) {
	old, to := in.members[0].ID, ""
	for _, m := range in.members[1:] {
		if m.Group == in.members[0].Group {
			to = m.ID
			break
		}
	}
	if to == "" {
		return nil, errors.New("the group has one database alone")
	}
	before, err := in.look()
	if err != nil {
		return nil, err
	}
	if err := in.mark(Mark{Primary: to}); err != nil {
		return nil, err
	}
	at := unixMs()
	for _, c := range in.databases {
		if c != nil {
			if _, err := c.Ask(ChildRequest{Do: "promote", Members: []string{to, old}}); err != nil {
				return nil, err
			}
		}
	}
	parts, err := in.heard(at, map[string]int{"primaries": in.Routers}, nil)
	if err != nil {
		return nil, err
	}
	b, err := in.ended(before)
	if err != nil {
		return nil, err
	}
	h := &EventResult{Seconds: (unixMs() - at) / 1000, Parts: parts, Calls: differences(b),
		Bytes: map[string]float64{"each, beyond what sight costs anyway": cost(calm, b, pids(in.routers), in.Routers)}}
	h.Notes = append(h.Notes, "sight says whom to ask first; a router sends writes only to one that it has itself heard say so")
	return h, nil
}

// changePolicy has another version of the policy agreed, and waits until each router goes by it.
func changePolicy(in *Installation, calm between) (*EventResult, error) {
	d, err := settings.ReadPolicy([]byte("over_share_value = 0.25\n"))
	if err != nil {
		return nil, err
	}
	before, err := in.look()
	if err != nil {
		return nil, err
	}
	if err := in.mark(Mark{Policy: true}); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	at := unixMs()
	a, err := in.client.Propose(ctx, policy.Propose(policy.Version{}, nil, d, "lab", "lab size"))
	if err != nil {
		return nil, err
	}
	if !a.Held {
		return nil, a.Refusal
	}
	agreed := unixMs()
	parts, err := in.heard(at, map[string]int{"policies": in.Routers}, nil)
	if err != nil {
		return nil, err
	}
	b, err := in.ended(before)
	if err != nil {
		return nil, err
	}
	h := &EventResult{Seconds: (unixMs() - at) / 1000, Parts: parts, Calls: differences(b), Bytes: map[string]float64{"each": cost(calm, b, pids(in.routers), in.Routers)}}
	h.Notes = append(h.Notes, fmt.Sprintf("agreed after %.0f ms", agreed-at), "hollow routers alone are counted")
	return h, nil
}

// Print writes it.
func (h *EventResult) Print(w io.Writer) {
	fmt.Fprintf(w, "%s: over after %.1f s\n", h.Event, h.Seconds)
	for _, s := range h.Notes {
		fmt.Fprintln(w, "  "+s)
	}
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(t, "part\texpected\theard\tmedian ms\tworst ms")
	for _, p := range h.Parts {
		fmt.Fprintf(t, "%s\t%d\t%d\t%.0f\t%.0f\n", p.What, p.Expected, p.Received, p.Median, p.Worst)
	}
	t.Flush()
	for _, k := range sortedKeys(h.Bytes) {
		fmt.Fprintf(w, "bytes a router, %s: %.0f\n", k, h.Bytes[k])
	}
	for _, k := range sortedKeys(h.Calls) {
		fmt.Fprintf(w, "%s: %d\n", k, h.Calls[k])
	}
}
