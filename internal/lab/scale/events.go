package scale

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// Propagation is one thing that all had to receive after an event.
type Propagation struct {
	What     string  `json:"what"`
	Expected int     `json:"expected"` // receptions
	Received int     `json:"heard"`
	Median   float64 `json:"median_ms"` // from the event; -1: nobody received it
	Worst    float64 `json:"worst_ms"`
}

// EventResult is the result of RunEvent.
type EventResult struct {
	Event   string             `json:"event"`
	Seconds float64            `json:"seconds"` // until all had received everything, or the timeout
	Parts   []Propagation      `json:"parts"`
	Bytes   map[string]float64 `json:"bytes"` // that the event cost a router, by routers; what the same time costs without it is subtracted
	Calls   map[string]int64   `json:"calls"` // growth of the counts of hollow routers, all together
	Notes   []string           `json:"said,omitempty"`
}

// event is one kind of event, which is run on an installation that has settled.
type event struct {
	prepare func(*Options)
	// run also takes what routers cost without the event.
	run func(in *Installation, baseline interval) (*EventResult, error)
}

var events = map[string]event{
	"restart-zone": {func(o *Options) { o.Holders = 0 }, restartZone},
	"cut-regions":  {func(o *Options) { o.Holders, o.Regions = 0, true }, cutRegions},
	"change":       {func(o *Options) { o.Holders = 0 }, changePolicy},
	"primary":      {func(o *Options) { o.Holders = max(1, o.Holders) }, changePrimary},
}

// EventNames returns the names of the events, sorted.
func EventNames() []string { return slices.Sorted(maps.Keys(events)) }

// RunEvent starts an installation, has an event happen to it, measures how that propagates, and ends the installation.
func RunEvent(name string, options Options) (*EventResult, error) {
	e, known := events[name]
	if !known {
		return nil, fmt.Errorf("--event: %s, not %q", strings.Join(EventNames(), ", "), name)
	}
	e.prepare(&options)
	if err := checkEventSize(options); err != nil {
		return nil, err
	}
	in, err := Start(options)
	if err != nil {
		return nil, err
	}
	defer in.Close()
	if in.Holders > 0 {
		if err := in.StartHolders(); err != nil {
			return nil, err
		}
	}
	baseline, err := in.measure(options.SampleDuration)
	if err != nil {
		return nil, err
	}
	result, err := e.run(in, baseline)
	if err != nil {
		return nil, fmt.Errorf("event %s: %w", name, err)
	}
	result.Event = name
	return result, nil
}

func checkEventSize(options Options) error {
	const minRouters = 2 * zones
	if options.Routers < minRouters {
		return fmt.Errorf("--event: takes %d hollow routers, two in each zone, not %d", minRouters, options.Routers)
	}
	if options.Members < zones || options.GroupSize < 2 {
		return fmt.Errorf("--event: takes %d databases, and groups of two", zones)
	}
	return nil
}

// byteLabels are the printed names of EventResult.Bytes whose key is not plain.
var byteLabels = map[string]string{bytesBeyondHealthSharing: "each, beyond the cost of health sharing"}

// Print writes the result as text.
func (r *EventResult) Print(w io.Writer) {
	var text strings.Builder
	fmt.Fprintf(&text, "%s: over after %.1f s\n", r.Event, r.Seconds)
	for _, note := range r.Notes {
		text.WriteString("  " + note + "\n")
	}
	var table strings.Builder
	table.WriteString("part\texpected\treceived\tmedian ms\tworst ms\n")
	for _, p := range r.Parts {
		fmt.Fprintf(&table, "%s\t%d\t%d\t%.0f\t%.0f\n", p.What, p.Expected, p.Received, p.Median, p.Worst)
	}
	text.WriteString(alignColumns(table.String()))
	for _, key := range slices.Sorted(maps.Keys(r.Bytes)) {
		label := key
		if plain, ok := byteLabels[key]; ok {
			label = plain
		}
		fmt.Fprintf(&text, "bytes a router, %s: %.0f\n", label, r.Bytes[key])
	}
	for _, key := range slices.Sorted(maps.Keys(r.Calls)) {
		fmt.Fprintf(&text, "%s: %d\n", key, r.Calls[key])
	}
	printText(w, text.String())
}
