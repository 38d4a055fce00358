package main

import (
	"context"
	"fmt"
	"time"
)

func init() { cases["twice"] = playTwice }

// playTwice: a client sends an order as one message that ends with a statement that it has prepared before. The database dies and comes
// back, so the prepared statement is gone.
func playTwice(ctx context.Context, b *bench) (broken []string, err error) {
	c, members, err := b.newCluster("m0")
	if err != nil {
		return nil, err
	}
	addr, err := b.startPool(ctx, members, "answers", 4)
	if err != nil {
		return nil, err
	}
	buyer, err := b.connectServed(ctx, "buyer", addr)
	if err != nil {
		return nil, err
	}
	if _, err := buyer.query(ctx, "PREPARE refresh AS SELECT 1"); err != nil {
		return nil, err
	}
	if b.trouble {
		members[0].stop()
		b.record("m0", "killed")
		time.Sleep(2 * time.Second)
		if err := members[0].start(); err != nil {
			return nil, err
		}
		b.record("m0", "started again")
		buyer.close()
		if buyer, err = b.connectServed(ctx, "buyer", addr); err != nil {
			return nil, err
		}
	}
	defer buyer.close()
	for n := range 5 {
		handle := fmt.Sprintf("order-%d", n)
		if err := buyer.extended(ctx, "SELECT 1"); err != nil {
			return nil, err
		}
		_, orderErr := buyer.query(ctx, "BEGIN; INSERT INTO rows (handle, blob) VALUES ('"+handle+"', 'anchor'); COMMIT; EXECUTE refresh")
		if !b.trouble && orderErr != nil {
			return nil, orderErr
		}
		if rows := c.rows(handle, nowMs()); len(rows) > 1 {
			broken = append(broken, fmt.Sprintf("%s was sent once by its client, and committed %d times", handle, len(rows)))
		}
	}
	return broken, nil
}
