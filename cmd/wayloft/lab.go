package main

type labCmd struct {
	Up           labUpCmd           `cmd:"" help:"Run a cluster of fake members behind a router until interrupted."`
	Fleet        labFleetCmd        `cmd:"" help:"Run a fleet of processes (coordinator nodes, routers and fake members) until interrupted."`
	Leases       labLeasesCmd       `cmd:"" name:"leases" aliases:"owners" help:"Measure leases: time without a holder, load on the coordinator, health checks and effect on writes."`
	Member       labMemberCmd       `cmd:"" hidden:"" help:"Run one fake member as a process."`
	IdleSessions labIdleSessionsCmd `cmd:"" name:"idle-sessions" aliases:"idle" help:"Measure the memory of an idle session."`
	IdleRouter   labIdleRouterCmd   `cmd:"" name:"idle-router" aliases:"still" help:"Measure the cost of an idle router by listed members and idle sessions."`
	Latency      labLatencyCmd      `cmd:"" name:"latency" aliases:"fast" help:"Compare latency and throughput with and without a router, for fast members."`
	Hostile      labHostileCmd      `cmd:"" name:"hostile" help:"Measure what misbehaving clients cost a router and its other clients."`
	Scale        labScaleCmd        `cmd:"" name:"scale" aliases:"size" help:"Measure the cost of each role of an installation of a given size: coordinator, routers, health sharing, discovery, databases."`
	Hollow       labHollowCmd       `cmd:"" hidden:"" help:"Run many hollow routers or databases in one process."`
}
