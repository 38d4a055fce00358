package main

import (
	"context"
	"fmt"
)

func init() { cases["role"] = playRole }

// driverReset is what drivers with a pool of their own send when a connection goes back to it.
const driverReset = "SELECT pg_advisory_unlock_all(); CLOSE ALL; UNLISTEN *; RESET ALL"

// playRole: a buyer takes a role, and resets its session as drivers do; another buyer comes after it.
func playRole(ctx context.Context, b *bench) (broken []string, err error) {
	c, members, err := b.newCluster("m0")
	if err != nil {
		return nil, err
	}
	addr, err := b.startPool(ctx, members, "answers", 1)
	if err != nil {
		return nil, err
	}
	first, err := b.connectServed(ctx, "buyer-1", addr)
	if err != nil {
		return nil, err
	}
	if _, err := first.query(ctx, "SET ROLE harbour_master"); err != nil {
		return nil, err
	}
	if b.trouble {
		if _, err := first.query(ctx, driverReset); err != nil {
			return nil, err
		}
	}
	first.close()
	second, err := b.connectServed(ctx, "buyer-2", addr)
	if err != nil {
		return nil, err
	}
	defer second.close()
	user, err := second.query(ctx, "SELECT current_user")
	if err != nil {
		return nil, err
	}
	if user != "api" {
		broken = append(broken, fmt.Sprintf("buyer-2 has set no role, and is %q", user))
	}
	if _, err := second.query(ctx, "INSERT INTO rows (handle, blob) VALUES ('order', 'rope')"); err != nil {
		return nil, err
	}
	for _, row := range c.rows("order", nowMs()) {
		if row.role != "api" {
			broken = append(broken, fmt.Sprintf("the order of buyer-2 was written with the rights of %q", row.role))
		}
	}
	return broken, nil
}
