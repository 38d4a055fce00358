package main

import (
	"context"
	"fmt"
)

func init() { cases["lastval"] = playLastval }

// playLastval: two buyers write, and the first asks for the number of its own order.
func playLastval(ctx context.Context, b *bench) (broken []string, err error) {
	_, members, err := b.newCluster("m0")
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
	defer first.close()
	second, err := b.connectServed(ctx, "buyer-2", addr)
	if err != nil {
		return nil, err
	}
	defer second.close()
	if _, err := first.query(ctx, "INSERT INTO rows (handle, blob) VALUES ('order-a', 'keel')"); err != nil {
		return nil, err
	}
	if b.trouble {
		if _, err := second.query(ctx, "INSERT INTO rows (handle, blob) VALUES ('order-b', 'mast')"); err != nil {
			return nil, err
		}
	}
	number, err := first.query(ctx, "SELECT lastval()")
	if err == nil && number != "1" {
		broken = append(broken, fmt.Sprintf("buyer-1's order has the number 1, and it was told %s, which is buyer-2's", number))
	}
	return broken, nil
}
