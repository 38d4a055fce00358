package main

type labCmd struct {
	Up           labUpCmd           `cmd:"" help:"Start a cluster of fake members and a router before it, until interrupted."`
	Fleet        labFleetCmd        `cmd:"" help:"Start a fleet of processes, coordinator, routers and fake members, until interrupted."`
	Leases       labLeasesCmd       `cmd:"" name:"leases" aliases:"owners" help:"Print what leases cost and save: time without a holder, the coordinator's work, health checks, service."`
	Member       labMemberCmd       `cmd:"" hidden:"" help:"One fake member, as a process."`
	IdleSessions labIdleSessionsCmd `cmd:"" name:"idle-sessions" aliases:"idle" help:"Print what an idle session costs in memory."`
	IdleRouter   labIdleRouterCmd   `cmd:"" name:"idle-router" aliases:"still" help:"Print what an idle router costs, by members listed and idle sessions."`
	Latency      labLatencyCmd      `cmd:"" name:"latency" aliases:"fast" help:"Print what a router costs where members answer fast: direct and through it, in one run."`
	Scale        labScaleCmd        `cmd:"" name:"scale" aliases:"size" help:"Print what each role of an installation costs, at a size: coordinator, routers, shared health checks, discovery, databases."`
	Hollow       labHollowCmd       `cmd:"" hidden:"" help:"Many hollow routers or databases, as one process."`
}
