package main

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
)

func init() { cases["copies"] = playCopies }

const (
	linkDelay  = time.Millisecond // each way between router and member
	copyRows   = 50
	copyRounds = 20
	copyShare  = 5 // one in so many answers is sent twice
)

// playCopies: a buyer reads rows by extended messages, each read ended by a Flush. The member sends some answers twice.
func playCopies(ctx context.Context, b *bench) (broken []string, err error) {
	c, members, err := b.newCluster("m0")
	if err != nil {
		return nil, err
	}
	for n := range copyRows {
		c.log = append(c.log, commit{at: nowMs(), handle: copyHandle(n), blob: copyBlob(n)})
	}
	l, err := newLink(members[0].addr, linkDelay)
	if err != nil {
		return nil, err
	}
	defer l.close()
	members[0].addr = l.addr()
	addr, err := b.startPool(ctx, members, "answers", 4)
	if err != nil {
		return nil, err
	}
	if b.trouble {
		members[0].setCopies(copyShare)
	}
	for round := range copyRounds {
		buyer, err := b.connectServed(ctx, "buyer", addr)
		if err != nil {
			return nil, err
		}
		wrong, err := buyer.readRows(ctx)
		buyer.close()
		if err != nil {
			b.record("buyer", "round %d ended: %v", round, err)
		}
		if !b.trouble && err != nil {
			return nil, err
		}
		broken = append(broken, wrong...)
	}
	return broken, nil
}

func copyHandle(n int) string { return fmt.Sprint("h", n) }

func copyBlob(n int) string { return fmt.Sprint("row-", n) }

// readRows reads each row, with a Flush behind each read and a Sync behind the last. It returns which reads gave another row.
func (c *client) readRows(ctx context.Context) (wrong []string, err error) {
	pipeline := c.conn.StartPipeline(ctx)
	defer func() { _ = pipeline.Close() }()
	for n := range copyRows {
		pipeline.SendQueryParams("SELECT blob FROM rows WHERE handle = $1", [][]byte{[]byte(copyHandle(n))}, nil, nil, nil)
		pipeline.SendFlushRequest()
		if err := pipeline.Flush(); err != nil {
			return wrong, err
		}
		results, err := pipeline.GetResults()
		if err != nil {
			return wrong, err
		}
		got := readRow(results)
		c.b.record(c.name, "asked for %s, got %q", copyHandle(n), got)
		if got != copyBlob(n) && !strings.HasPrefix(got, "error ") {
			wrong = append(wrong, fmt.Sprintf("asked for %s, got %q", copyHandle(n), got))
		}
	}
	return wrong, pipeline.Sync()
}

// readRow returns the value of the last row of a result.
func readRow(results any) (value string) {
	reader, ok := results.(*pgconn.ResultReader)
	if !ok {
		return fmt.Sprintf("%T", results)
	}
	for reader.NextRow() {
		value = string(reader.Values()[0])
	}
	if _, err := reader.Close(); err != nil {
		return "error " + err.Error()
	}
	return value
}
