// Package discovery reads the endpoint list: the members in service, as reported by the platform's list service. A Watcher follows the
// list over HTTP and calls back with each list or change; DecodeList decodes a list obtained elsewhere.
//
// The router (internal/server) starts a Watcher and posts the lists that it delivers to the event loop. The package is responsible for
// the connection to the list service and for the format of its lists. It makes no decisions about members and delivers only lists that
// were received in full and are valid.
package discovery

import "wayloft/router"

// Entry is a member in the list.
type Entry struct {
	ID, Addr, Zone string
	Group          int
	State          router.State
	Started        float64 // Unix time in ms; router.Never if unknown
}

// List is either the complete list or a change: the entries that differ from an earlier revision.
type List struct {
	Revision int64
	Complete bool // members not in Entries have been removed
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
