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

// faultyConn fails its first read, or takes one byte at a time.
type faultyConn struct {
	net.Conn
	read error // nil: reads are short
}

func (c *faultyConn) Read(into []byte) (int, error) {
	if c.read != nil {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", c.read)}
	}
	return c.Conn.Read(into[:min(1, len(into))])
}

// A system call of discovery's connection fails twice in a row, whichever it is and whatever with: each is a failed call, told as
// one and made again, and the list gets through. Short reads are no failure.
func TestSystemCallsFail(t *testing.T) {
	calls := map[string][]unix.Errno{
		"socket": {unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EACCES},
		"connect": {unix.EADDRNOTAVAIL, unix.EADDRINUSE, unix.EAGAIN, unix.ENETUNREACH, unix.ENETDOWN, unix.EHOSTUNREACH, unix.ECONNREFUSED,
			unix.ETIMEDOUT, unix.ECONNABORTED, unix.EINTR, unix.EPERM},
		"read": {unix.ECONNRESET, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ENETUNREACH, unix.EINTR, unix.ENOBUFS, unix.ENOMEM},
	}
	for call, numbers := range calls {
		for _, errno := range numbers {
			for _, ask := range []bool{false, true} {
				t.Run(fmt.Sprint(call, " ", unix.ErrnoName(errno), ", asked for: ", ask), func(t *testing.T) {
					t.Parallel()
					p := newPeer(t, says(changed+"\n"))
					told, requests, failed := make(chan *List, 100), make(chan struct{}, 1), make(chan error, 100)
					w := NewWatcher(p.Addr().String(), 41, func(l *List) { told <- l }, func(err error) {
						failed <- err
						select {
						case requests <- struct{}{}: // a router asks again
						default:
						}
					})
					w.heartbeatTimeout = time.Hour
					dials := 0
					w.client.Transport = &http.Transport{DisableKeepAlives: true,
						DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
							dials++
							if dials <= 2 && call != "read" {
								return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError(call, errno)}
							}
							c, err := new(net.Dialer).DialContext(ctx, network, addr)
							if err != nil {
								return nil, err
							}
							if dials <= 2 {
								return &faultyConn{c, errno}, nil
							}
							return &faultyConn{c, nil}, nil
						}}
					ctx, cancel := context.WithCancel(context.Background())
					defer cancel()
					if ask {
						go w.Poll(ctx, requests)
						requests <- struct{}{}
					} else {
						go w.Watch(ctx)
					}
					if l := <-told; l.Revision != 43 {
						t.Errorf("told %+v", l)
					}
					for range 2 {
						if err := <-failed; !errors.Is(err, errno) {
							t.Errorf("failed with %v", err)
						}
					}
				})
			}
		}
	}
}
