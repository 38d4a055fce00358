package main

import (
	"context"
	"fmt"
	"strings"
)

func init() { cases["told"] = playTold }

// playTold: a buyer ends a transaction and writes in one message. The database commits the write, and its connection is reset.
func playTold(ctx context.Context, b *bench) (broken []string, err error) {
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
	defer func() { buyer.close() }()
	for n := range 5 {
		handle := fmt.Sprintf("order-%d", n)
		for _, sql := range []string{"BEGIN", "SELECT 1"} {
			if _, err := buyer.query(ctx, sql); err != nil {
				return nil, err
			}
		}
		cut := b.trouble
		members[0].setCut(func(statement string) bool {
			ends := cut && strings.HasPrefix(statement, "INSERT")
			cut = cut && !ends
			return ends
		})
		for {
			_, err := buyer.query(ctx, "ROLLBACK; INSERT INTO rows (handle, blob) VALUES ('"+handle+"', 'cleat')")
			if sqlState(err) != "08006" { // nothing took effect: the application may retry it
				break
			}
			if _, err := buyer.query(ctx, "ROLLBACK"); err != nil {
				return nil, err
			}
		}
		if rows := c.rows(handle, nowMs()); len(rows) > 1 {
			broken = append(broken, fmt.Sprintf("%s was tried again only where nothing took effect, and is there %d times", handle, len(rows)))
		}
		if _, err := buyer.query(ctx, "ROLLBACK"); err != nil {
			return nil, err
		}
	}
	return broken, nil
}
