//go:build debug

package discovery

import (
	"context"
	"net"
	"sync"
	"testing"

	"wayloft/internal/faults"
)

// A line that the old address had told just before a move is not passed on after it.
func TestALineCrossesAMove(t *testing.T) {
	old := newPeer(t, says(changed+"\n"))
	next := newPeer(t, func(c net.Conn) { says(`{"revision":5,"complete":true,"members":[]}`)(c); c.Close() }, says("\n"))
	told := make(chan *List, 10)
	w := New(old.Addr().String(), 41, func(l *List) { told <- l }, func(error) {})
	once := sync.OnceFunc(func() { w.Move(next.Addr().String()) })
	defer faults.At("discovery.tell", once)()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go w.Keep(ctx)
	if l := <-told; l.Revision != 5 || !l.Whole {
		t.Errorf("told %+v first, want the new address's list", l)
	}
}
