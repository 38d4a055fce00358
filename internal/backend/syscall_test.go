//go:build debug

package backend

import (
	"fmt"
	"math"
	"net"
	"os"
	"sync/atomic"
	"testing"

	"golang.org/x/sys/unix"

	"wayloft/internal/failpoint"
	"wayloft/internal/fakes"
	"wayloft/router"
)

// dialError is how net gives the error of a call that its dial made.
func dialError(call string, errno unix.Errno) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError(call, errno)}
}

// A dial that fails for a cause of this host's says nothing of the member: neither an attempt nor a check counts against
// it, and the next dial, once the cause is gone, serves. One that fails for the member's cause counts.
func TestDialFails(t *testing.T) {
	for _, c := range []struct {
		point, call string
		own, peer   []unix.Errno
	}{
		{"eventloop.connect", "socket", []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EACCES}, nil},
		{"eventloop.connect", "connect", []unix.Errno{unix.EADDRNOTAVAIL, unix.EADDRINUSE, unix.EAGAIN, unix.ENOBUFS, unix.ENOMEM,
			unix.ENETUNREACH, unix.ENETDOWN, unix.EPERM, unix.EINTR},
			[]unix.Errno{unix.ECONNREFUSED, unix.ECONNRESET, unix.ETIMEDOUT, unix.EHOSTUNREACH}},
		{"eventloop.adopt", "dup", []unix.Errno{unix.EMFILE, unix.ENFILE}, nil},
	} {
		for n, errno := range append(c.own, c.peer...) {
			t.Run(fmt.Sprint(c.call, " ", unix.ErrnoName(errno)), func(t *testing.T) {
				e, side := start(t, 10)
				m := fakes.NewMember(t, nil, func(string) *fakes.Reply { return fakes.Row("v", "source", "1") })
				clear := failpoint.SetError(c.point, func() error { return dialError(c.call, errno) })
				defer clear()
				want, wantCheck := "0 moot 0 0 false", "check moot"
				if n >= len(c.own) {
					want, wantCheck = "0 unconnected 0 0 false", "check unconnected"
				}
				e.do(func() {
					side.List(list(m.Addr, router.Up))
					side.SendAttempt(txn(e, "1", 60000), 0, "a", 0, math.Inf(1))
				})
				if got := e.hear(t); got != want {
					t.Errorf("got %q, want %q", got, want)
				}
				e.do(func() { side.HealthCheck("a") })
				if got := e.hear(t); got != wantCheck {
					t.Errorf("got %q, want %q", got, wantCheck)
				}
				clear()
				for n := 1; ; n++ { // until the pool's pause is over
					e.do(func() { side.SendAttempt(txn(e, fmt.Sprint(n+1), 60000), n, "a", 0, math.Inf(1)) })
					switch got := e.hear(t); got {
					case fmt.Sprint(n, " committed 1 1 true"):
						return
					case fmt.Sprint(n, want[1:]):
					default:
						t.Fatalf("got %q once dials succeed", got)
					}
				}
			})
		}
	}
}

// However fast attempts come back while this host has no port left, dials are made at the pool's pace alone.
func TestDialsArePacedWhileThisHostHasNoPort(t *testing.T) {
	e, side := start(t, 10)
	m := fakes.NewMember(t, nil, nil)
	var dials atomic.Int64
	defer failpoint.SetError("eventloop.connect", func() error {
		dials.Add(1)
		return dialError("connect", unix.EADDRNOTAVAIL)
	})()
	var began, ended float64
	e.do(func() { side.List(list(m.Addr, router.Up)); began = e.Clock() })
	const submissions = 2000
	for n := range submissions {
		e.do(func() { side.SendAttempt(txn(e, fmt.Sprint(n), 60000), n, "a", 0, math.Inf(1)) })
		if got, want := e.hear(t), fmt.Sprint(n, " moot 0 0 false"); got != want {
			t.Fatalf("got %q, want %q", got, want)
		}
	}
	e.do(func() { ended = e.Clock() })
	if most := 5 + int64((ended-began)/100); dials.Load() > most {
		t.Errorf("%d dials for %d submissions in %.0f ms, want %d at most", dials.Load(), submissions, ended-began, most)
	}
}

// An established connection that ends by ETIMEDOUT, EHOSTUNREACH or ENETUNREACH is broken, as by ECONNRESET: a query whose last
// byte was written may have run.
func TestEstablishedConnectionBreaks(t *testing.T) {
	for _, errno := range []unix.Errno{unix.ECONNRESET, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ENETUNREACH, unix.EPIPE} {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			e, side := start(t, 10)
			var broken atomic.Bool
			defer failpoint.SetError("eventloop.read", func() error {
				if broken.Load() {
					return errno
				}
				return nil
			})()
			m := fakes.NewMember(t, nil, func(string) *fakes.Reply {
				broken.Store(true)
				return fakes.Row("v", "source", "1")
			})
			e.do(func() {
				side.List(list(m.Addr, router.Up))
				side.SendAttempt(txn(e, "1", 60000), 0, "a", 0, math.Inf(1))
			})
			if got, want := e.hear(t), "0 reset 0 0 false"; got != want {
				t.Errorf("got %q, want %q", got, want)
			}
		})
	}
}

// Reads that are interrupted, find nothing, lack memory for a moment or take one byte at a time give the same answer.
func TestReadsAreInterruptedAndShort(t *testing.T) {
	e, side := start(t, 10)
	m := fakes.NewMember(t, nil, func(string) *fakes.Reply { return fakes.Row("v", "source", "17") })
	var reads atomic.Int64
	between := []error{0: unix.EINTR, 1: unix.EINTR, 2: unix.EAGAIN, 10: unix.ENOMEM, 49: nil}
	defer failpoint.SetError("eventloop.read", func() error { return between[reads.Add(1)%int64(len(between))] })()
	defer failpoint.SetLimit("eventloop.read", 1)()
	e.do(func() {
		side.List(list(m.Addr, router.Up))
		side.SendAttempt(txn(e, "1", 60000), 0, "a", 0, math.Inf(1))
	})
	if got, want := e.hear(t), "0 committed 1 17 true"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if reads.Load() < 100 {
		t.Errorf("%d reads: they were not cut", reads.Load())
	}
}
