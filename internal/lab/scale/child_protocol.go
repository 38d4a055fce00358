package scale

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// Role is what a hollow process is.
type Role string

// The roles.
const (
	RoleRouters   Role = "routers"
	RoleDatabases Role = "databases"
	RoleDiscovery Role = "discovery"
)

// Command is what a hollow process is asked to do.
type Command string

// The commands.
const (
	CommandCount         Command = "count"     // return the counts
	CommandSetFilter     Command = "mark"      // record from now on when routers receive what the mark names
	CommandReceivedTimes Command = "heard"     // return these times
	CommandRestarted     Command = "restarted" // list members as restarted
	CommandPromote       Command = "promote"   // the first member becomes primary, the others replicas
)

// ChildSpec is the first line that a hollow process reads: what it is.
type ChildSpec struct {
	Role                  Role              `json:"role"`
	Fleet                 string            `json:"fleet,omitempty"`
	Coordinators          []string          `json:"council,omitempty"` // addresses of coordinator nodes
	AddressOverrides      map[string]string `json:"via,omitempty"`     // addresses to reach coordinator nodes by, by their names
	Discovery             string            `json:"discovery,omitempty"`
	Names                 []string          `json:"names,omitempty"` // of routers, or of databases
	Addrs                 []string          `json:"addrs,omitempty"` // of databases that restart
	Primaries             []string          `json:"primaries,omitempty"`
	Entries               []Entry           `json:"entries,omitempty"` // of the endpoint list
	Groups                []int             `json:"groups,omitempty"`  // that routers know; none: all
	SessionMs             float64           `json:"session_ms,omitempty"`
	HealthShareIntervalMs float64           `json:"sight_ms,omitempty"` // between two health checks of a member; 0: no health sharing
	StartIntervalMs       float64           `json:"pace_ms,omitempty"`  // between the starts of two routers
	Filter                *ReceptionFilter  `json:"mark,omitempty"`
}

// Entry is one member of the endpoint list, as the discovery service encodes it.
type Entry struct {
	ID      string  `json:"id"`
	Addr    string  `json:"host_port"`
	Zone    string  `json:"locality"`
	Group   int     `json:"cell"`
	Phase   string  `json:"phase"`
	Started float64 `json:"up_since_ms"` // Unix ms
}

// ReceptionFilter names something that routers receive after an event; the times at which they do are recorded.
type ReceptionFilter struct {
	Revision int64  `json:"revision,omitempty"` // of the endpoint list: this one or a later one
	Primary  string `json:"primary,omitempty"`  // a member that health sharing reports as primary
	Policy   bool   `json:"policy,omitempty"`   // any version of the policy
}

// ChildRequest is a line that a hollow process reads after its ChildSpec.
type ChildRequest struct {
	Command Command          `json:"do"`
	Filter  *ReceptionFilter `json:"mark,omitempty"`
	Members []string         `json:"members,omitempty"`
	At      float64          `json:"at,omitempty"` // Unix ms
}

// ChildResponse is the line that a hollow process writes for each line that it reads.
type ChildResponse struct {
	Addrs         []string         `json:"addrs,omitempty"`
	Revision      int64            `json:"revision,omitempty"`
	Counts        map[string]int64 `json:"counts,omitempty"`
	ReceivedTimes *ReceivedTimes   `json:"heard,omitempty"`
	Err           string           `json:"err,omitempty"`
}

// ReceivedTimes are the times, Unix ms, at which routers received what a Mark names.
type ReceivedTimes struct {
	Policies  []float64 `json:"policies,omitempty"`
	Lists     []float64 `json:"lists,omitempty"`
	Primaries []float64 `json:"primaries,omitempty"`
}

// responder is the part of a hollow process that handles requests.
type responder interface {
	respond(request ChildRequest) (ChildResponse, error)
}

// RunHollow runs a hollow process: it reads a ChildSpec and then requests, one JSON object a line, writes a response to each, and
// ends when its input does.
func RunHollow(in io.Reader, out io.Writer) error {
	decoder, encoder := json.NewDecoder(in), json.NewEncoder(out)
	var spec ChildSpec
	if err := decoder.Decode(&spec); err != nil {
		return fmt.Errorf("read the specification of a hollow process: %w", err)
	}
	hollow, first, err := newResponder(spec)
	if err != nil {
		return errors.Join(err, encoder.Encode(ChildResponse{Err: err.Error()}))
	}
	if err := encoder.Encode(first); err != nil {
		return err
	}
	for {
		var request ChildRequest
		if err := decoder.Decode(&request); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		response, err := hollow.respond(request)
		if err != nil {
			response = ChildResponse{Err: err.Error()}
		}
		if err := encoder.Encode(response); err != nil {
			return err
		}
	}
}

// newResponder starts what a hollow process is to be. The first response says that it runs, and where.
func newResponder(spec ChildSpec) (responder, ChildResponse, error) {
	switch spec.Role {
	case RoleRouters:
		routers, err := newHollowRouters(spec)
		return routers, ChildResponse{}, err
	case RoleDatabases:
		databases, err := newHollowDatabases(spec)
		if err != nil {
			return nil, ChildResponse{}, err
		}
		return databases, ChildResponse{Addrs: databases.addrs}, nil
	case RoleDiscovery:
		server, err := newDiscoveryServer(spec.Entries)
		if err != nil {
			return nil, ChildResponse{}, err
		}
		return server, ChildResponse{Addrs: []string{server.addr}, Revision: firstRevision}, nil
	}
	return nil, ChildResponse{}, fmt.Errorf("role: unknown value %q", spec.Role)
}

func unknownCommand(command Command) error { return fmt.Errorf("do: unknown value %q", command) }

func unixMs() float64 { return float64(time.Now().UnixMicro()) / 1000 }
