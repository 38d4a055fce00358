// Package discovery reads the endpoint list: the members in service, as the platform's list service reports them. A Watcher follows the
// list over HTTP and calls back with each list or change; DecodeList decodes one that was read elsewhere.
//
// The router (internal/server) starts a Watcher and posts what it delivers to the event loop. The package owns the connection to the list
// service and the form of its lists. It never judges a member, and delivers only complete, valid lists.
package discovery

import "wayloft/router"

// Entry is one member in the list.
type Entry struct {
	ID, Addr, Zone string
	Group          int
	State          router.State
	Started        float64 // Unix time in ms; router.Never if not given
}

// List is either the complete list, or the entries that have changed.
type List struct {
	Revision int64
	Complete bool // members that are not in Entries are removed
	Entries  []Entry
}

// IDs returns the IDs of the members in the list.
func (l *List) IDs() map[string]bool {
	ids := make(map[string]bool, len(l.Entries))
	for _, entry := range l.Entries {
		ids[entry.ID] = true
	}
	return ids
}
