package fleet

import (
	"maps"
	"slices"

	"wayloft/internal/fakes/pgserver"
)

// promotedRole is the role that a member writes to the members' log when it becomes the primary.
const promotedRole = "takes"

// CheckWrites checks the members' log against the responses that clients received: each write reported as successful took effect exactly
// once, no write took effect twice, no rejected write took effect, and only the member promoted last committed writes.
func CheckWrites(directory string, load *WriteLoad) []string {
	var found violations
	entries, err := pgserver.ReadLog(directory)
	if err != nil {
		found.add("%v", err)
		return found
	}
	applied, primary := map[string]int{}, ""
	for _, entry := range entries {
		if entry.Transition == promotedRole {
			primary = entry.By
		}
		if len(entry.Writes) > 0 && entry.By != primary {
			found.add("%s committed %v while %s was the primary", entry.By, entry.Writes[0], primary)
		}
		for _, write := range entry.Writes {
			applied[write[0]]++
		}
	}
	for _, handle := range slices.Sorted(maps.Keys(applied)) {
		if applied[handle] > 1 {
			found.add("%s took effect %d times", handle, applied[handle])
		}
	}
	for _, handle := range load.Succeeded {
		if applied[handle] == 0 {
			found.add("%s was reported as successful and is lost", handle)
		}
	}
	for _, handle := range load.Rejected {
		if applied[handle] > 0 {
			found.add("%s was reported as rejected and took effect", handle)
		}
	}
	return found
}
