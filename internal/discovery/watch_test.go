package discovery

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"
)

func TestWatch_ResumesFromLatestRevision(t *testing.T) {
	s := newFakeService(t, respondAndClose(testChange+"\n"))
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go NewWatcher(s.address(), testRevision, ignoreList, ignoreError).Watch(ctx)
	for _, revision := range []int{testRevision, 43, 43} {
		s.expectRequest(t, watchURL(revision))
	}
}

// TestWatch_RecoversFromAnyTwoFaults combines every two faulty responses: the watcher must recover from both, so that the third request
// succeeds.
func TestWatch_RecoversFromAnyTwoFaults(t *testing.T) {
	faults := map[string]func(net.Conn){
		"silent":               hang,
		"silent after a line":  respond("\n"),
		"silent in a line":     respond(testChange[:40]),
		"silent in a list":     respond("{\n"),
		"list never completed": func(c net.Conn) { respond("{\"x\":[\n")(c); send("\n\n")(c) },
		"immediate reset":      sendAndReset(""),
		"reset after a line":   sendAndReset("HTTP/1.1 200 OK\r\n\r\n\n"),
		"reset in a line":      sendAndReset("HTTP/1.1 200 OK\r\n\r\n" + testChange[:40]),
		"unavailable":          sendAndReset("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"),
		"not HTTP":             sendAndReset("unexpected\r\n\r\n"),
		"incomplete header":    send("HTTP/1.1 200"),
		"not JSON":             respond("{,}\n"),
		"revisions restart":    respond(strings.Replace(testChange, "43", "2", 1) + "\n"),
	}
	for first, firstFault := range faults {
		for second, secondFault := range faults {
			t.Run(first+", "+second, func(t *testing.T) {
				t.Parallel()
				s := newFakeService(t, firstFault, secondFault, respondAndClose(testChange+"\n"))
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				delivered := make(chan *List, 100)
				w := NewWatcher(s.address(), testRevision, func(l *List) { delivered <- l }, ignoreError)
				w.heartbeatTimeout = 30 * time.Millisecond
				go w.Watch(ctx)
				for l := range delivered {
					if len(l.Entries) == 1 && l.Revision == 43 {
						return
					}
				}
			})
		}
	}
}

// TestTimeouts_ChangesKnownInTime compares the worst cases that the constants allow with the limits that must be met.
func TestTimeouts_ChangesKnownInTime(t *testing.T) {
	const (
		changeLimit       = 6 * time.Second        // after the service has a change and is reachable
		addressLimit      = 4 * time.Second        // after a change of address
		gapLimit          = 400 * time.Millisecond // between two requests that end immediately
		heartbeatInterval = 2 * time.Second
	)
	shortPause := time.Duration(maxJitter * float64(minBackoff))
	longPause := time.Duration(maxJitter * float64(maxBackoff))
	for name, longest := range map[string]time.Duration{
		"the connection becomes silent and the next request hangs": 2 * (heartbeatTimeout + shortPause),
		"the service recovers while a request hangs":               heartbeatTimeout + shortPause,
		"requests are refused until the service recovers":          longPause,
		"a list keeps arriving and is never completed":             maxListTimeouts*heartbeatTimeout + shortPause,
	} {
		if longest >= changeLimit {
			t.Errorf("%s: a change is known after %v, the limit is %v", name, longest, changeLimit)
		}
	}
	if longest := heartbeatTimeout + shortPause; longest >= addressLimit { // the first request to the new address hangs
		t.Errorf("a list is known %v after a change of address, the limit is %v", longest, addressLimit)
	}
	if longPause > gapLimit {
		t.Errorf("the pause between two requests that end immediately is up to %v, longer than the limit", longPause)
	}
	if heartbeatTimeout <= heartbeatInterval {
		t.Errorf("a watch ends after %v without a heartbeat, but the interval of heartbeats is %v", heartbeatTimeout, heartbeatInterval)
	}
}

func TestJitter_StaysInBounds(t *testing.T) {
	for range 1000 {
		pause := jitter(maxBackoff)
		if pause < maxBackoff/2 || pause >= maxBackoff*3/2 {
			t.Fatalf("jitter(%v) = %v, out of bounds", maxBackoff, pause)
		}
	}
}
