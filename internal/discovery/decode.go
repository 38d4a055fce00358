package discovery

import (
	"errors"
	"fmt"
	"net"

	"github.com/valyala/fastjson"

	"wayloft/internal/settings"
	"wayloft/router"
)

// states maps the values of the list's phase field to member states.
var states = map[string]router.State{
	"in_service":  router.Up,
	"terminating": router.Draining,
	"terminated":  router.Removed,
}

func parseList(text []byte) (*List, error) {
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return nil, InvalidListError{Err: fmt.Errorf("not JSON: %w", err)}
	}
	return DecodeList(v)
}

// DecodeList decodes a list. It returns errors of type InvalidListError.
func DecodeList(v *fastjson.Value) (*List, error) {
	if v == nil || v.Type() != fastjson.TypeObject {
		return nil, InvalidListError{Err: errors.New("must be an object")}
	}
	fields := &settings.Fields{Value: v}
	list := &List{Revision: int64(fields.Number("revision")), Complete: fields.Bool("complete")}
	for index, member := range fields.Array("members") {
		entry, err := decodeEntry(member)
		if err != nil {
			return nil, InvalidListError{Path: fmt.Sprintf("members[%d]", index), Err: err}
		}
		list.Entries = append(list.Entries, entry)
	}
	if fields.Err != nil {
		return nil, InvalidListError{Err: fields.Err}
	}
	return list, nil
}

// decodeEntry decodes a member. In the list, the fields host_port, locality, cell and phase hold its address, zone, group and state.
func decodeEntry(v *fastjson.Value) (Entry, error) {
	fields := &settings.Fields{Value: v}
	entry := Entry{
		ID:      fields.Text("id"),
		Addr:    fields.Text("host_port"),
		Zone:    fields.OptionalText("locality"),
		Group:   int(fields.OptionalNumber("cell")),
		Started: router.Never,
	}
	if started := fields.OptionalNumber("up_since_ms"); started > 0 {
		entry.Started = started
	}
	phase := fields.Text("phase")
	if fields.Err != nil {
		return Entry{}, fields.Err
	}
	state, known := states[phase]
	if !known {
		return Entry{}, fmt.Errorf("phase: unknown value %q", phase)
	}
	entry.State = state
	if _, _, err := net.SplitHostPort(entry.Addr); err != nil {
		return Entry{}, fmt.Errorf("host_port: %w", err)
	}
	return entry, nil
}
