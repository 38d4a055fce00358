package main

import (
	"net"

	"golang.org/x/sys/unix"
)

// unread reports whether something has arrived on a connection that was not read.
func unread(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	ready := false
	_ = raw.Control(func(fd uintptr) {
		events := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(events, 0)
		ready = err == nil && n > 0
	})
	return ready
}
