package backend

import (
	"fmt"
	"math"
	"testing"

	"wayloft/internal/discovery"
	"wayloft/internal/fakes"
	"wayloft/router"
)

// Guards against a leak when members are added and removed. An attempt in flight to a removed member must still end with its own outcome.
func TestList_RemovedMembersLeaveNothing(t *testing.T) {
	driver, backend := start(t, 10)
	m := fakes.NewMember(t, nil, func(string) *fakes.Reply { return fakes.RowReply("v", "source", "1") })
	for n := range 50 {
		id := fmt.Sprint("m", n)
		driver.runOnLoop(func() {
			backend.ApplyMemberList(&discovery.List{Entries: []discovery.Entry{{ID: id, Addr: m.Addr, Started: router.Never}}})
			backend.SendAttempt(newRequest(driver, id, 5000), 0, id, 0, math.Inf(1))
		})
		fakes.WaitUntil(t, "the query has arrived", func() bool {
			_, queries := m.Received()
			return len(queries) > n
		})
		driver.runOnLoop(func() {
			backend.ApplyMemberList(&discovery.List{Entries: []discovery.Entry{{ID: id, Addr: m.Addr, State: router.Removed}}})
		})
		if got := driver.nextEvent(t); got != "0 succeeded 1 1 true" {
			t.Errorf("got %q", got)
		}
		driver.runOnLoop(func() {
			if len(backend.members)+len(backend.attempts)+backend.Connections() > 0 {
				t.Errorf("%d: leaked %d members, %d attempts, %d connections", n, len(backend.members), len(backend.attempts), backend.Connections())
			}
		})
	}
}

// An attempt that is not written yet when its member starts draining must not be sent. A changed address or start time closes the member's
// idle connections.
func TestList_Changes(t *testing.T) {
	driver, backend := startWithDialTimeout(t, 10, 200)
	silent := fakes.NewMember(t, &fakes.Reply{}, nil)
	m := fakes.NewMember(t, nil, func(string) *fakes.Reply { return fakes.RowReply("v", "source", "1") })
	driver.runOnLoop(func() {
		backend.ApplyMemberList(listOf(silent.Addr, router.Up))
		backend.SendAttempt(newRequest(driver, "1", 5000), 0, "a", 0, math.Inf(1))
		backend.ApplyMemberList(listOf(silent.Addr, router.Draining))
	})
	if got := driver.nextEvent(t); got != "0 not sent 0 0 false" {
		t.Errorf("attempt not written before draining: got %q", got)
	}
	for n, l := range []*discovery.List{listOf(m.Addr, router.Up), listOf(silent.Addr, router.Up), listOf(m.Addr, router.Up),
		{Entries: []discovery.Entry{{ID: "a", Addr: m.Addr, Started: 5}}}, {Complete: true}} {
		driver.runOnLoop(func() { backend.ApplyMemberList(l) })
		driver.runOnLoop(func() {
			if idle := backend.pool.IdleCount("a"); idle != 0 {
				t.Errorf("list %d: %d idle connections left", n, idle)
			}
		})
		if len(l.Entries) == 0 || l.Entries[0].Addr != m.Addr {
			continue
		}
		driver.runOnLoop(func() { backend.SendAttempt(newRequest(driver, fmt.Sprint("t", n), 5000), 0, "a", 0, math.Inf(1)) })
		if got := driver.nextEvent(t); got != "0 succeeded 1 1 true" {
			t.Errorf("list %d: got %q", n, got)
		}
	}
}

// An attempt in flight while its member's address changes must still end with its own outcome, but its connection must not be reused for the
// new address.
func TestList_AddressChangesDuringAttempt(t *testing.T) {
	driver, backend := start(t, 10)
	answer := make(chan bool)
	old := fakes.NewMember(t, nil, func(string) *fakes.Reply { <-answer; return fakes.RowReply("v", "source", "1") })
	moved := fakes.NewMember(t, nil, func(string) *fakes.Reply { return fakes.RowReply("v", "source", "2") })
	driver.runOnLoop(func() {
		backend.ApplyMemberList(listOf(old.Addr, router.Up))
		backend.SendAttempt(newRequest(driver, "1", 5000), 0, "a", 0, math.Inf(1))
	})
	fakes.WaitUntil(t, "the query has arrived", func() bool { _, queries := old.Received(); return len(queries) > 0 })
	driver.runOnLoop(func() { backend.ApplyMemberList(listOf(moved.Addr, router.Up)) })
	close(answer)
	if got := driver.nextEvent(t); got != "0 succeeded 1 1 true" {
		t.Errorf("got %q", got)
	}
	driver.runOnLoop(func() { backend.SendAttempt(newRequest(driver, "2", 5000), 0, "a", 0, math.Inf(1)) })
	if got := driver.nextEvent(t); got != "0 succeeded 1 2 true" {
		t.Errorf("after the address change: got %q", got)
	}
}
