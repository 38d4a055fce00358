package main

import (
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

func init() { cases["replaced"] = playReplaced }

const (
	replacedOrders = 20
	replacedAfter  = 8 // orders
	handOver       = 500 * time.Millisecond
)

// playReplaced: a buyer sends several orders as one pipeline, each a transaction of its own. The primary is replaced as planned meanwhile.
func playReplaced(ctx context.Context, b *bench) (broken []string, err error) {
	c, members, err := b.newCluster("m0", "m1")
	if err != nil {
		return nil, err
	}
	for _, m := range members {
		m.work = writeWork
	}
	addr, err := b.startPool(ctx, members, "answers", 4)
	if err != nil {
		return nil, err
	}
	buyer, err := b.connectServed(ctx, "buyer", addr)
	if err != nil {
		return nil, err
	}
	defer buyer.close()
	commits := 0
	members[0].setAfter(func(statement string) {
		if statement != "COMMIT" {
			return
		}
		if commits++; b.trouble && commits == replacedAfter {
			members[0].setPrimary(false)
			time.AfterFunc(handOver, func() { members[1].setPrimary(true) })
		}
	})
	batch := &pgconn.Batch{}
	for n := range replacedOrders {
		for _, sql := range []string{"BEGIN", fmt.Sprintf("INSERT INTO rows (handle, blob) VALUES ('order-%d', 'keel')", n), "COMMIT"} {
			batch.ExecParams(sql, nil, nil, nil, nil)
		}
	}
	b.record("buyer", "-> a pipeline of %d times BEGIN, INSERT, COMMIT", replacedOrders)
	results, err := buyer.conn.ExecBatch(ctx, batch).ReadAll()
	b.record("buyer", "<- %d results, %v", len(results), err)
	if !b.trouble && err != nil {
		return nil, err
	}
	for n := range replacedOrders {
		handle := fmt.Sprintf("order-%d", n)
		if rows := c.rows(handle, nowMs()); len(rows) > 1 {
			broken = append(broken, fmt.Sprintf("%s was sent once by its client, and committed by %s and by %s", handle, rows[0].by, rows[1].by))
		}
	}
	return broken, nil
}
