package fleet

import (
	"maps"
	"slices"

	"wayloft/internal/fakes/pgserver"
)

// promotedRole is the role in the members' log by which a member says that it has become the primary.
const promotedRole = "takes"

// CheckWrites checks by the members' own log that each write that clients heard has succeeded took effect exactly once, that none took effect
// twice or after its rejection, and that only the member that was promoted last committed any.
func CheckWrites(directory string, load *WriteLoad) []string {
	var found violations
	entries, err := pgserver.ReadLog(directory)
	if err != nil {
		found.add("%v", err)
		return found
	}
	times, primary := map[string]int{}, ""
	for _, entry := range entries {
		if entry.Part == promotedRole {
			primary = entry.By
		}
		if len(entry.Writes) > 0 && entry.By != primary {
			found.add("%s committed %v while %s was the primary", entry.By, entry.Writes[0], primary)
		}
		for _, write := range entry.Writes {
			times[write[0]]++
		}
	}
	for _, handle := range slices.Sorted(maps.Keys(times)) {
		if times[handle] > 1 {
			found.add("%s took effect %d times", handle, times[handle])
		}
	}
	for _, handle := range load.Succeeded {
		if times[handle] == 0 {
			found.add("%s has succeeded by its response and is lost", handle)
		}
	}
	for _, handle := range load.Rejected {
		if times[handle] > 0 {
			found.add("%s was rejected by its response and has taken effect", handle)
		}
	}
	return found
}
