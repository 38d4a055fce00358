package main

import (
	"net"
	"time"
)

// copyDelay is how far behind an answer its second copy is sent.
const copyDelay = 300 * time.Microsecond

// recorder keeps what was written since it was last emptied.
type recorder struct {
	to   net.Conn
	kept []byte
}

func (r *recorder) Write(b []byte) (int, error) {
	r.kept = append(r.kept, b...)
	return r.to.Write(b)
}

// sendCopy sends an answer up to a Flush a second time, if it is its turn and nothing else has arrived on the connection.
func (d *backend) sendCopy(conn net.Conn) {
	if !d.wasFlush {
		return
	}
	answer := d.sent.kept
	d.sent.kept, d.wasFlush = nil, false
	share := d.m.copyShare()
	if len(answer) == 0 || share == 0 {
		return
	}
	if d.flushed++; d.flushed%share != 0 {
		return
	}
	time.Sleep(copyDelay)
	if unread(conn) {
		return
	}
	d.m.b.record(d.m.name, "sends a second copy of %d bytes", len(answer))
	_, _ = conn.Write(answer)
}
