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

// failCalls makes the first n calls at a failpoint fail with an error, where n is times, and counts all calls. It ends with the test.
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

// Guards against a listener that stops accepting after a failed accept: for each error, clients that connect meanwhile are served once
// accept succeeds again.
func TestGate_AcceptFails(t *testing.T) {
	for _, errno := range []unix.Errno{unix.ECONNABORTED, unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EPROTO, unix.ENETDOWN,
		unix.ENOPROTOOPT, unix.EHOSTDOWN, unix.ENONET, unix.EHOSTUNREACH, unix.EOPNOTSUPP, unix.ENETUNREACH, unix.EPERM, unix.EINTR,
		unix.EAGAIN, unix.ETIMEDOUT} {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			f := newTestFrontend(t, 10)
			f.dial(statementDatabase, true)
			calls := failCalls(t, "frontend.accept", 3, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", errno)})
			f.dialAndClose() // served by the accept call that was already blocked
			f.dialAndClose()
			if calls.Load() == 0 {
				t.Error("accept was not called")
			}
		})
	}
}

// Guards against dropping a connection that is accepted while no descriptor is available for the poller's copy: it waits for a descriptor,
// and its client's request gets a response.
func TestGate_AcceptedConnectionWaitsForDescriptor(t *testing.T) {
	for _, errno := range []unix.Errno{unix.EMFILE, unix.ENFILE} {
		t.Run(unix.ErrnoName(errno), func(t *testing.T) {
			f := newTestFrontend(t, 10)
			calls := failCalls(t, "eventloop.adopt", 3, os.NewSyscallError("dup", errno))
			for range 2 {
				f.dialAndClose()
			}
			if calls.Load() < 5 {
				t.Errorf("%d calls to adopt a connection, want at least 5, of which 3 fail", calls.Load())
			}
			f.runOnLoop(func() {
				gate := f.frontend.gate
				if accepted := gate.accepted.Load(); accepted != 2 || gate.sessionsStarted != 2 {
					t.Errorf("%d connections accepted, %d became sessions, want 2 of each", accepted, gate.sessionsStarted)
				}
			})
		})
	}
}

// Guards against a drain that stops the process for lack of sessions while an accepted connection still waits for a descriptor.
func TestGate_AcceptedConnectionWaitsForDescriptorWhileDraining(t *testing.T) {
	f := newTestFrontend(t, 10)
	var lastSessionHits atomic.Int64 // how often the drain has found no session left
	t.Cleanup(failpoint.SetHook("frontend.last_session", func() { lastSessionHits.Add(1) }))
	t.Cleanup(failpoint.SetError("eventloop.adopt", func() error {
		if lastSessionHits.Load() < 3 {
			return os.NewSyscallError("dup", unix.EMFILE)
		}
		return nil
	}))
	f.runOnLoop(func() { f.frontend.Drain(f.driver.Clock(), acceptPeriodMs+1e6) })
	f.dialAndClose()
	if lastSessionHits.Load() < 3 {
		t.Error("the client was served before the drain found no session left three times")
	}
}
