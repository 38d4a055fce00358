package main

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// writeWork is the time that a write takes: `registro` and `submit` are 81 to 140 ms of work.
const writeWork = 140 * time.Millisecond

// poolConfig is a router's own file with one pool by transaction, as deploy/wayloft.toml explains it.
const poolConfig = `
name = "n1"
listen = "%s"
seed = "8c1f30d27a5be964"

[limits]
memory = "512MiB"
descriptors = 1024
sessions = 200
connections = 40

[fleet]
reports = true
lagging_reads = "%s"
idle_close = "10m"
connect_within = "1s"
check_user = "api"
check_database = "ledger"
%s
[[txn_types]]
name = "read"
sla = "500ms"
expiry = "10s"
late_value = 0.5
effect = "repeatable"
level = "session"

[[txn_types]]
name = "write"
sla = "1s"
expiry = "20s"
late_value = 0.5
effect = "once-only"
level = "write"

[[pools]]
user = "api"
database = "ledger"
form = "transaction"
read = "read"
write = "write"
connections_per_member = %d
wait = "5s"
idle_in_transaction = "60s"
`

// startPool starts a router with one pool in front of the members.
func (b *bench) startPool(ctx context.Context, members []*member, lagging string, connections int) (addr string, err error) {
	return b.startPoolInFleet(ctx, members, lagging, connections, "")
}

// startPoolInFleet starts a router with one pool and further keys of its section [fleet].
func (b *bench) startPoolInFleet(ctx context.Context, members []*member, lagging string, connections int, fleet string) (addr string, err error) {
	if addr, err = freeAddress(); err != nil {
		return "", err
	}
	var config strings.Builder
	fmt.Fprintf(&config, poolConfig, addr, lagging, fleet, connections)
	for _, m := range members {
		fmt.Fprintf(&config, "\n[[members]]\nid = %q\naddress = %q\n", m.name, m.addr)
	}
	return addr, b.startRouter(ctx, "router", addr, "wayloft.toml", config.String())
}

// connectServed connects a client, and waits until the router serves it.
func (b *bench) connectServed(ctx context.Context, name, addr string) (*client, error) {
	for {
		c, err := b.connect(ctx, name, addr)
		if err == nil {
			if _, err = c.query(ctx, "SELECT 1"); err == nil {
				return c, nil
			}
			c.close()
		}
		select {
		case <-ctx.Done():
			return nil, err
		case <-time.After(200 * time.Millisecond):
		}
	}
}
