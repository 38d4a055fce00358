package main

import (
	"context"
	"fmt"
	"time"
)

func init() { cases["lost"] = playLost }

const (
	deadFor   = 3500 * time.Millisecond
	buyers    = 3
	settleFor = 2 * time.Second // after the database is back
)

// playLost: a database dies and comes back while buyers have a transaction open. Each starts it again in one message.
func playLost(ctx context.Context, b *bench) (broken []string, err error) {
	c, members, err := b.newCluster("m0")
	if err != nil {
		return nil, err
	}
	addr, err := b.startPool(ctx, members, "answers", 4)
	if err != nil {
		return nil, err
	}
	var clients []*client
	for n := range buyers {
		buyer, err := b.connectServed(ctx, fmt.Sprintf("buyer-%d", n), addr)
		if err != nil {
			return nil, err
		}
		defer buyer.close()
		for _, sql := range []string{"BEGIN", insertOrder(n)} {
			if _, err := buyer.query(ctx, sql); err != nil {
				return nil, err
			}
		}
		clients = append(clients, buyer)
	}
	if b.trouble {
		members[0].stop()
		b.record("m0", "killed")
		time.Sleep(deadFor)
		if err := members[0].start(); err != nil {
			return nil, err
		}
		b.record("m0", "started again")
		time.Sleep(settleFor)
	}
	for n, buyer := range clients {
		if b.trouble {
			if _, err := buyer.query(ctx, insertOrder(n)); sqlState(err) == "" {
				return nil, fmt.Errorf("the open transaction did not fail: %w", err)
			}
		}
		again := "ROLLBACK; BEGIN; " + insertOrder(n) + "; COMMIT"
		_, err := buyer.query(ctx, again)
		if rows := c.rows(orderHandle(n), nowMs()); err == nil && len(rows) == 0 {
			broken = append(broken, fmt.Sprintf("%s was told that %q succeeded, and the order is nowhere", buyer.name, again))
		}
	}
	return broken, nil
}

func orderHandle(n int) string { return fmt.Sprintf("order-%d", n) }

func insertOrder(n int) string {
	return "INSERT INTO rows (handle, blob) VALUES ('" + orderHandle(n) + "', 'keel')"
}
