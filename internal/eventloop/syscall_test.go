//go:build debug

package eventloop

import (
	"bytes"
	"io"
	"sync/atomic"
	"testing"

	"golang.org/x/sys/unix"

	"wayloft/internal/failpoint"
)

// cycleErrors makes a failpoint return each of the errors in turn; nil means success. It returns the number of calls so far and a
// function that restores the failpoint.
func cycleErrors(point string, errs ...error) (calls *atomic.Int64, restore func()) {
	calls = &atomic.Int64{}
	return calls, failpoint.SetError(point, func() error { return errs[(calls.Add(1)-1)%int64(len(errs))] })
}

// Writes are interrupted, would block, temporarily lack memory or accept only a few bytes: the peer receives everything that was
// written, in order, followed by EOF.
func TestConn_InterruptedAndShortWrites(t *testing.T) {
	l, c, peer, _ := connectedPair(t, 1<<20)
	calls, restore := cycleErrors("eventloop.write", unix.EINTR, unix.ENOBUFS, unix.EINTR, nil, unix.EAGAIN, unix.ENOMEM)
	defer restore()
	defer failpoint.SetLimit("eventloop.write", 3)()
	for n := range 30 {
		want := bytes.Repeat([]byte{byte(n)}, 1000)
		l.Post(func() { c.Write(want[:500]); c.Write(want[500:]) })
		got := make([]byte, len(want))
		if _, err := io.ReadFull(peer, got); err != nil || !bytes.Equal(got, want) {
			t.Fatalf("write %d was not received unchanged: %v", n, err)
		}
	}
	want := bytes.Repeat([]byte("last"), 1000)
	l.Post(func() { c.Write(want); c.Finish() })
	if got, err := io.ReadAll(peer); err != nil || !bytes.Equal(got, want) {
		t.Errorf("the peer read %d bytes before EOF, %v; want %d", len(got), err, len(want))
	}
	if calls.Load() < 30 {
		t.Errorf("%d writes were made, want at least 30", calls.Load())
	}
}

// Reads are interrupted, would block, temporarily lack memory or return one byte: the handler receives everything, in order, and then the
// end of the connection.
func TestConn_InterruptedAndShortReads(t *testing.T) {
	l, _, peer, h := connectedPair(t, 1<<20)
	_, restore := cycleErrors("eventloop.read", unix.EINTR, unix.EAGAIN, nil, unix.ENOBUFS, nil, nil, unix.EINTR)
	defer restore()
	defer failpoint.SetLimit("eventloop.read", 1)()
	const text = "a request in several parts"
	if _, err := peer.Write([]byte(text)); err != nil {
		t.Fatal(err)
	}
	got := ""
	for len(got) < len(text) {
		got += <-h.data
	}
	if got != text {
		t.Errorf("received %q", got)
	}
	closeSocket(peer)
	<-h.closed
	l.Post(func() {})
}

// A failed read of an established connection ends it, even if the error concerns the route to the peer.
func TestConn_ReadFails(t *testing.T) {
	for _, errno := range []unix.Errno{unix.ECONNRESET, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ENETUNREACH, unix.ENETDOWN} {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			_, _, peer, h := connectedPair(t, 1<<20)
			_, restore := cycleErrors("eventloop.read", errno)
			defer restore()
			if _, err := peer.Write([]byte("x")); err != nil {
				t.Fatal(err)
			}
			<-h.closed
		})
	}
}

// A write fails although the poll before it reported no error, or the unsent bytes exceed the limit: the handler is notified of the end,
// and the descriptor stays open until the poller, which is blocked in the meantime, closes it. Otherwise the descriptor number could be
// reused while the poller still has an event for it.
func TestConn_WriteFails(t *testing.T) {
	for name, errno := range map[string]error{"ECONNRESET": unix.ECONNRESET, "EPIPE": unix.EPIPE, "ETIMEDOUT": unix.ETIMEDOUT,
		"EHOSTUNREACH": unix.EHOSTUNREACH, "too many unsent bytes": nil} {
		t.Run(name, func(t *testing.T) {
			const maxUnsent = 1 << 20
			l, c, _, h := connectedPair(t, maxUnsent)
			release := make(chan bool)
			defer failpoint.SetHook("eventloop.readable", func() { <-release })()
			_, restore := cycleErrors("eventloop.write", errno)
			defer restore()
			closed := make(chan bool)
			l.Post(func() {
				c.Write(make([]byte, maxUnsent+1))
				isClosed, _ := c.nb.IsClosed()
				closed <- isClosed
			})
			if <-closed {
				t.Error("the loop closed the descriptor")
			}
			close(release)
			<-h.closed
		})
	}
}

// A poll that is interrupted or fails for lack of memory does not end the connection, and written data still reaches the peer. The
// connection does not count as quiescent in the meantime, since data may have arrived.
func TestConn_PollFails(t *testing.T) {
	for _, errno := range []unix.Errno{unix.ENOMEM, unix.EAGAIN} {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			l, c, peer, _ := connectedPair(t, 1<<20)
			_, restore := cycleErrors("eventloop.poll", unix.EINTR, errno)
			defer restore()
			dropped := make(chan bool, 1)
			l.Post(func() { c.Write([]byte("result")); dropped <- c.DropIfQuiescent() })
			if <-dropped {
				t.Error("dropped although it is unknown whether data has arrived")
			}
			got := make([]byte, 6)
			if _, err := io.ReadFull(peer, got); err != nil || string(got) != "result" {
				t.Errorf("the peer read %q, %v", got, err)
			}
		})
	}
}
