package fleet

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// holdTimeout limits the write hold of a group during a switchover.
const holdTimeout = 3 * time.Second

// routerSeed is the base of the routers' random seeds; configureRouter adds an offset derived from the router's name.
const routerSeed = 0x8c1f30d27a5be964

// routerTemplate is a router's settings file. Its parameters are the name, address, seed, further top-level keys, and further keys of [fleet].
const routerTemplate = `name = %q
listen = %q
seed = "%016x"
%s
[limits]
memory = "256MiB"
descriptors = 2048
sessions = 512
connections = 256

[fleet]
reports = true
warm_up = "1s"
lagging_reads = "answers"
connect_within = "500ms"
%s
[[txn_types]]
name = "read"
sla = "500ms"
expiry = "10s"
late_value = 0.5
effect = "repeatable"
level = "session"

[[txn_types]]
name = "look"
sla = "500ms"
expiry = "10s"
late_value = 0.5
effect = "repeatable"
level = "bounded"
bound = "3s"

[[txn_types]]
name = "write"
sla = "2s"
expiry = "20s"
late_value = 0.5
effect = "once-only"
level = "write"

[[pools]]
user = "api"
database = "ledger"
form = "platform"
`

// switchoverTemplate is the switchover section of a router's settings, with the statements that fake members implement. Its parameter is the
// limit of the write hold.
const switchoverTemplate = `[fleet.handover]
hold = %q
step = "1s"
primary = "SELECT wayloft_takes_writes()"
guard = "UPDATE wayloft_guard SET fence = $1 WHERE duty = 'handover' AND fence <= $1"
seen = "SELECT fence FROM wayloft_guard WHERE duty = 'handover'"
yield = "SELECT wayloft_yield()"
take = "SELECT wayloft_take()"
`

// auditLogPath returns the path of a process's audit log, or "" if audit logs are turned off.
func (f *Fleet) auditLogPath(p *Process) string {
	if f.NoAuditLog {
		return ""
	}
	return filepath.Join(f.Dir, auditDirectory, p.Name+".jsonl")
}

// policyDirectory returns the directory in which a router stores the policy.
func (f *Fleet) policyDirectory(p *Process) string { return filepath.Join(f.Dir, "policy-"+p.Name) }

// configure sets a process's command-line arguments and writes its settings file.
func (f *Fleet) configure(p *Process) error {
	switch p.Kind {
	case coordinatorKind:
		return f.configureCoordinator(p, false)
	case memberKind:
		f.configureMember(p)
		return nil
	default:
		return f.configureRouter(p)
	}
}

func writeConfig(p *Process, text string) error {
	return os.WriteFile(p.Config, []byte(text), fileMode)
}

// configureMember sets the command-line arguments of a fake member, which has no settings file.
func (f *Fleet) configureMember(p *Process) {
	p.arguments = []string{"lab", "member", "--folder", filepath.Join(f.Dir, memberDirectory), "--name", p.Name, "--listen", p.Addr}
	if p.Name == "m1" {
		p.arguments = append(p.arguments, "--primary")
	}
	if p.Name == f.UnguardedMember {
		p.arguments = append(p.arguments, "--no-guard")
	}
}

// configureCoordinator configures a coordinator node. With join set, the node joins the existing cluster instead of forming one with its peers.
func (f *Fleet) configureCoordinator(p *Process, join bool) error {
	p.arguments = []string{"council", "run", "--config", p.Config}
	overrides, err := f.addressOverrides(p, f.ofKind(coordinatorKind), func(peer *Process) string { return peer.Addr })
	if err != nil {
		return err
	}
	var text strings.Builder
	fmt.Fprintf(&text, "[council]\nfleet = %q\nname = %q\nlisten = %q\nfolder = %q\nrecord = %q\nkeep = %d\n%s\n",
		f.FleetName, p.Name, p.Addr, p.DataDir, f.auditLogPath(p), f.SnapshotInterval, f.CoordinatorKeys)
	if join {
		text.WriteString("join = true\n")
	} else {
		for _, peer := range f.ofKind(coordinatorKind)[:f.Coordinators] {
			fmt.Fprintf(&text, "[[council.peers]]\nname = %q\naddress = %q\n", peer.Name, peer.Addr)
		}
	}
	if overrides != "" {
		text.WriteString("[council.via]\n" + overrides)
	}
	return writeConfig(p, text.String())
}

// addressOverrides returns the settings that route a process's connections to others over links, or "" in a fleet without links.
func (f *Fleet) addressOverrides(p *Process, others []*Process, addressOf func(*Process) string) (string, error) {
	if !f.Links {
		return "", nil
	}
	var keys strings.Builder
	for _, other := range others {
		if other == p {
			continue
		}
		address, err := f.addressFrom(p.Name, other.Name, addressOf(other))
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&keys, "%s = %q\n", other.Name, address)
	}
	return keys.String(), nil
}

func (f *Fleet) configureRouter(p *Process) error {
	p.arguments = []string{"serve", "--config", p.Config}
	fleetKeys, topLevelKeys := "", ""
	if !f.Standalone {
		var err error
		if fleetKeys, topLevelKeys, err = f.routerFleetKeys(p); err != nil {
			return err
		}
	}
	seed := routerSeed + uint64(len(p.Name))*uint64(p.Name[len(p.Name)-1])
	var text strings.Builder
	fmt.Fprintf(&text, routerTemplate, p.Name, p.Addr, seed, topLevelKeys, fleetKeys)
	for _, member := range f.ofKind(memberKind) {
		address, err := f.addressFrom(p.Name, member.Name, member.Addr)
		if err != nil {
			return err
		}
		fmt.Fprintf(&text, "\n[[members]]\nid = %q\naddress = %q\n", member.Name, address)
	}
	return writeConfig(p, text.String())
}

// routerFleetKeys returns a router's keys for fleet coordination: those in [fleet] and further top-level ones.
func (f *Fleet) routerFleetKeys(p *Process) (fleet, top string, err error) {
	var coordinators []string
	for _, node := range f.ofKind(coordinatorKind) {
		address, err := f.addressFrom(p.Name, node.Name, node.Addr)
		if err != nil {
			return "", "", err
		}
		coordinators = append(coordinators, fmt.Sprintf("%q", address))
	}
	var keys strings.Builder
	fmt.Fprintf(&keys, "name = %q\ncouncil = [%s]\norders = %q\nsession = %q\nrecord = %q\npolicy_folder = %q\n", f.FleetName,
		strings.Join(coordinators, ", "), p.ReceiverAddr, f.SessionTimeout, f.auditLogPath(p), f.policyDirectory(p))
	if f.HealthShareInterval > 0 {
		fmt.Fprintf(&keys, "sight = %q\n", f.HealthShareInterval)
	}
	if f.RouterKeys != nil {
		fleet, top = f.RouterKeys(p.Name)
		keys.WriteString(fleet)
	}
	overrides, err := f.routerAddressOverrides(p)
	if err != nil {
		return "", "", err
	}
	keys.WriteString(overrides)
	if f.Switchover {
		fmt.Fprintf(&keys, switchoverTemplate, holdTimeout)
	}
	return keys.String(), top, nil
}

// routerAddressOverrides returns the settings that route a router's connections to coordinator nodes and other routers over links.
func (f *Fleet) routerAddressOverrides(p *Process) (string, error) {
	if !f.Links {
		return "", nil
	}
	nodes, err := f.addressOverrides(p, f.ofKind(coordinatorKind), func(node *Process) string { return node.Addr })
	if err != nil {
		return "", err
	}
	routers, err := f.addressOverrides(p, f.ofKind(routerKind), func(router *Process) string { return router.ReceiverAddr })
	if err != nil {
		return "", err
	}
	return "[fleet.via]\n" + nodes + routers, nil
}
