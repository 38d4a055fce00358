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

// cycleErrors has a failpoint fail with each of the errors in turn, nil among them. It returns the count of its calls, and a function
// that restores it.
func cycleErrors(point string, errs ...error) (calls *atomic.Int64, restore func()) {
	calls = &atomic.Int64{}
	return calls, failpoint.SetError(point, func() error { return errs[(calls.Add(1)-1)%int64(len(errs))] })
}

// Writes are interrupted, find no room, lack memory for a moment or take a few bytes: the peer receives all that was written, in order,
// and then the end.
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
			t.Fatalf("write %d arrives changed: %v", n, err)
		}
	}
	want := bytes.Repeat([]byte("last"), 1000)
	l.Post(func() { c.Write(want); c.Finish() })
	if got, err := io.ReadAll(peer); err != nil || !bytes.Equal(got, want) {
		t.Errorf("the peer read %d bytes before the end, %v; want %d", len(got), err, len(want))
	}
	if calls.Load() < 30 {
		t.Errorf("%d writes were made", calls.Load())
	}
}

// Reads are interrupted, find nothing, lack memory for a moment or take one byte: the handler receives everything, in order, and the end.
func TestConn_InterruptedAndShortReads(t *testing.T) {
	l, _, peer, h := connectedPair(t, 1<<20)
	_, restore := cycleErrors("eventloop.read", unix.EINTR, unix.EAGAIN, nil, unix.ENOBUFS, nil, nil, unix.EINTR)
	defer restore()
	defer failpoint.SetLimit("eventloop.read", 1)()
	const text = "a request in some parts"
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

// A read of an established connection fails: that is its end, even if the error is one about the route to the peer.
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

// A write fails although the poll before it found nothing wrong, or the peer leaves too much unread: the handler is told of the end, and
// the descriptor stays open until the poller, which is held meanwhile, closes it. Otherwise the number would be used again while the
// poller still has an event for it.
func TestConn_WriteFails(t *testing.T) {
	for name, errno := range map[string]error{"ECONNRESET": unix.ECONNRESET, "EPIPE": unix.EPIPE, "ETIMEDOUT": unix.ETIMEDOUT,
		"EHOSTUNREACH": unix.EHOSTUNREACH, "too much unread": nil} {
		t.Run(name, func(t *testing.T) {
			const maxUnsent = 1 << 20
			l, c, _, h := connectedPair(t, maxUnsent)
			release := make(chan bool)
			defer failpoint.Set("eventloop.read", func() { <-release })()
			_, restore := cycleErrors("eventloop.write", errno)
			defer restore()
			closed := make(chan bool)
			l.Post(func() {
				c.Write(make([]byte, maxUnsent+1))
				isClosed, _ := c.nb.IsClosed()
				closed <- isClosed
			})
			if <-closed {
				t.Error("the loop has closed the descriptor")
			}
			close(release)
			<-h.closed
		})
	}
}

// A poll is interrupted or fails for want of memory: that is not the end of the connection, and what is written arrives. The connection
// doesn't count as quiescent meanwhile, since something may have come.
func TestConn_PollFails(t *testing.T) {
	for _, errno := range []unix.Errno{unix.ENOMEM, unix.EAGAIN} {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			l, c, peer, _ := connectedPair(t, 1<<20)
			_, restore := cycleErrors("eventloop.poll", unix.EINTR, errno)
			defer restore()
			dropped := make(chan bool, 1)
			l.Post(func() { c.Write([]byte("answer")); dropped <- c.DropIfQuiescent() })
			if <-dropped {
				t.Error("ended though it is unknown what has come")
			}
			got := make([]byte, 6)
			if _, err := io.ReadFull(peer, got); err != nil || string(got) != "answer" {
				t.Errorf("the peer read %q, %v", got, err)
			}
		})
	}
}
