package fleet

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"sync"

	"golang.org/x/sys/unix"
)

const (
	firstPort    = 20000
	portCount    = 12000 // all are below the range from which the system picks ports of outgoing connections
	portAttempts = 1000
)

// errPortReserved means that a port is reserved, by this process or by another.
var errPortReserved = errors.New("the port is reserved")

// portReservations reserves ports for processes that bind them later. Test programs run beside each other, and a port that was free for
// one of them is free for all until the process that it is meant for has bound it; so each reservation is a lock on one byte of a file
// that all test programs of a user open. The system drops the locks of a program that ends.
type portReservations struct {
	path string

	mu       sync.Mutex
	file     *os.File
	reserved map[int]bool // those of this program, whose locks don't exclude each other
}

// sharedPorts are the reservations of this program.
var sharedPorts = newPortReservations(filepath.Join(os.TempDir(), fmt.Sprintf("wayloft-lab-ports-%d", os.Getuid())))

func newPortReservations(path string) *portReservations {
	return &portReservations{path: path, reserved: map[int]bool{}}
}

// lockRange is the byte of the file that stands for a port.
func lockRange(kind int16, port int) *unix.Flock_t {
	return &unix.Flock_t{Type: kind, Start: int64(port), Len: 1}
}

// reserve reserves a port until release, or fails with errPortReserved.
func (p *portReservations) reserve(port int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reserved[port] {
		return errPortReserved
	}
	if p.file == nil {
		file, err := os.OpenFile(p.path, os.O_CREATE|os.O_RDWR, 0o600)
		if err != nil {
			return fmt.Errorf("reserve port %d: %w", port, err)
		}
		p.file = file
	}
	err := unix.FcntlFlock(p.file.Fd(), unix.F_OFD_SETLK, lockRange(unix.F_WRLCK, port))
	if errors.Is(err, unix.EAGAIN) || errors.Is(err, unix.EACCES) {
		return errPortReserved
	}
	if err != nil {
		return fmt.Errorf("reserve port %d: %w", port, err)
	}
	p.reserved[port] = true
	return nil
}

// release ends the reservation of a port.
func (p *portReservations) release(port int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.reserved[port] {
		return nil
	}
	delete(p.reserved, port)
	if err := unix.FcntlFlock(p.file.Fd(), unix.F_OFD_SETLK, lockRange(unix.F_UNLCK, port)); err != nil {
		return fmt.Errorf("release port %d: %w", port, err)
	}
	return nil
}

// listen reserves one of the ports that next gives and listens on it on loopback.
func (p *portReservations) listen(next func() int) (net.Listener, error) {
	var failure error
	for range portAttempts {
		port := next()
		if err := p.reserve(port); err != nil {
			if !errors.Is(err, errPortReserved) {
				return nil, err
			}
			failure = err
			continue
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			return listener, nil
		}
		failure = errors.Join(err, p.release(port)) // a program that reserves no ports listens on it
	}
	return nil, fmt.Errorf("no free port in %d attempts: %w", portAttempts, failure)
}

// ListenFree listens on a port of loopback that is free and that no other test program has reserved, below the range from which the system
// picks ports by itself. The port stays reserved after the listener is closed, until this program ends or ReleasePort.
func ListenFree() (net.Listener, error) {
	return sharedPorts.listen(func() int { return firstPort + rand.IntN(portCount) })
}

// ReleasePort ends the reservation of a listener's address, for programs that call ListenFree very often.
func ReleasePort(address net.Addr) error {
	tcp, ok := address.(*net.TCPAddr)
	if !ok {
		return fmt.Errorf("release port: %v is no TCP address", address)
	}
	return sharedPorts.release(tcp.Port)
}

// reserveAddress reserves a free address for a process that binds it later.
func reserveAddress() (*net.TCPAddr, error) {
	listener, err := ListenFree()
	if err != nil {
		return nil, err
	}
	address, ok := listener.Addr().(*net.TCPAddr)
	if !ok {
		return nil, fmt.Errorf("%v is no TCP address", listener.Addr())
	}
	return address, listener.Close()
}
