//go:build debug

package frontend

import (
	"net"
	"os"
	"sync/atomic"
	"testing"

	"golang.org/x/sys/unix"

	"wayloft/internal/failpoint"
)

// failCalls has the calls at a failpoint fail so many times with an error until the test ends, and counts the calls.
func failCalls(t *testing.T, point string, times int64, err error) (calls *atomic.Int64) {
	t.Helper()
	calls = &atomic.Int64{}
	t.Cleanup(failpoint.SetError(point, func() error {
		if calls.Add(1) <= times {
			return err
		}
		return nil
	}))
	return calls
}

// Whatever accept fails with, and however often, clients that connect meanwhile are served once it does not fail.
func TestGate_AcceptFails(t *testing.T) {
	for _, errno := range []unix.Errno{unix.ECONNABORTED, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EPROTO, unix.ENETDOWN,
		unix.ENOPROTOOPT, unix.EHOSTDOWN, unix.ENONET, unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH, unix.EPERM, unix.EINTR,
		unix.EAGAIN, unix.ETIMEDOUT} {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			f := newTestFrontend(t, 10)
			f.dial(statementDatabase, true)
			calls := failCalls(t, "frontend.accept", 3, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)})
			f.dialAndClose() // served by the call of accept that was waiting already
			f.dialAndClose()
			if calls.Load() == 0 {
				t.Error("accept was not called")
			}
		})
	}
}

// A connection that was accepted while no descriptor is left for the poller's copy waits for one, and its client's request is answered.
func TestGate_AcceptedConnectionWaitsForDescriptor(t *testing.T) {
	for _, errno := range []unix.Errno{unix.EMFILE, unix.ENFILE} {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			f := newTestFrontend(t, 10)
			calls := failCalls(t, "eventloop.adopt", 3, os.NewSyscallError("dup", errno))
			for range 2 {
				f.dialAndClose()
			}
			if calls.Load() < 5 {
				t.Errorf("%d calls to adopt a connection, 3 of which fail", calls.Load())
			}
			f.runOnLoop(func() {
				gate := f.frontend.gate
				if accepted := gate.accepted.Load(); accepted != 2 || gate.started != 2 {
					t.Errorf("%d accepted, %d started", accepted, gate.started)
				}
			})
		})
	}
}

// The process does not end for want of sessions while an accepted connection waits for a descriptor.
func TestGate_AcceptedConnectionWaitsForDescriptorWhileDraining(t *testing.T) {
	f := newTestFrontend(t, 10)
	var ends atomic.Int64 // times that the process would have ended
	t.Cleanup(failpoint.Set("frontend.last_session", func() { ends.Add(1) }))
	t.Cleanup(failpoint.SetError("eventloop.adopt", func() error {
		if ends.Load() < 3 {
			return os.NewSyscallError("dup", unix.EMFILE)
		}
		return nil
	}))
	f.runOnLoop(func() { f.frontend.Drain(f.driver.Clock(), acceptPeriodMs+1e6) })
	f.dialAndClose()
	if ends.Load() < 3 {
		t.Error("answered before the process would have ended")
	}
}
