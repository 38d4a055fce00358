package eventloop

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"github.com/lesismal/nbio"

	"wayloft/internal/decide/syscallerror"
	"wayloft/internal/failpoint"
)

// DialError is the failure of a dial. Unwrap returns its cause.
type DialError struct {
	Call syscallerror.Call // the system call that failed
	Err  error
}

func (e *DialError) Error() string { return fmt.Sprintf("dial: %v", e.Err) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// Cause returns whether the failure is about the peer or about this host.
func (e *DialError) Cause() syscallerror.Cause { return syscallerror.Of(e.Call, e.Err) }

// Dial connects to addr within timeout ms. done is called once, on the loop; a failure is a *DialError. The poller's own dialler is
// not used: nbio 1.6.8 takes the first four of an address's sixteen bytes for an IPv4 address, and connects to 0.0.0.0.
func (l *Loop) Dial(addr string, timeout float64, done func(*Conn, error)) {
	go func() {
		c, err := l.dial(addr, time.Duration(timeout*float64(time.Millisecond)))
		failpoint.Hit("eventloop.dialed")
		l.Post(func() { done(c, err) })
	}()
}

func (l *Loop) dial(addr string, timeout time.Duration) (*Conn, error) {
	std, err := connect(addr, timeout)
	if err != nil {
		return nil, &DialError{failedCall(err), err}
	}
	nb, err := adopt(std)
	if err != nil {
		_ = std.Close() // nothing was sent on it, and the dial's error is what the caller needs
		return nil, &DialError{syscallerror.Register, err}
	}
	failpoint.Hit("eventloop.connected")
	l.engineMu.Lock()
	defer l.engineMu.Unlock()
	if l.engineStopped {
		_ = nb.Close() // nothing was sent on it, and the loop has ended
		return nil, &DialError{syscallerror.Register, net.ErrClosed}
	}
	c := l.attach(nb, false)
	if _, err = l.engine.AddConn(nb); err != nil {
		return nil, &DialError{syscallerror.Register, err}
	}
	return c, nil
}

func connect(addr string, timeout time.Duration) (net.Conn, error) {
	if err := failpoint.Error("eventloop.connect"); err != nil {
		return nil, err
	}
	return net.DialTimeout("tcp", addr, timeout)
}

// failedCall returns which system call of net's dial failed.
func failedCall(err error) syscallerror.Call {
	var call *os.SyscallError
	if errors.As(err, &call) && (call.Syscall == "socket" || call.Syscall == "setsockopt") {
		return syscallerror.Socket
	}
	return syscallerror.Connect
}

// adopt converts a connection to the poller's type. If that fails, std is still open and the caller's.
func adopt(std net.Conn) (*nbio.Conn, error) {
	if err := failpoint.Error("eventloop.adopt"); err != nil {
		return nil, err
	}
	return nbio.NBConn(std)
}

// Adopt converts a connection that was accepted to the poller's type. It fails for want of a descriptor; the connection is then still
// open and the caller's. It may be called on any goroutine.
func Adopt(std net.Conn) (net.Conn, error) {
	nb, err := adopt(std)
	if err != nil {
		return nil, err
	}
	return nb, nil
}
