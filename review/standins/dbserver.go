package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// dbServer listens for connections to the database, as its primary or as a replica.
type dbServer struct {
	db       *database
	name     string
	role     string
	listener net.Listener
	count    atomic.Int64

	delay time.Duration // that the network takes in each direction
	work  time.Duration // that a statement on rows takes
	// secondCopy, where it is set, tells whether a second copy follows an answer.
	secondCopy func() bool
	copies     atomic.Int64 // second copies that were sent
}

func (d *dbServer) listen() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.listener = listener
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go d.serve(newLink(conn, d.delay))
		}
	}()
	return nil
}

func (d *dbServer) addr() string { return d.listener.Addr().String() }

func (d *dbServer) serve(conn *link) {
	defer func() { _ = conn.Close() }() // the other end sees it in any case
	in := bufio.NewReader(conn)
	if !d.logIn(conn, in) {
		return
	}
	s := newDBSession(d.db, fmt.Sprintf("%s connection %d", d.name, d.count.Add(1)), d.role)
	defer s.end()
	for {
		m, err := readMessage(in)
		if err != nil || !s.handle(m) {
			return
		}
		if m.kind != 'Q' && m.kind != 'S' && m.kind != 'H' {
			continue
		}
		onRows := m.kind == 'Q' && strings.Contains(string(m.body), "rows")
		if onRows {
			time.Sleep(d.work)
		}
		if err := conn.send(s.out); err != nil {
			return
		}
		if onRows && d.secondCopy != nil && d.secondCopy() {
			d.writeCopy(conn, in, s.out)
		}
		s.out = nil
	}
}

// The time between an answer and its second copy. It varies as the network's times do.
const (
	leastCopyGap  = 50 * time.Microsecond
	copyGapSpread = 250 * time.Microsecond
)

// writeCopy writes a second copy of an answer right behind it, where nothing else is waiting on the connection.
func (d *dbServer) writeCopy(conn *link, in *bufio.Reader, answer []byte) {
	time.Sleep(leastCopyGap + rand.N(copyGapSpread))
	if in.Buffered() > 0 || conn.waiting() {
		return
	}
	d.copies.Add(1)
	_ = conn.send(answer) // the next read finds the end
}

func (d *dbServer) logIn(conn *link, in *bufio.Reader) bool {
	code, err := readStartup(in)
	for err == nil && (code == sslRequestCode || code == gssRequestCode) {
		if err = conn.send([]byte{'N'}); err == nil {
			code, err = readStartup(in)
		}
	}
	if err != nil || code != protocolVersion3 {
		return false
	}
	out := appendMessage(nil, 'R', []byte{0, 0, 0, 0})
	for _, p := range [][2]string{{"server_version", "16.0"}, {"server_encoding", "UTF8"}, {"client_encoding", "UTF8"},
		{"standard_conforming_strings", "on"}, {"integer_datetimes", "on"}, {"DateStyle", "ISO, MDY"}, {"TimeZone", "UTC"}} {
		out = appendParameter(out, p[0], p[1])
	}
	out = appendMessage(out, 'K', []byte{0, 0, 0, 1, 0, 0, 0, byte(d.count.Load())})
	return conn.send(appendReady(out, statusIdle)) == nil
}
