package main

import (
	"strconv"
	"time"

	"wayloft/internal/fleetpb"
	"wayloft/internal/rpc"
)

// fleetReport is the output of `fleet status --json`. Programs read it: the JSON keys of this and the following types must not change.
type fleetReport struct {
	Nodes    []nodeRow    `json:"council"`
	Leases   []leaseRow   `json:"duties"`
	Epoch    uint64       `json:"epoch"`
	Index    uint64       `json:"index"`   // of the last applied entry
	Rejected uint64       `json:"refused"` // operations rejected for a stale fencing token
	Sessions []sessionRow `json:"sessions"`
}

// coordinatorReport is the output of `coordinator status --json`.
type coordinatorReport struct {
	Nodes []nodeRow `json:"council"`
	Epoch uint64    `json:"epoch"`
}

type nodeRow struct {
	Address  string `json:"address"`
	Applied  uint64 `json:"applied"` // index of the last entry it is known to have
	Leader   bool   `json:"leader"`
	CaughtUp bool   `json:"level"` // it was active recently and lacks at most a few entries
	Name     string `json:"name"`
}

type leaseRow struct {
	BlockingToken   string   `json:"barred"` // see blockingToken
	Lease           string   `json:"duty"`
	LastOrderResult string   `json:"ended"` // of the last order that has ended
	Token           uint64   `json:"fence"`
	Holder          string   `json:"holder"`
	Order           string   `json:"order"` // the order in progress
	Queue           []string `json:"queue"`
	HeldMs          uint64   `json:"since_ms"`
}

type sessionRow struct {
	Address     string `json:"address"`
	Incarnation uint64 `json:"incarnation"`
	Kind        string `json:"kind"`
	Name        string `json:"name"`
	Policy      uint64 `json:"policy"` // packed version that it applies
	Rejected    uint64 `json:"refused"`
	SilentMs    uint64 `json:"silent_ms"`
}

func newFleetReport(s *fleetpb.State) fleetReport {
	report := fleetReport{Nodes: nodeRows(s), Leases: []leaseRow{}, Epoch: s.Epoch, Index: s.State.Index, Rejected: s.Refused, Sessions: []sessionRow{}}
	for _, lease := range s.State.Duties {
		report.Leases = append(report.Leases, leaseRow{
			BlockingToken:   blockingToken(s, lease),
			Lease:           lease.Name,
			LastOrderResult: lease.Ended.GetText(),
			Token:           rpc.DecodeToken(lease.Fence).Number(),
			Holder:          lease.Holder,
			Order:           lease.Open.GetText(),
			Queue:           append([]string{}, lease.Queue...),
			HeldMs:          lease.SinceMs,
		})
	}
	for _, session := range s.State.Sessions {
		report.Sessions = append(report.Sessions, sessionRow{
			Address:     session.Address,
			Incarnation: session.Incarnation,
			Kind:        session.Kind,
			Name:        session.Name,
			Policy:      session.Policy,
			Rejected:    session.Refused,
			SilentMs:    session.SilentMs,
		})
		report.Rejected += session.Refused
	}
	return report
}

func nodeRows(s *fleetpb.State) []nodeRow {
	rows := []nodeRow{}
	for _, node := range s.Council {
		rows = append(rows, nodeRow{Address: node.Address, Applied: node.Applied, Leader: node.Leader, CaughtUp: node.Level, Name: node.Name})
	}
	return rows
}

// blockingToken returns the fencing token that keeps a lease from being granted, or "" if there is none. A receiver has seen this token,
// but this coordinator never issued it.
func blockingToken(s *fleetpb.State, lease *fleetpb.Duty) string {
	if lease.Barred.GetEpoch() >= s.Epoch && lease.Barred.GetEpoch() > 0 {
		return formatToken(lease.Barred)
	}
	return ""
}

func formatToken(token *fleetpb.Fence) string { return rpc.DecodeToken(token).String() }

func printNodes(out *printer, s *fleetpb.State) {
	out.table(func(rows *printer) {
		rows.printf("coordinator (epoch %d)\taddress\trole\tapplied\n", s.Epoch)
		for _, node := range s.Council {
			role := ""
			if node.Leader {
				role = "leader"
			}
			rows.printf("%s\t%s\t%s\t%s\n", node.Name, node.Address, role, formatApplied(node))
		}
	})
}

// formatApplied returns the index up to which a node has the log, and whether it is behind.
func formatApplied(node *fleetpb.Peer) string {
	switch {
	case !node.Known:
		return "unknown"
	case !node.Level:
		return strconv.FormatUint(node.Applied, 10) + ", behind or unreachable"
	}
	return strconv.FormatUint(node.Applied, 10)
}

func printStatus(out *printer, s *fleetpb.State) {
	printNodes(out, s)
	out.table(func(rows *printer) {
		rows.println("\nlease\tholder\ttoken\theld for\tqueued\torder")
		for _, lease := range s.State.Duties {
			rows.printf("%s\t%s\t%s\t%s\t%d\t%s\n", lease.Name, formatHolder(s, lease), formatToken(lease.Fence),
				time.Duration(lease.SinceMs)*time.Millisecond, len(lease.Queue), formatOrder(lease))
		}
		rows.println("\nsession\tkind\tpolicy\tsilent\taddress\trejected")
		for _, session := range s.State.Sessions {
			rows.printf("%s\t%s\t%d\t%d ms\t%s\t%d\n", session.Name, session.Kind, session.Policy, session.SilentMs, session.Address, session.Refused)
		}
	})
}

func formatHolder(s *fleetpb.State, lease *fleetpb.Duty) string {
	if lease.Holder != "" {
		return lease.Holder
	}
	if token := blockingToken(s, lease); token != "" {
		return "not granted: a receiver has seen token " + token + "; begin a new epoch (coordinator recover)"
	}
	return "nobody"
}

// formatOrder returns the order in progress and its latest step.
func formatOrder(lease *fleetpb.Duty) string {
	order := lease.Open.GetText()
	if order == "" || len(lease.Steps) == 0 {
		return order
	}
	return order + " (" + lease.Steps[len(lease.Steps)-1].Text + ")"
}
