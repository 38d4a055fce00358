package lab

import (
	"cmp"
	"fmt"
	"strings"
)

// Defaults for unset fields of Pool, and the descriptor headroom of the router.
const (
	defaultConnectionsPerMember = 16
	defaultIdleInTransaction    = "60s"
	defaultMaxConnections       = 512
	defaultMaxSessions          = 4096
	spareDescriptors            = 128
)

// platformMode is the mode of a pool whose clients send single statements with the platform's comment and hold no server connection of their own.
const platformMode = "platform"

// Pool describes the pool in a router's configuration. Zero values select defaults.
type Pool struct {
	Mode              string
	PerMember         int    // connections to each member
	ExtraKeys         string // additional TOML keys of the pool
	TopLevelKeys      string // additional top-level TOML keys
	IdleInTransaction string // idle-in-transaction timeout
	MaxConnections    int    // connections to all members
	MaxSessions       int
}

// configurationTemplate takes the listen address, additional top-level keys, the three limits, and the pool's mode.
const configurationTemplate = `name = "lab"
listen = "%s"
seed = "8c1f30d27a5be964"
%s
[limits]
memory = "512MiB"
descriptors = %d
sessions = %d
connections = %d

[fleet]
reports = true
warm_up = "1s"

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
level = "any"

[[txn_types]]
name = "write"
sla = "1s"
expiry = "60s"
late_value = 0.5
effect = "once-only"
level = "write"

[[pools]]
user = "api"
database = "ledger"
form = "%s"
`

// pooledTemplate has the keys of a connection pool. It takes the connections per member and the idle-in-transaction timeout.
const pooledTemplate = `read = "read"
write = "write"
connections_per_member = %d
wait = "5s"
idle_in_transaction = "%s"
`

// Configuration returns the TOML configuration of a router for the cluster.
func (c *Cluster) Configuration(listen string, pool Pool) string {
	sessions := cmp.Or(pool.MaxSessions, defaultMaxSessions)
	connections := cmp.Or(pool.MaxConnections, defaultMaxConnections)
	var text strings.Builder
	fmt.Fprintf(&text, configurationTemplate, listen, pool.TopLevelKeys, sessions+connections+spareDescriptors, sessions, connections, pool.Mode)
	if pool.Mode != platformMode {
		fmt.Fprintf(&text, pooledTemplate, cmp.Or(pool.PerMember, defaultConnectionsPerMember), cmp.Or(pool.IdleInTransaction, defaultIdleInTransaction))
	}
	text.WriteString(pool.ExtraKeys)
	for n, server := range c.Servers {
		fmt.Fprintf(&text, "\n[[members]]\nid = \"m%d\"\naddress = \"%s\"\n", n, server.Addr)
	}
	return text.String()
}
