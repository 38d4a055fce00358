package discovery

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// faultyConn is a connection whose reads fail with readError or, if it is nil, return one byte at a time.
type faultyConn struct {
	net.Conn
	readError error
}

func (c *faultyConn) Read(p []byte) (int, error) {
	if c.readError != nil {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", c.readError)}
	}
	return c.Conn.Read(p[:min(1, len(p))])
}

// faultyDialer makes a system call fail on the first two connections. On all others, reads return one byte at a time.
type faultyDialer struct {
	call  string
	errno unix.Errno
	dials int
}

func (d *faultyDialer) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	const failures = 2
	d.dials++
	fails := d.dials <= failures
	if fails && d.call != "read" {
		return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError(d.call, d.errno)}
	}
	c, err := new(net.Dialer).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	if fails {
		return &faultyConn{Conn: c, readError: d.errno}, nil
	}
	return &faultyConn{Conn: c}, nil
}

// TestWatcher_SystemCallFails makes a system call fail twice in succession. Each failure must be reported as the error of a watch, and the
// third watch must succeed.
func TestWatcher_SystemCallFails(t *testing.T) {
	calls := map[string][]unix.Errno{
		"socket": {unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EACCES},
		"connect": {unix.EADDRNOTAVAIL, unix.EADDRINUSE, unix.EAGAIN, unix.ENETUNREACH, unix.ENETDOWN, unix.EHOSTUNREACH, unix.ECONNREFUSED,
			unix.ETIMEDOUT, unix.ECONNABORTED, unix.EINTR, unix.EPERM},
		"read": {unix.ECONNRESET, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ENETUNREACH, unix.EINTR, unix.ENOBUFS, unix.ENOMEM},
	}
	for call, numbers := range calls {
		for _, errno := range numbers {
			for _, polls := range []bool{false, true} {
				t.Run(fmt.Sprint(call, " ", unix.ErrnoName(errno), ", polls: ", polls), func(t *testing.T) {
					t.Parallel()
					recoverFromSystemCall(t, call, errno, polls)
				})
			}
		}
	}
}

func recoverFromSystemCall(t *testing.T, call string, errno unix.Errno, polls bool) {
	t.Helper()
	s := newFakeService(t, respond(testChange+"\n"))
	delivered, failed, requests := make(chan *List, 100), make(chan error, 100), make(chan struct{}, 1)
	again := requestAgain(requests)
	w := NewWatcher(s.address(), testRevision, func(l *List) { delivered <- l }, func(err error) {
		failed <- err
		again(err)
	})
	w.heartbeatTimeout = time.Hour
	dialer := &faultyDialer{call: call, errno: errno}
	w.client.Transport = &http.Transport{DisableKeepAlives: true, DialContext: dialer.dial}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	watchOrPoll(ctx, w, polls, requests)
	if l := <-delivered; l.Revision != 43 {
		t.Errorf("delivered %+v", l)
	}
	for range 2 {
		if err := <-failed; !errors.Is(err, errno) {
			t.Errorf("failed with %v", err)
		}
	}
}
