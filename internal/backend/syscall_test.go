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

// dialError returns a system call error wrapped the way that net.Dial returns it.
func dialError(call string, errno unix.Errno) error {
	return &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError(call, errno)}
}

// A dial that fails because of this host must not count against the member, neither in an attempt nor in a health check, and dials must
// succeed again once the cause is gone. A failure caused by the member must count against it.
func TestDial_Fails(t *testing.T) {
	for _, c := range []struct {
		point, call string
		host, peer  []unix.Errno
	}{
		{"eventloop.connect", "socket", []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EACCES}, nil},
		{"eventloop.connect", "connect", []unix.Errno{unix.EADDRNOTAVAIL, unix.EADDRINUSE, unix.EAGAIN, unix.ENOBUFS, unix.ENOMEM,
			unix.ENETUNREACH, unix.ENETDOWN, unix.EPERM, unix.EINTR},
			[]unix.Errno{unix.ECONNREFUSED, unix.ECONNRESET, unix.ETIMEDOUT, unix.EHOSTUNREACH}},
		{"eventloop.adopt", "dup", []unix.Errno{unix.EMFILE, unix.ENFILE}, nil},
	} {
		for n, errno := range append(c.host, c.peer...) {
			t.Run(fmt.Sprint(c.call, " ", unix.ErrnoName(errno)), func(t *testing.T) {
				driver, backend := start(t, 10)
				m := fakes.NewMember(t, nil, func(string) *fakes.Reply { return fakes.RowReply("v", "source", "1") })
				restore := failpoint.SetError(c.point, func() error { return dialError(c.call, errno) })
				defer restore()
				want, wantCheck := "0 not sent 0 0 false", "check not sent"
				if n >= len(c.host) {
					want, wantCheck = "0 connect failed 0 0 false", "check connect failed"
				}
				driver.runOnLoop(func() {
					backend.ApplyMemberList(listOf(m.Addr, router.Up))
					backend.SendAttempt(newRequest(driver, "1", 60000), 0, "a", 0, math.Inf(1))
				})
				if got := driver.nextEvent(t); got != want {
					t.Errorf("got %q, want %q", got, want)
				}
				driver.runOnLoop(func() { backend.HealthCheck("a") })
				if got := driver.nextEvent(t); got != wantCheck {
					t.Errorf("got %q, want %q", got, wantCheck)
				}
				restore()
				for n := 1; ; n++ { // until the pool's backoff is over
					driver.runOnLoop(func() { backend.SendAttempt(newRequest(driver, fmt.Sprint(n+1), 60000), n, "a", 0, math.Inf(1)) })
					switch got := driver.nextEvent(t); got {
					case fmt.Sprint(n, " succeeded 1 1 true"):
						return
					case fmt.Sprint(n, want[1:]):
					default:
						t.Fatalf("got %q after dials can succeed again", got)
					}
				}
			})
		}
	}
}

// While this host has no free port, the pool's backoff must limit the dial rate, no matter how fast attempts are retried.
func TestDial_PacedWhileHostHasNoPort(t *testing.T) {
	driver, backend := start(t, 10)
	m := fakes.NewMember(t, nil, nil)
	var dials atomic.Int64
	defer failpoint.SetError("eventloop.connect", func() error {
		dials.Add(1)
		return dialError("connect", unix.EADDRNOTAVAIL)
	})()
	var started, ended float64
	driver.runOnLoop(func() { backend.ApplyMemberList(listOf(m.Addr, router.Up)); started = driver.Clock() })
	const attempts = 2000
	for n := range attempts {
		driver.runOnLoop(func() { backend.SendAttempt(newRequest(driver, fmt.Sprint(n), 60000), n, "a", 0, math.Inf(1)) })
		if got, want := driver.nextEvent(t), fmt.Sprint(n, " not sent 0 0 false"); got != want {
			t.Fatalf("got %q, want %q", got, want)
		}
	}
	driver.runOnLoop(func() { ended = driver.Clock() })
	if maxDials := 5 + int64((ended-started)/100); dials.Load() > maxDials {
		t.Errorf("%d dials for %d attempts in %.0f ms, want at most %d", dials.Load(), attempts, ended-started, maxDials)
	}
}

// An established connection that fails with ETIMEDOUT, EHOSTUNREACH, ENETUNREACH or EPIPE must be treated like one that fails with
// ECONNRESET: a query whose last byte was written may have run.
func TestMemberConn_EstablishedConnectionBreaks(t *testing.T) {
	for _, errno := range []unix.Errno{unix.ECONNRESET, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ENETUNREACH, unix.EPIPE} {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			driver, backend := start(t, 10)
			var broken atomic.Bool
			defer failpoint.SetError("eventloop.read", func() error {
				if broken.Load() {
					return errno
				}
				return nil
			})()
			m := fakes.NewMember(t, nil, func(string) *fakes.Reply {
				broken.Store(true)
				return fakes.RowReply("v", "source", "1")
			})
			driver.runOnLoop(func() {
				backend.ApplyMemberList(listOf(m.Addr, router.Up))
				backend.SendAttempt(newRequest(driver, "1", 60000), 0, "a", 0, math.Inf(1))
			})
			if got, want := driver.nextEvent(t), "0 reset 0 0 false"; got != want {
				t.Errorf("got %q, want %q", got, want)
			}
		})
	}
}

// Reads that are interrupted, return no data, fail temporarily for lack of memory or return a single byte must not change the response.
func TestMemberConn_InterruptedAndShortReads(t *testing.T) {
	driver, backend := start(t, 10)
	m := fakes.NewMember(t, nil, func(string) *fakes.Reply { return fakes.RowReply("v", "source", "17") })
	var reads atomic.Int64
	readErrors := []error{0: unix.EINTR, 1: unix.EINTR, 2: unix.EAGAIN, 10: unix.ENOMEM, 49: nil}
	defer failpoint.SetError("eventloop.read", func() error { return readErrors[reads.Add(1)%int64(len(readErrors))] })()
	defer failpoint.SetLimit("eventloop.read", 1)()
	driver.runOnLoop(func() {
		backend.ApplyMemberList(listOf(m.Addr, router.Up))
		backend.SendAttempt(newRequest(driver, "1", 60000), 0, "a", 0, math.Inf(1))
	})
	if got, want := driver.nextEvent(t), "0 succeeded 1 17 true"; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if reads.Load() < 100 {
		t.Errorf("%d reads, want at least 100: the reads were not short", reads.Load())
	}
}
