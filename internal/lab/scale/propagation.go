package scale

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"wayloft/internal/fleetpb"
)

const (
	// propagationTimeout limits the wait until all routers have received the updates that an event causes.
	propagationTimeout       = 2 * time.Minute
	propagationCheckInterval = 200 * time.Millisecond
)

// Kinds of updates that routers receive after events, as named in reports.
const (
	partPolicies  = "policies"
	partLists     = "lists"
	partPrimaries = "primaries"
	partSessions  = "sessions"
)

// setFilter sets the reception filter of all hollow router processes.
func (in *Installation) setFilter(filter ReceptionFilter) error {
	for _, child := range in.routers {
		if child == nil {
			continue
		}
		if _, err := child.Ask(ChildRequest{Command: CommandSetFilter, Filter: &filter}); err != nil {
			return err
		}
	}
	return nil
}

// waitReceived waits until each part was received as often as expected, or until the timeout, and returns the delays since an event.
// sessions records opened sessions; it is nil if none are expected.
func (in *Installation) waitReceived(eventMs float64, expected map[string]int, sessions *sessionWatch) ([]Propagation, error) {
	deadline := time.Now().Add(propagationTimeout)
	for {
		times, err := in.receivedTimes()
		if err != nil {
			return nil, err
		}
		times[partSessions] = sessions.openedTimes()
		if allReceived(times, expected) || time.Now().After(deadline) {
			return propagations(eventMs, expected, times), nil
		}
		if err := in.wait(propagationCheckInterval); err != nil {
			return nil, err
		}
	}
}

func allReceived(times map[string][]float64, expected map[string]int) bool {
	for part, count := range expected {
		if len(times[part]) < count {
			return false
		}
	}
	return true
}

// receivedTimes returns the times, in Unix ms, that hollow routers recorded since the filter was set.
func (in *Installation) receivedTimes() (map[string][]float64, error) {
	times := map[string][]float64{}
	for _, child := range in.routers {
		if child == nil {
			continue
		}
		response, err := child.Ask(ChildRequest{Command: CommandReceivedTimes})
		if err != nil {
			return nil, err
		}
		times[partPolicies] = append(times[partPolicies], response.ReceivedTimes.Policies...)
		times[partLists] = append(times[partLists], response.ReceivedTimes.Lists...)
		times[partPrimaries] = append(times[partPrimaries], response.ReceivedTimes.Primaries...)
	}
	return times, nil
}

func propagations(eventMs float64, expected map[string]int, times map[string][]float64) (parts []Propagation) {
	for _, part := range slices.Sorted(maps.Keys(expected)) {
		received := times[part]
		slices.Sort(received)
		p := Propagation{What: part, Expected: expected[part], Received: len(received), Median: -1, Worst: -1}
		if len(received) > 0 {
			p.Median, p.Worst = quantile(received, 0.5)-eventMs, received[len(received)-1]-eventMs
		}
		parts = append(parts, p)
	}
	return parts
}

// sessionWatch records when sessions open. It uses a watch of its own since hollow routers without leases don't receive other sessions.
type sessionWatch struct {
	cancel context.CancelFunc
	ended  chan struct{}

	mu       sync.Mutex
	openedMs map[string]float64 // first seen open, in Unix ms, by session name
}

// watchSessions records sessions whose name has a prefix and whose incarnation (the process's start time in Unix ms, or a later number)
// is at least startedMs.
func (in *Installation) watchSessions(prefix string, startedMs float64) *sessionWatch {
	ctx, cancel := context.WithCancel(context.Background())
	w := &sessionWatch{openedMs: map[string]float64{}, cancel: cancel, ended: make(chan struct{})}
	go func() {
		defer close(w.ended)
		for ctx.Err() == nil {
			err := in.client.Watch(ctx, false, func(update *fleetpb.Update) { w.record(update, prefix, startedMs) })
			if ctx.Err() == nil {
				logrus.WithError(err).Debug("watch of sessions ended; restarting it")
			}
		}
	}()
	return w
}

// stop ends the watch and waits until it has ended.
func (w *sessionWatch) stop() {
	w.cancel()
	<-w.ended
}

func (w *sessionWatch) record(update *fleetpb.Update, prefix string, startedMs float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range update.Sessions {
		_, known := w.openedMs[s.Name]
		if !known && !s.Ended && strings.HasPrefix(s.Name, prefix) && float64(s.Incarnation) >= startedMs {
			w.openedMs[s.Name] = unixMs()
		}
	}
}

// openedTimes returns when sessions were first seen open, in Unix ms. It returns nil for a nil watch.
func (w *sessionWatch) openedTimes() []float64 {
	if w == nil {
		return nil
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Collect(maps.Values(w.openedMs))
}

// eventCost returns the bytes per router that processes sent and received beyond the baseline rate.
func eventCost(baseline, during interval, pids []int, routers int) float64 {
	baselineRate := float64(baseline.totalTraffic(pids...).bytes()) / baseline.seconds
	extra := float64(during.totalTraffic(pids...).bytes()) - baselineRate*during.seconds
	return extra / float64(max(1, routers))
}
