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

// TestWatch_RecoversFromAnyTwoFaults has each faulty response end by itself, whichever comes next: the third request succeeds.
func TestWatch_RecoversFromAnyTwoFaults(t *testing.T) {
	faults := map[string]func(net.Conn){
		"silent":               hang,
		"silent after a line":  respond("\n"),
		"silent in a line":     respond(testChange[:40]),
		"silent in a list":     respond("{\n"),
		"lines but no end":     func(c net.Conn) { respond("{\"x\":[\n")(c); send("\n\n")(c) },
		"reset at once":        sendAndReset(""),
		"reset after a line":   sendAndReset("HTTP/1.1 200 OK\r\n\r\n\n"),
		"reset in a line":      sendAndReset("HTTP/1.1 200 OK\r\n\r\n" + testChange[:40]),
		"unavailable":          sendAndReset("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"),
		"not HTTP":             sendAndReset("what?\r\n\r\n"),
		"incomplete header":    send("HTTP/1.1 200"),
		"not JSON":             respond("{,}\n"),
		"revisions start over": respond(strings.Replace(testChange, "43", "2", 1) + "\n"),
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

// TestTimeouts_ChangesKnownInTime compares what the constants allow with what the list service and its users rely on.
func TestTimeouts_ChangesKnownInTime(t *testing.T) {
	const (
		changeLimit       = 6 * time.Second // from when the service has a change and can be reached
		addressLimit      = 4 * time.Second // from a change of address
		gapLimit          = 400 * time.Millisecond
		heartbeatInterval = 2 * time.Second
	)
	shortPause := time.Duration(maxJitter * float64(minBackoff))
	longPause := time.Duration(maxJitter * float64(maxBackoff))
	for name, longest := range map[string]time.Duration{
		"the connection goes silent, and the next request hangs": 2 * (heartbeatTimeout + shortPause),
		"the service comes back while a request hangs":           heartbeatTimeout + shortPause,
		"requests are refused until the service comes back":      longPause,
		"a list goes on coming and never ends":                   maxListTimeouts*heartbeatTimeout + shortPause,
	} {
		if longest >= changeLimit {
			t.Errorf("%s: known after %v, the limit is %v", name, longest, changeLimit)
		}
	}
	if longest := heartbeatTimeout + shortPause; longest >= addressLimit { // the first request to the new address hangs
		t.Errorf("known %v after a change of address, the limit is %v", longest, addressLimit)
	}
	if longPause > gapLimit {
		t.Errorf("between two requests that end at once up to %v pass, in which nothing new is known", longPause)
	}
	if heartbeatTimeout <= heartbeatInterval {
		t.Errorf("a watch ends after %v without a heartbeat, and they come every %v", heartbeatTimeout, heartbeatInterval)
	}
}

func TestJitter_StaysInBounds(t *testing.T) {
	for range 1000 {
		pause := jitter(maxBackoff)
		if pause < maxBackoff/2 || pause >= maxBackoff*3/2 {
			t.Fatalf("a backoff of %v became a pause of %v", maxBackoff, pause)
		}
	}
}
