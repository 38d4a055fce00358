package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

func init() { cases["batch"] = playBatch }

const (
	batchOrders  = 400
	batchBytes   = 60000 // of each order; all together are more than the sockets between router and member hold
	batchWork    = 23 * time.Millisecond
	dieAfter     = 20 // orders
	downFor      = 2500 * time.Millisecond
	memberBuffer = 64 << 10
)

// playBatch: a buyer sends several orders as one pipeline, each a transaction of its own. The database dies while it works on them.
func playBatch(ctx context.Context, b *bench) (broken []string, err error) {
	c, members, err := b.newCluster("m0")
	if err != nil {
		return nil, err
	}
	m := members[0]
	m.work = batchWork
	m.readBuffer = memberBuffer
	addr, err := b.startPool(ctx, members, "answers", 4)
	if err != nil {
		return nil, err
	}
	buyer, err := b.connectServed(ctx, "buyer", addr)
	if err != nil {
		return nil, err
	}
	defer buyer.close()
	restarted := make(chan error, 1)
	commits := 0
	m.setAfter(func(statement string) {
		if statement != "COMMIT" {
			return
		}
		if commits++; b.trouble && commits == dieAfter {
			go func() { restarted <- b.restart(m) }()
		}
	})
	batch := &pgconn.Batch{}
	for n := range batchOrders {
		blob := strings.Repeat("x", batchBytes)
		insert := fmt.Sprintf("INSERT INTO rows (handle, blob) VALUES ('order-%d', '%s')", n, blob)
		for _, sql := range []string{"BEGIN", insert, "COMMIT"} {
			batch.ExecParams(sql, nil, nil, nil, nil)
		}
	}
	b.record("buyer", "-> a pipeline of %d times BEGIN, INSERT, COMMIT", batchOrders)
	results, err := buyer.conn.ExecBatch(ctx, batch).ReadAll()
	b.record("buyer", "<- %d results, %v", len(results), err)
	if b.trouble {
		if err := <-restarted; err != nil {
			return nil, err
		}
		time.Sleep(5 * time.Second)
	} else if err != nil {
		return nil, err
	}
	for n := range batchOrders {
		handle := fmt.Sprintf("order-%d", n)
		if rows := c.rows(handle, nowMs()); len(rows) > 1 {
			broken = append(broken, fmt.Sprintf("%s was sent once by its client, and committed %d times", handle, len(rows)))
		}
	}
	return broken, nil
}

// restart kills a member and starts it again.
func (b *bench) restart(m *member) error {
	m.stop()
	b.record(m.name, "killed")
	time.Sleep(downFor)
	b.record(m.name, "started again")
	return m.start()
}
