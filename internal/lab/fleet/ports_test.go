package fleet

import (
	"errors"
	"net"
	"path/filepath"
	"testing"
)

// alternating gives the first port once and the second from then on.
func alternating(first, second int) func() int {
	port := first
	return func() int {
		next := port
		port = second
		return next
	}
}

// freePorts gives so many ports that no other test program takes until the test ends.
func freePorts(t *testing.T, count int) []int {
	t.Helper()
	ports := make([]int, count)
	for n := range ports {
		address, err := reserveAddress()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			if err := ReleasePort(address); err != nil {
				t.Error(err)
			}
		})
		ports[n] = address.Port
	}
	return ports
}

// listenAndClose gives the port that a process is to bind later.
func listenAndClose(t *testing.T, ports *portReservations, next func() int) int {
	t.Helper()
	listener, err := ports.listen(next)
	if err != nil {
		t.Fatal(err)
	}
	if err := listener.Close(); err != nil {
		t.Fatal(err)
	}
	return listener.Addr().(*net.TCPAddr).Port
}

// Two programs that find the same port free, one after the other, before either of the processes has bound it, get different ports. The
// file's locks belong to who opened it, so two reservations of one program stand for two programs.
func TestPortReservations_PortNotYetBound(t *testing.T) {
	free := freePorts(t, 3)
	first, second, third := free[0], free[1], free[2]
	path := filepath.Join(t.TempDir(), "ports")
	one, other := newPortReservations(path), newPortReservations(path)
	if port := listenAndClose(t, one, alternating(first, second)); port != first {
		t.Fatalf("the first program got %d, not %d", port, first)
	}
	if port := listenAndClose(t, other, alternating(first, second)); port != second {
		t.Errorf("the second program got %d, not %d", port, second)
	}
	if port := listenAndClose(t, one, alternating(first, third)); port != third {
		t.Errorf("the first program got %d, not %d", port, third)
	}
}

// A port that was released, or whose program has ended, can be reserved by another program.
func TestPortReservations_PortReleased(t *testing.T) {
	free := freePorts(t, 2)
	first, second := free[0], free[1]
	path := filepath.Join(t.TempDir(), "ports")
	one, other := newPortReservations(path), newPortReservations(path)
	for _, port := range []int{first, second} {
		if err := one.reserve(port); err != nil {
			t.Fatal(err)
		}
		if err := other.reserve(port); !errors.Is(err, errPortReserved) {
			t.Fatalf("reserved twice: %v", err)
		}
	}
	if err := one.release(first); err != nil {
		t.Fatal(err)
	}
	if err := other.reserve(first); err != nil {
		t.Errorf("after release: %v", err)
	}
	if err := other.reserve(second); !errors.Is(err, errPortReserved) {
		t.Errorf("the other port: %v", err)
	}
	if err := one.file.Close(); err != nil { // as the end of the program does
		t.Fatal(err)
	}
	if err := other.reserve(second); err != nil {
		t.Errorf("after the end of its program: %v", err)
	}
}

// A port on which a program listens that reserves none is passed over and not kept reserved.
func TestPortReservations_PortInUse(t *testing.T) {
	second := freePorts(t, 1)[0]
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := listener.Close(); err != nil {
			t.Error(err)
		}
	}()
	used := listener.Addr().(*net.TCPAddr).Port
	ports := newPortReservations(filepath.Join(t.TempDir(), "ports"))
	if port := listenAndClose(t, ports, alternating(used, second)); port != second {
		t.Errorf("got %d, not %d", port, second)
	}
	if err := ports.reserve(used); err != nil {
		t.Errorf("the port in use: %v", err)
	}
}

// A fleet's ports are reserved until it is closed.
func TestFleet_ReservesItsPorts(t *testing.T) {
	fleet, err := New(Options{Dir: t.TempDir(), Coordinators: 1, Routers: 1, Members: 1, Links: true})
	if err != nil {
		t.Fatal(err)
	}
	var ports []int
	for _, address := range fleet.ports {
		ports = append(ports, address.Port)
	}
	for _, link := range fleet.links {
		ports = append(ports, link.listener.Addr().(*net.TCPAddr).Port)
	}
	if len(fleet.ports) != 4 || len(fleet.links) < 2 { // processes and the router's receiver; from the router to the others
		t.Fatalf("%d addresses, %d links", len(fleet.ports), len(fleet.links))
	}
	other := newPortReservations(sharedPorts.path)
	for _, port := range ports {
		if err := other.reserve(port); !errors.Is(err, errPortReserved) {
			t.Errorf("%d can be reserved by another program: %v", port, err)
		}
	}
	fleet.Close()
	sharedPorts.mu.Lock()
	for _, port := range ports {
		if sharedPorts.reserved[port] {
			t.Errorf("%d is still reserved", port)
		}
	}
	sharedPorts.mu.Unlock()
	if err := other.file.Close(); err != nil {
		t.Error(err)
	}
}
