// Package syscallerror classifies the errors of socket system calls: whether a failure is about this host, about the peer, or
// about neither, so that the call is made again. It is a table without I/O; it must never make a system call, wait, or
// decide what becomes of a request.
package syscallerror

import (
	"errors"

	"golang.org/x/sys/unix"
)

// Call is the system call that failed.
type Call int

// The calls that a router makes on its sockets.
const (
	Accept   Call = iota
	Socket        // socket and the options that are set on it before connect
	Connect       // connect, and the pending error that is read once it has ended
	Register      // what hands a connected descriptor to the poller: dup, epoll_ctl
	Read
	Write
	Poll
)

// Cause tells whom a failure is about.
type Cause int

// The causes of a failure.
const (
	Peer          Cause = iota // the other end, or the path to it alone
	Transient                  // nobody: the call is made again
	HostResources              // this host has run out of descriptors, ports or memory
	HostNetwork                // this host has no network, no route, or a rule of its own forbids it
)

// RetryPauseMs is the pause in ms before a call is made again that failed for want of resources, where nothing tells when
// there are some: it bounds the rate of calls that are bound to fail.
const RetryPauseMs = 20.0

// Local tells that a failure is about this host, and says nothing of the peer.
func (c Cause) Local() bool { return c == HostResources || c == HostNetwork }

// everywhere holds what an error number means whichever call it comes from.
var everywhere = map[unix.Errno]Cause{
	unix.EINTR:   Transient,
	unix.EAGAIN:  Transient,
	unix.EMFILE:  HostResources,
	unix.ENFILE:  HostResources,
	unix.ENOBUFS: HostResources,
	unix.ENOMEM:  HostResources,
}

// byCall holds what an error number means for one call, where that differs.
//
// A failed connect: ENETUNREACH counts for this host, EHOSTUNREACH for the member. The kernel answers ENETUNREACH where the
// routing table has no entry that leads to the address, and where a gateway says that it has none: the members behind the
// lost route fail together, and none of them is down. Were it counted against them, the end of a lost route would find
// healthy members treated as restarted, in slow start and no longer known as primaries. EHOSTUNREACH follows from an
// address that nobody answers for on the last hop (neighbour discovery, or ICMP host unreachable): it names one host, which
// is gone. ENETDOWN is an interface of this host's; EACCES and EPERM a local firewall rule. EAGAIN (no free entry for a
// local port), EADDRINUSE and EADDRNOTAVAIL are this host's ports.
//
// A failed accept: Linux hands pending errors of the new connection to accept, which man 2 accept has servers treat like
// EAGAIN. They are about a connection that is gone before anything of it was read.
//
// On an established connection each network error means that it is broken, as ECONNRESET does.
var byCall = map[Call]map[unix.Errno]Cause{
	Connect: {
		unix.EAGAIN:        HostResources,
		unix.EADDRINUSE:    HostResources,
		unix.EADDRNOTAVAIL: HostResources,
		unix.ENETUNREACH:   HostNetwork,
		unix.ENETDOWN:      HostNetwork,
		unix.EACCES:        HostNetwork,
		unix.EPERM:         HostNetwork,
	},
	Accept: {
		unix.ECONNABORTED: Transient,
		unix.EPROTO:       Transient,
		unix.ENOPROTOOPT:  Transient,
		unix.EOPNOTSUPP:   Transient,
		unix.EHOSTDOWN:    Transient,
		unix.EHOSTUNREACH: Transient,
		unix.ENONET:       Transient,
		unix.ENETDOWN:     Transient,
		unix.ENETUNREACH:  Transient,
		unix.ETIMEDOUT:    Transient,
		unix.ECONNRESET:   Transient,
		unix.EPERM:        HostNetwork,
	},
	Poll: {unix.EAGAIN: HostResources}, // it is ENOMEM by another name
}

// otherwise is what an error means that no table names. No peer takes part in socket, in poll, or in registering a
// descriptor.
var otherwise = map[Call]Cause{
	Accept: HostResources, Socket: HostResources, Connect: Peer, Register: HostResources, Read: Peer, Write: Peer,
	Poll: HostResources,
}

// Of tells whom the error of a call is about. An error that holds no error number, such as a connect's time-out, is judged
// by its call alone.
func Of(call Call, err error) Cause {
	var number unix.Errno
	if !errors.As(err, &number) {
		return otherwise[call]
	}
	if cause, ok := byCall[call][number]; ok {
		return cause
	}
	if cause, ok := everywhere[number]; ok {
		return cause
	}
	return otherwise[call]
}
