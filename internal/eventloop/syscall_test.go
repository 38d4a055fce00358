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

// cycle has a point fail with one after the other, nil among them, and counts its calls.
func cycle(point string, errs ...error) (calls *atomic.Int64, clear func()) {
	calls = &atomic.Int64{}
	return calls, failpoint.SetError(point, func() error { return errs[(calls.Add(1)-1)%int64(len(errs))] })
}

// Writes that are interrupted, find no room, lack memory for a moment or take a few bytes: the peer gets all that was written, in
// its order, and then the end.
func TestWritesAreInterruptedAndShort(t *testing.T) {
	l, c, peer, _ := pair(t, 1<<20)
	calls, clear := cycle("eventloop.write", unix.EINTR, unix.ENOBUFS, unix.EINTR, nil, unix.EAGAIN, unix.ENOMEM)
	defer clear()
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

// Reads that are interrupted, find nothing, lack memory for a moment or take one byte: all is heard, in its order, and the end.
func TestReadsAreInterruptedAndShort(t *testing.T) {
	l, _, peer, h := pair(t, 1<<20)
	_, clear := cycle("eventloop.read", unix.EINTR, unix.EAGAIN, nil, unix.ENOBUFS, nil, nil, unix.EINTR)
	defer clear()
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
		t.Errorf("heard %q", got)
	}
	peer.Close()
	<-h.closed
	l.Post(func() {})
}

// A read of an established connection fails: that is its end, whatever the error says of the way there.
func TestReadFails(t *testing.T) {
	for _, errno := range []unix.Errno{unix.ECONNRESET, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ENETUNREACH, unix.ENETDOWN} {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			_, _, peer, h := pair(t, 1<<20)
			_, clear := cycle("eventloop.read", errno)
			defer clear()
			if _, err := peer.Write([]byte("x")); err != nil {
				t.Fatal(err)
			}
			<-h.closed
		})
	}
}

// A write fails between the question how the connection is and the answer, or its peer leaves too much unread: its end is heard,
// and the descriptor stays open until the poller closes it, which is held meanwhile. Otherwise the number is used again while the
// poller still has an event for it.
func TestWriteFails(t *testing.T) {
	for name, errno := range map[string]error{"ECONNRESET": unix.ECONNRESET, "EPIPE": unix.EPIPE, "ETIMEDOUT": unix.ETIMEDOUT,
		"EHOSTUNREACH": unix.EHOSTUNREACH, "too much unread": nil} {
		t.Run(name, func(t *testing.T) {
			const most = 1 << 20
			l, c, _, h := pair(t, most)
			release := make(chan bool)
			defer failpoint.Set("eventloop.read", func() { <-release })()
			_, clear := cycle("eventloop.write", errno)
			defer clear()
			closed := make(chan bool)
			l.Post(func() {
				c.Write(make([]byte, most+1))
				is, _ := c.nb.IsClosed()
				closed <- is
			})
			if <-closed {
				t.Error("the loop has closed the descriptor")
			}
			close(release)
			<-h.closed
		})
	}
}

// The system has no memory to say how a connection is, or is interrupted: that is no end, and what is written arrives. Nothing is
// ended quietly meanwhile, since something may have come.
func TestPollFails(t *testing.T) {
	for _, errno := range []unix.Errno{unix.ENOMEM, unix.EAGAIN} {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			l, c, peer, _ := pair(t, 1<<20)
			_, clear := cycle("eventloop.poll", unix.EINTR, errno)
			defer clear()
			quiet := make(chan bool, 1)
			l.Post(func() { c.Write([]byte("answer")); quiet <- c.DropIfQuiescent() })
			if <-quiet {
				t.Error("ended though nobody knows what has come")
			}
			got := make([]byte, 6)
			if _, err := io.ReadFull(peer, got); err != nil || string(got) != "answer" {
				t.Errorf("the peer read %q, %v", got, err)
			}
		})
	}
}
