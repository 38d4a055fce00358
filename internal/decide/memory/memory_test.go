package memory

import (
	"testing"

	"pgregory.net/rapid"
)

// Uses are refused in their order: whatever is held, a use is allowed only if each later one is.
func TestAccount_RefusesInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewAccount(rapid.IntRange(0, 1<<30).Draw(t, "limit"))
		a.Change(rapid.IntRange(0, 1<<31).Draw(t, "held"))
		bytes := rapid.IntRange(0, 1<<20).Draw(t, "bytes")
		for use := InputAhead; use < Response; use++ {
			if a.Allows(use, bytes) && !a.Allows(use+1, bytes) {
				t.Fatalf("use %d is allowed, but not %d", use, use+1)
			}
		}
		if a.Allows(Response, 0) && a.Exceeded() {
			t.Fatal("a response is allowed beyond the limit")
		}
	})
}

// What is taken step by step while it is allowed never exceeds the limit, and is free again once it is given back.
func TestAccount_StaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewAccount(rapid.IntRange(0, 1<<20).Draw(t, "limit"))
		var taken []int
		for _, bytes := range rapid.SliceOf(rapid.IntRange(1, 1<<16)).Draw(t, "bytes") {
			if a.Allows(Use(len(taken)%3), bytes) {
				a.Change(bytes)
				taken = append(taken, bytes)
			}
			if a.Exceeded() {
				t.Fatalf("%d bytes of %d", a.Held(), a.Limit())
			}
		}
		for _, bytes := range taken {
			a.Change(-bytes)
		}
		if a.Held() != 0 {
			t.Fatalf("%d bytes are still held", a.Held())
		}
	})
}

// The heap and the program's code fit into the configured memory, from the least on.
func TestLimits_FitIntoMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		configured := rapid.IntRange(LeastBytes, 8<<30).Draw(t, "configured")
		if used := HeapLimit(configured) + programBytes; used > configured {
			t.Fatalf("%d bytes are used of %d", used, configured)
		}
		if used := garbageFactor*PeersLimit(configured) + baseHeapBytes; used > HeapLimit(configured) && configured >= 32*bytesPerMiB {
			t.Fatalf("%d bytes of heap of %d", used, HeapLimit(configured))
		}
	})
}

// Unread responses alone never keep requests from being accepted, once those who leave too much are ended.
func TestAccount_UnreadLeavesRoomForRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := NewAccount(rapid.IntRange(100, 1<<30).Draw(t, "limit"))
		a.ChangeUnread(rapid.IntRange(0, 1<<31).Draw(t, "unread"))
		if !a.TooMuchUnread() && !a.Allows(Request, 0) {
			t.Fatalf("a request is refused with %d of %d bytes unread", a.Held(), a.Limit())
		}
	})
}
