package fleet

import (
	"errors"
	"net"
	"path/filepath"
	"testing"
)

// alternating returns a function that returns the first port once and the second from then on.
func alternating(first, second int) func() int {
	port := first
	return func() int {
		next := port
		port = second
		return next
	}
}

// freePorts reserves this number of ports until the end of the test.
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

// listenAndClose returns a reserved port that a process would bind later.
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

// Guards against two programs choosing the same port: both find it free before either's process has bound it. The file locks belong to the
// open file, so two portReservations in one program stand for two programs.
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

// Another program can reserve a port that was released or whose program has ended.
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
	if err := one.file.Close(); err != nil { // as at the end of the program
		t.Fatal(err)
	}
	if err := other.reserve(second); err != nil {
		t.Errorf("after the end of its program: %v", err)
	}
}

// A port in use by a program that doesn't reserve ports is skipped, and its reservation is released.
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

// The ports of a fleet stay reserved until Close.
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
	if len(fleet.ports) != 4 || len(fleet.links) < 2 { // addresses of three processes and the router's receiver; links from the router to the others
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
