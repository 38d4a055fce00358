//go:build debug

package discovery

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"wayloft/internal/failpoint"
	"wayloft/router"
)

const emptyList = `{"revision":5,"complete":true,"members":[]}`

// TestChangeAddress_DropsListOfOldAddress changes the address between reading and delivering a list of the old address.
func TestChangeAddress_DropsListOfOldAddress(t *testing.T) {
	previous := newFakeService(t, respond(testChange+"\n"))
	next := newFakeService(t, respondAndClose(emptyList), respond("\n"))
	delivered := make(chan *List, 10)
	w := NewWatcher(previous.address(), testRevision, func(l *List) { delivered <- l }, ignoreError)
	changeOnce := sync.OnceFunc(func() { w.ChangeAddress(next.address()) })
	defer failpoint.SetHook("discovery.deliver", changeOnce)()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go w.Watch(ctx)
	if l := <-delivered; l.Revision != 5 || !l.Complete {
		t.Errorf("delivered %+v first, want the new address's list", l)
	}
}

// TestChangeAddress_InAnyState changes the address in every state of a request to the old one, and with every kind of first response from
// the new one. The complete list must be requested from the new address immediately, without waiting for a timeout of the old one, and
// nothing from the old address may be delivered afterwards.
func TestChangeAddress_InAnyState(t *testing.T) {
	states := map[string]func(net.Conn){
		"hung":                hang,
		"incomplete header":   send("HTTP/1.1 200"),
		"watch without lists": respond("\n"),
		"incomplete line":     respond("\n" + testChange[:40]),
		"incomplete list":     respond("\n{\n"),
		"complete list":       respond(testChange + "\n" + testChange),
	}
	firstResponses := map[string]func(net.Conn){
		"responds":    respondAndClose(drainingList),
		"hangs":       hang,
		"unavailable": sendAndReset("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"),
		"resets":      sendAndReset("HTTP/1.1 200 OK\r\n\r\n" + drainingList), // the end of the response is missing
		"not JSON":    respondAndClose(drainingList[:30]),
	}
	for state, respondOld := range states {
		for first, respondNew := range firstResponses {
			for _, polls := range []bool{false, true} {
				t.Run(fmt.Sprint(state, ", ", first, ", polls: ", polls), func(t *testing.T) {
					t.Parallel()
					changeAddressIn(t, respondOld, respondNew, first, polls)
				})
			}
		}
	}
}

const drainingList = `{"revision":5,"complete":true,"members":[{"id":"a","host_port":"127.0.0.1:5433","phase":"terminating"}]}`

func changeAddressIn(t *testing.T, respondOld, respondNew func(net.Conn), first string, polls bool) {
	t.Helper()
	previous := newFakeService(t, respondOld)
	next := newFakeService(t, respondNew, respondAndClose(drainingList), respond("\n"))
	delivered, requests := make(chan *List, 100), make(chan struct{}, 1)
	w := NewWatcher(previous.address(), testRevision, func(l *List) { delivered <- l }, requestAgain(requests))
	w.heartbeatTimeout = time.Hour
	if first == "hangs" {
		w.heartbeatTimeout = 500 * time.Millisecond
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watchOrPoll(ctx, w, polls, requests)
	<-previous.requests
	w.ChangeAddress(next.address())
	next.expectRequest(t, fullListURL)
	expectDrainingList(t, delivered)
	if got := <-next.requests; first != "responds" && got != fullListURL {
		t.Errorf("requested %s next", got)
	}
}

// expectDrainingList fails the test unless the list of the new address is delivered, after at most three from the old one.
func expectDrainingList(t *testing.T, delivered <-chan *List) {
	t.Helper()
	for n := 0; ; n++ {
		l := <-delivered
		if l.Revision == 5 {
			if !l.Complete || len(l.Entries) != 1 || l.Entries[0].State != router.Draining {
				t.Errorf("delivered %+v", l)
			}
			return
		}
		if n > 2 {
			t.Fatalf("delivered %+v from the old address", l)
		}
	}
}

// TestChangeAddress_BetweenRequests changes the address after a watch has ended: during the backoff before the next one or, when polling,
// while no request is pending. The change itself must trigger a request to the new address.
func TestChangeAddress_BetweenRequests(t *testing.T) {
	for _, polls := range []bool{false, true} {
		previous := newFakeService(t, sendAndReset(""))
		next := newFakeService(t, respondAndClose(emptyList), respond("\n"))
		delivered, requests := make(chan *List, 100), make(chan struct{}, 1)
		var w *Watcher
		changeOnce := sync.OnceFunc(func() { w.ChangeAddress(next.address()) })
		w = NewWatcher(previous.address(), testRevision, func(l *List) { delivered <- l }, func(error) { changeOnce() })
		ctx, cancel := context.WithCancel(context.Background())
		watchOrPoll(ctx, w, polls, requests)
		if l := <-delivered; l.Revision != 5 || !l.Complete {
			t.Errorf("delivered %+v", l)
		}
		if len(previous.requests) != 1 {
			t.Errorf("%d requests to the old address", len(previous.requests))
		}
		cancel()
	}
}

// TestChangeAddress_TwiceAndBack changes the address to another one and back before the first change is handled.
func TestChangeAddress_TwiceAndBack(t *testing.T) {
	first := newFakeService(t, respond("\n"))
	second := newFakeService(t, respond(`{"revision":9,"complete":true,"members":[]}`))
	delivered := make(chan *List, 100)
	w := NewWatcher(first.address(), testRevision, func(l *List) { delivered <- l }, ignoreError)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go w.Watch(ctx)
	if l := <-delivered; l.Revision != testRevision {
		t.Errorf("delivered %+v", l)
	}
	<-first.requests
	w.ChangeAddress(second.address())
	w.ChangeAddress(first.address())
	first.expectRequest(t, fullListURL)
}
