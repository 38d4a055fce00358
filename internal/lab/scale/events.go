package scale

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// Propagation is the result for one kind of update that routers had to receive after an event.
type Propagation struct {
	What     string  `json:"what"`
	Expected int     `json:"expected"` // receptions
	Received int     `json:"heard"`
	Median   float64 `json:"median_ms"` // since the event; -1: not received
	Worst    float64 `json:"worst_ms"`
}

// EventResult is the result of RunEvent.
type EventResult struct {
	Event   string             `json:"event"`
	Seconds float64            `json:"seconds"` // until everything was received, or until the timeout
	Parts   []Propagation      `json:"parts"`
	Bytes   map[string]float64 `json:"bytes"` // sent and received per router, by set of routers; the baseline is subtracted, except for restarted routers
	Calls   map[string]int64   `json:"calls"` // growth of the counts, summed over all hollow routers
	Notes   []string           `json:"said,omitempty"`
}

// event is a kind of event that RunEvent can run.
type event struct {
	prepare func(*Options)
	// run takes a settled installation, and as the baseline a sample of it without the event.
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

// RunEvent starts an installation, triggers an event, measures how its effects propagate, and stops the installation.
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
		return fmt.Errorf("--event: takes %d hollow routers at least, two in each zone, not %d", minRouters, options.Routers)
	}
	if options.Members < zones || options.GroupSize < 2 {
		return fmt.Errorf("--event: takes %d databases at least, and groups of two or more", zones)
	}
	return nil
}

// byteLabels are the labels that Print uses in place of keys of EventResult.Bytes. The JSON output has the keys.
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
		fmt.Fprintf(&text, "bytes per router, %s: %.0f\n", label, r.Bytes[key])
	}
	for _, key := range slices.Sorted(maps.Keys(r.Calls)) {
		fmt.Fprintf(&text, "%s: %d\n", key, r.Calls[key])
	}
	printText(w, text.String())
}
