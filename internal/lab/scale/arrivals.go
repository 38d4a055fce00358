package scale

import (
	"slices"
	"sync"
)

// maxRecordedTimes limits how many times are recorded of each kind.
const maxRecordedTimes = 2 << 20

// arrivals records when the routers of this process receive what a filter selects.
type arrivals struct {
	mu       sync.Mutex
	filter   *ReceptionFilter // nil: nothing is recorded
	received ReceivedTimes
}

// setFilter replaces the filter and discards the recorded times.
func (a *arrivals) setFilter(filter *ReceptionFilter) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.filter, a.received = filter, ReceivedTimes{}
}

func record(times *[]float64) {
	if len(*times) < maxRecordedTimes {
		*times = append(*times, unixMs())
	}
}

// policyApplied records that a router applied a version of the policy.
func (a *arrivals) policyApplied() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.filter != nil && a.filter.Policy {
		record(&a.received.Policies)
	}
}

// listReceived records that a router received a revision of the endpoint list.
func (a *arrivals) listReceived(revision int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.filter != nil && a.filter.Revision > 0 && revision >= a.filter.Revision {
		record(&a.received.Lists)
	}
}

// primaryReported records that a router received a report of a primary, once per router and filter. last is the filter for which this
// router was recorded last; the caller passes the result as last in the next call.
func (a *arrivals) primaryReported(member string, last *ReceptionFilter) *ReceptionFilter {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.filter == nil || a.filter == last || a.filter.Primary != member {
		return last
	}
	record(&a.received.Primaries)
	return a.filter
}

// times returns the times recorded since the filter was set.
func (a *arrivals) times() *ReceivedTimes {
	a.mu.Lock()
	defer a.mu.Unlock()
	return &ReceivedTimes{
		Policies:  slices.Clone(a.received.Policies),
		Lists:     slices.Clone(a.received.Lists),
		Primaries: slices.Clone(a.received.Primaries),
	}
}
