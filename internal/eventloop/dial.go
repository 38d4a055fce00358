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

// DialError is returned when a dial fails.
type DialError struct {
	Call syscallerror.Call // the system call that failed
	Err  error
}

func (e *DialError) Error() string { return fmt.Sprintf("dial: %v", e.Err) }

// Unwrap returns the underlying error.
func (e *DialError) Unwrap() error { return e.Err }

// Cause classifies the failure: whether it concerns the peer or this host.
func (e *DialError) Cause() syscallerror.Cause { return syscallerror.Classify(e.Call, e.Err) }

// Dial connects to addr, with a timeout in ms. done is called once, on the loop; its error is a *DialError. nbio's own dialler is not
// used because nbio 1.6.8 uses the first four bytes of a 16-byte address as the IPv4 address, and so connects to 0.0.0.0.
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
		_ = std.Close() // nothing was sent, and the caller needs the first error
		return nil, &DialError{syscallerror.Register, err}
	}
	failpoint.Hit("eventloop.connected")
	l.engineMu.Lock()
	defer l.engineMu.Unlock()
	if l.engineStopped {
		_ = nb.Close() // nothing was sent, and the loop has ended
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

// failedCall returns which system call of net.DialTimeout failed.
func failedCall(err error) syscallerror.Call {
	var call *os.SyscallError
	if errors.As(err, &call) && (call.Syscall == "socket" || call.Syscall == "setsockopt") {
		return syscallerror.Socket
	}
	return syscallerror.Connect
}

// adopt converts a connection to the poller's type. On failure std stays open and owned by the caller.
func adopt(std net.Conn) (*nbio.Conn, error) {
	if err := failpoint.Error("eventloop.adopt"); err != nil {
		return nil, err
	}
	return nbio.NBConn(std)
}

// Adopt converts an accepted connection to the poller's type. It fails if no descriptor is available; the connection then stays open
// and owned by the caller. Adopt is safe for concurrent use.
func Adopt(std net.Conn) (net.Conn, error) {
	nb, err := adopt(std)
	if err != nil {
		return nil, err
	}
	return nb, nil
}
