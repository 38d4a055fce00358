package hostile

import (
	"context"
	"fmt"
	"strings"
	"time"

	"wayloft/internal/pg"
)

const (
	leaverConnections = 20
	aheadRequests     = 250     // sent ahead by a client that leaves: as many as the router queues
	aheadBytes        = 4 << 10 // of each such request
	sameIDRetries     = 60
	sameIDPause       = 25 * time.Millisecond
	slowMemberTime    = 200 * time.Millisecond
)

// order returns an order with a tracked id, padded to a size.
func order(id string, bytes int) []byte {
	sql := "INSERT INTO rows (handle, blob) VALUES ('h1', '" + strings.Repeat("z", bytes) + "') RETURNING blob"
	return pg.AppendQuery(nil, fmt.Sprintf("/* id=%s%s,c=order,d=1000,cluster=%d */ %s", trackedPrefix, id, memberGroup, sql))
}

// sendAheadAndLeave sends many orders at once, reads nothing and closes the connection.
func sendAheadAndLeave(_ context.Context, c *peerConn) error {
	ids, messages := []string{}, pg.AppendStartup(nil, "api", "ledger")
	for range aheadRequests {
		id := c.newName()
		ids, messages = append(ids, id), append(messages, order(id, aheadBytes)...)
	}
	err := c.send(messages)
	_ = c.Close() // the close is the point
	c.result.attempts.clientLeft(ids...)
	return err
}

// sameIDAgain sends an order, leaves, and comes again and again with the same id.
func sameIDAgain(ctx context.Context, c *peerConn) error {
	id := c.newName()
	if err := c.send(loginAnd(order(id, 1))); err != nil {
		return err
	}
	time.Sleep(time.Duration(c.random.Int64N(int64(2 * sameIDPause))))
	_ = c.Close() // the close is the point
	for range sameIDRetries {
		if ctx.Err() != nil {
			return nil
		}
		again, err := c.dialAgain(ctx)
		if err != nil {
			return err
		}
		if _, err := again.Write(loginAnd(order(id, 1))); err == nil {
			time.Sleep(sameIDPause)
		}
		_ = again.Close()
	}
	return nil
}

// leavers returns the kinds of clients that leave with requests open. They use the platform's statements.
func leavers() []Peer {
	return []Peer{
		{Name: "leaves, much unread", Connections: leaverConnections, speak: sendAheadAndLeave},
		{Name: "same id again", Connections: leaverConnections, memberTime: slowMemberTime, speak: sameIDAgain},
	}
}
