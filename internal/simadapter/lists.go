package simadapter

import (
	"errors"
	"fmt"

	"github.com/valyala/fastjson"

	"wayloft/internal/settings"
	"wayloft/router"
)

// Modes of a list change, as the wire has them.
const (
	listModeFailed  = "X" // the list could not be had
	listModeChanges = "D" // the rows that have changed
	listModeFull    = "F" // all rows
	listModeCached  = "C" // a full list from a cache
)

// memberStates are the memberStates of listed members by their names on the wire.
var memberStates = map[string]router.State{"up": router.Up, "draining": router.Draining, "removed": router.Removed}

// defineMemberList keeps the rows of a member list under its number. A number that is used again stands for the newer list from there on.
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

// applyMemberList passes a member list on to an instance.
func (a *adapter) applyMemberList(i *instance, fields *settings.Fields) error {
	mode := fields.Text("mode")
	switch mode {
	case listModeFailed:
		i.router.ListFailed()
		return fields.Err
	case listModeChanges, listModeFull, listModeCached:
	default:
		if fields.Err == nil {
			return fmt.Errorf("mode: unknown %q", mode)
		}
	}
	number := int(fields.Number("ref"))
	if fields.Err != nil {
		return fields.Err
	}
	if number < 0 || number >= len(a.memberLists) || a.memberLists[number] == nil {
		return fmt.Errorf("ref: list %d was never set", number)
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
		return fmt.Errorf("state: unknown %q", stateName)
	}
	i.router.ListMember(id, zone, group, state, started)
	return nil
}
