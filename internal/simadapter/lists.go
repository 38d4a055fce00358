package simadapter

import (
	"errors"
	"fmt"

	"github.com/valyala/fastjson"

	"wayloft/internal/settings"
	"wayloft/router"
)

// Values of the mode field of a list event.
const (
	listModeFailed  = "X" // the list could not be fetched
	listModeChanges = "D" // only the rows that changed
	listModeFull    = "F" // all rows
	listModeCached  = "C" // all rows, from a cache
)

// memberStates maps the names of member states on the wire to router states.
var memberStates = map[string]router.State{"up": router.Up, "draining": router.Draining, "removed": router.Removed}

// defineMemberList stores the rows of a member list under its number. Reusing a number replaces the list for all later events.
func (a *adapter) defineMemberList(fields *settings.Fields) error {
	number := int(fields.Number("ref"))
	hosts := fields.Value.Get("hosts")
	if fields.Err == nil && (number < 0 || number >= len(a.memberLists)) {
		return fmt.Errorf("ref %d: must be 0 to %d", number, len(a.memberLists)-1)
	}
	if fields.Err == nil && (hosts == nil || hosts.Type() != fastjson.TypeArray) {
		return errors.New("hosts: must be an array")
	}
	if fields.Err == nil {
		a.memberLists[number] = hosts.MarshalTo(nil)
	}
	return fields.Err
}

// applyMemberList passes a stored member list, or the failure to fetch one, to the router of an instance.
func (a *adapter) applyMemberList(i *instance, fields *settings.Fields) error {
	mode := fields.Text("mode")
	switch mode {
	case listModeFailed:
		i.router.ListFailed()
		return fields.Err
	case listModeChanges, listModeFull, listModeCached:
	default:
		if fields.Err == nil {
			return fmt.Errorf("mode: unknown list mode %q", mode)
		}
	}
	number := int(fields.Number("ref"))
	if fields.Err != nil {
		return fields.Err
	}
	if number < 0 || number >= len(a.memberLists) || a.memberLists[number] == nil {
		return fmt.Errorf("ref: list %d is not defined", number)
	}
	rows, err := a.listParser.ParseBytes(a.memberLists[number])
	if err != nil {
		return err
	}
	i.router.BeginList()
	for _, row := range rows.GetArray() {
		if err := addListMember(i, &settings.Fields{Value: row}); err != nil {
			return fmt.Errorf("ref: list %d: %w", number, err)
		}
	}
	i.router.EndList(mode != listModeChanges)
	return nil
}

func addListMember(i *instance, row *settings.Fields) error {
	id, zone, group, stateName := row.Text("node"), row.OptionalText("dc"), int(row.OptionalNumber("group")), row.Text("state")
	started := router.Never
	if at := row.OptionalNumber("startTime"); at > 0 {
		started = at / microsecondsPerMs
	}
	if row.Err != nil {
		return row.Err
	}
	state, known := memberStates[stateName]
	if !known {
		return fmt.Errorf("state: unknown member state %q", stateName)
	}
	i.router.ListMember(id, zone, group, state, started)
	return nil
}
