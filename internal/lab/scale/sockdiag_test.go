package scale

import (
	"net"
	"testing"
)

// The kernel's byte count of a connection equals the number of bytes read from it.
func TestReadTraffic_CountsBytes(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(l)
	from, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(from)
	to, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer closeQuietly(to)
	port := func(a net.Addr) uint16 { return uint16(a.(*net.TCPAddr).Port) }
	find := func(all map[endpoint]traffic) (traffic, bool) {
		for end, found := range all {
			if end.localPort == port(l.Addr()) && end.peerPort == port(from.LocalAddr()) {
				return found, true
			}
		}
		return traffic{}, false
	}
	total := 0
	for _, n := range []int{0, 1, 1000, 12345} {
		if _, err := from.Write(make([]byte, n)); err != nil {
			t.Fatal(err)
		}
		for total += n; n > 0; {
			got, err := to.Read(make([]byte, n))
			if err != nil {
				t.Fatal(err)
			}
			n -= got
		}
		all, err := readTraffic()
		if err != nil {
			t.Fatal(err)
		}
		if f, there := find(all); !there || f.bytesReceived != int64(total) || f.bytesSent != 0 {
			t.Errorf("%d bytes were received, the kernel counted %+v (found: %v)", total, f, there)
		}
	}
}
