package eventloop

import (
	"errors"
	"net"
	"os"
	"time"

	"github.com/lesismal/nbio"

	"wayloft/internal/decide/syscallerror"
	"wayloft/internal/failpoint"
)

// DialError is the failure of a dial, and the call that failed.
type DialError struct {
	Call syscallerror.Call
	Err  error
}

func (e *DialError) Error() string { return "dial: " + e.Err.Error() }

// Unwrap gives the cause.
func (e *DialError) Unwrap() error { return e.Err }

// Cause tells whom the failure is about.
func (e *DialError) Cause() syscallerror.Cause { return syscallerror.Of(e.Call, e.Err) }

// Dial connects within so many ms; done hears of it once, and gets a *DialError where it failed. The poller's own way to dial
// is not used: nbio 1.6.8 takes the first four of sixteen bytes for an IPv4 address and connects to 0.0.0.0.
func (l *Loop) Dial(addr string, ms float64, done func(*Conn, error)) {
	go func() {
		c, err := l.dial(addr, time.Duration(ms*float64(time.Millisecond)))
		failpoint.Hit("eventloop.dialed")
		l.Post(func() { done(c, err) })
	}()
}

func (l *Loop) dial(addr string, within time.Duration) (*Conn, error) {
	std, err := connect(addr, within)
	if err != nil {
		return nil, &DialError{callOf(err), err}
	}
	nb, err := adopt(std)
	if err != nil {
		std.Close()
		return nil, &DialError{syscallerror.Register, err}
	}
	failpoint.Hit("eventloop.connected")
	l.engineMu.Lock()
	defer l.engineMu.Unlock()
	if l.engineStopped {
		nb.Close()
		return nil, &DialError{syscallerror.Register, net.ErrClosed}
	}
	c := l.attach(nb, false)
	if _, err = l.engine.AddConn(nb); err != nil {
		return nil, &DialError{syscallerror.Register, err}
	}
	return c, nil
}

func connect(addr string, within time.Duration) (net.Conn, error) {
	if err := failpoint.Error("eventloop.connect"); err != nil {
		return nil, err
	}
	return net.DialTimeout("tcp", addr, within)
}

// callOf tells which call of net's dial failed.
func callOf(err error) syscallerror.Call {
	var call *os.SyscallError
	if errors.As(err, &call) && (call.Syscall == "socket" || call.Syscall == "setsockopt") {
		return syscallerror.Socket
	}
	return syscallerror.Connect
}

// adopt makes a connection the poller's form. Where that fails, std is still the caller's.
func adopt(std net.Conn) (*nbio.Conn, error) {
	if err := failpoint.Error("eventloop.adopt"); err != nil {
		return nil, err
	}
	return nbio.NBConn(std)
}

// Adopt makes a connection that came in ready for the poller. Where that fails, which is for want of a descriptor, the
// connection is still open and its caller's.
func Adopt(std net.Conn) (net.Conn, error) {
	nb, err := adopt(std)
	if err != nil {
		return nil, err
	}
	return nb, nil
}
