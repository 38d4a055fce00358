package discovery

import (
	"context"
	"testing"
	"time"
)

func TestPoll_OneWatchForEachRequest(t *testing.T) {
	s := newFakeService(t, respondAndClose(""))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	failed, requests := make(chan error, 10), make(chan struct{}, 1)
	go NewWatcher(s.address(), testRevision, ignoreList, func(err error) { failed <- err }).Poll(ctx, requests)
	for range 2 {
		requests <- struct{}{}
		if err := <-failed; err == nil {
			t.Error("a watch ended without an error")
		}
	}
	if len(s.requests) != 2 {
		t.Errorf("%d watches for 2 requests", len(s.requests))
	}
}

// TestPoll_NextRequestAfterHang requests a poll while the previous one hangs. The hanging poll must time out so that the next can run.
func TestPoll_NextRequestAfterHang(t *testing.T) {
	s := newFakeService(t, hang, respond(testChange+"\n"))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	delivered, requests := make(chan *List, 10), make(chan struct{}, 1)
	w := NewWatcher(s.address(), testRevision, func(l *List) { delivered <- l }, ignoreError)
	w.heartbeatTimeout = 30 * time.Millisecond
	go w.Poll(ctx, requests)
	requests <- struct{}{}
	<-s.requests
	requests <- struct{}{}
	if l := <-delivered; l.Revision != 43 {
		t.Errorf("delivered %+v", l)
	}
}
