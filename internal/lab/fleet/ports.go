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
	portCount    = 12000 // the range ends below the system's ephemeral ports, which outgoing connections use
	portAttempts = 1000
)

// errPortReserved means that this program or another has reserved the port.
var errPortReserved = errors.New("the port is reserved")

// portReservations reserves ports for processes that bind them later. Test programs run concurrently, and until a process binds the port
// that one of them found free, the others find it free too. So each reservation is a lock on one byte of a file that all test programs of a
// user share. The kernel drops the locks of a program that ends.
type portReservations struct {
	path string

	mu       sync.Mutex
	file     *os.File
	reserved map[int]bool // ports of this program: its own locks don't exclude each other
}

// sharedPorts are the reservations of this program.
var sharedPorts = newPortReservations(filepath.Join(os.TempDir(), fmt.Sprintf("wayloft-lab-ports-%d", os.Getuid())))

func newPortReservations(path string) *portReservations {
	return &portReservations{path: path, reserved: map[int]bool{}}
}

// portLock returns the lock of the byte that stands for a port.
func portLock(kind int16, port int) *unix.Flock_t {
	return &unix.Flock_t{Type: kind, Start: int64(port), Len: 1}
}

// reserve reserves a port until release. It fails with errPortReserved if the port is already reserved.
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
	err := unix.FcntlFlock(p.file.Fd(), unix.F_OFD_SETLK, portLock(unix.F_WRLCK, port))
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
	if err := unix.FcntlFlock(p.file.Fd(), unix.F_OFD_SETLK, portLock(unix.F_UNLCK, port)); err != nil {
		return fmt.Errorf("release port %d: %w", port, err)
	}
	return nil
}

// listen reserves a port from next and listens on it on loopback. It tries further ports from next if one is taken.
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
		failure = errors.Join(err, p.release(port)) // in use by a program that doesn't reserve ports
	}
	return nil, fmt.Errorf("no free port in %d attempts: %w", portAttempts, failure)
}

// ListenFree listens on a free loopback port that no other test program has reserved, below the system's ephemeral ports. The port stays
// reserved after the listener is closed, until ReleasePort or the end of this program.
func ListenFree() (net.Listener, error) {
	return sharedPorts.listen(func() int { return firstPort + rand.IntN(portCount) })
}

// ReleasePort ends the reservation of a listener's port. Programs that call ListenFree often need it, so as not to run out of ports.
func ReleasePort(address net.Addr) error {
	tcp, ok := address.(*net.TCPAddr)
	if !ok {
		return fmt.Errorf("release port: %v is not a TCP address", address)
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
		return nil, fmt.Errorf("%v is not a TCP address", listener.Addr())
	}
	return address, listener.Close()
}
