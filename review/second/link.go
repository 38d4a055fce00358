package main

import (
	"net"
	"time"
)

// link is a network between the router and a member: what goes over it arrives later, in its order.
type link struct {
	listen net.Listener
	to     string
	delay  time.Duration
}

// newLink starts a link to an address.
func newLink(to string, delay time.Duration) (*link, error) {
	listen, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listen: listen, to: to, delay: delay}
	go func() {
		for {
			from, err := listen.Accept()
			if err != nil {
				return
			}
			go l.carry(from)
		}
	}()
	return l, nil
}

func (l *link) addr() string { return l.listen.Addr().String() }

func (l *link) close() { _ = l.listen.Close() }

func (l *link) carry(from net.Conn) {
	to, err := net.Dial("tcp", l.to)
	if err != nil {
		reset(from)
		return
	}
	go l.forward(from, to)
	l.forward(to, from)
}

type parcel struct {
	at    time.Time
	bytes []byte
}

func (l *link) forward(from, to net.Conn) {
	parcels := make(chan parcel, 1024)
	go func() {
		defer close(parcels)
		for {
			buffer := make([]byte, 16<<10)
			n, err := from.Read(buffer)
			if n > 0 {
				parcels <- parcel{time.Now(), buffer[:n]}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range parcels {
		time.Sleep(time.Until(p.at.Add(l.delay)))
		if _, err := to.Write(p.bytes); err != nil {
			break
		}
	}
	_ = from.Close()
	_ = to.Close()
}
