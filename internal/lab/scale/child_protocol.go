package scale

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"
)

// Role selects what a hollow process simulates.
type Role string

// The roles.
const (
	RoleRouters   Role = "routers"
	RoleDatabases Role = "databases"
	RoleDiscovery Role = "discovery"
)

// Command is the operation that a ChildRequest asks for.
type Command string

// The commands.
const (
	CommandCount         Command = "count"     // return the counts
	CommandSetFilter     Command = "mark"      // replace the reception filter and clear the recorded times
	CommandReceivedTimes Command = "heard"     // return the recorded times
	CommandRestarted     Command = "restarted" // publish a change of the endpoint list with new start times of members
	CommandPromote       Command = "promote"   // make the first member the primary and the others replicas
)

// ChildSpec configures a hollow process. It is the first line that the process reads.
type ChildSpec struct {
	Role                  Role              `json:"role"`
	Fleet                 string            `json:"fleet,omitempty"`
	Coordinators          []string          `json:"council,omitempty"` // addresses of coordinator nodes
	AddressOverrides      map[string]string `json:"via,omitempty"`     // address to dial for a coordinator node, by its name
	Discovery             string            `json:"discovery,omitempty"`
	Names                 []string          `json:"names,omitempty"` // of routers, or of databases
	Addrs                 []string          `json:"addrs,omitempty"` // listen addresses of restarted databases; empty: free ports
	Primaries             []string          `json:"primaries,omitempty"`
	Entries               []Entry           `json:"entries,omitempty"` // of the endpoint list
	Groups                []int             `json:"groups,omitempty"`  // whose members routers use; empty: all
	SessionMs             float64           `json:"session_ms,omitempty"`
	HealthShareIntervalMs float64           `json:"sight_ms,omitempty"` // interval between health checks of a member; 0: no health sharing
	StartIntervalMs       float64           `json:"pace_ms,omitempty"`  // delay before each router starts
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

// ReceptionFilter selects what routers record the reception time of. Each zero field records nothing.
type ReceptionFilter struct {
	Revision int64  `json:"revision,omitempty"` // lowest revision of the endpoint list to record
	Primary  string `json:"primary,omitempty"`  // ID of the member whose reports as primary are recorded
	Policy   bool   `json:"policy,omitempty"`   // any version of the policy
}

// ChildRequest is one request to a hollow process, encoded as a line of JSON.
type ChildRequest struct {
	Command Command          `json:"do"`
	Filter  *ReceptionFilter `json:"mark,omitempty"`
	Members []string         `json:"members,omitempty"`
	At      float64          `json:"at,omitempty"` // Unix ms
}

// ChildResponse is the response to a ChildSpec or a ChildRequest, encoded as a line of JSON.
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

// responder handles the requests to a hollow process.
type responder interface {
	respond(request ChildRequest) (ChildResponse, error)
}

// RunHollow runs a hollow process: it reads a ChildSpec and then ChildRequests, one JSON object per line, and writes a ChildResponse
// to each. It returns at the end of its input.
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

// newResponder starts the servers or routers of a specification. The first response confirms the start and has their listen addresses.
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
