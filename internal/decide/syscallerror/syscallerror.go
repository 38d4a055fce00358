// Package syscallerror classifies errors of socket system calls by cause: this host, the peer, or a transient condition after
// which the call is retried. It consists of lookup tables; it must never make a system call, wait, or decide what happens to a
// request.
package syscallerror

import (
	"errors"

	"golang.org/x/sys/unix"
)

// Call is the system call that failed.
type Call int

// The system calls that a router makes on its sockets.
const (
	Accept   Call = iota
	Socket        // socket, and the socket options set before connect
	Connect       // connect, and the pending error that is read when it has completed
	Register      // registering a connected descriptor with the poller: dup, epoll_ctl
	Read
	Write
	Poll
)

// Cause is the cause of a failure.
type Cause int

// Causes of a failure.
const (
	Peer          Cause = iota // the remote end, or only the path to it
	Transient                  // neither side: the call is retried
	HostResources              // this host is out of descriptors, ports or memory
	HostNetwork                // this host has no network or no route, or a local firewall rule rejects the call
)

// RetryPauseMs is the pause in ms before retrying a call that failed for lack of resources, where no event signals that
// resources are available again. It limits the rate of failing calls.
const RetryPauseMs = 20.0

// Local reports whether the failure is caused by this host and thus says nothing about the peer.
func (c Cause) Local() bool { return c == HostResources || c == HostNetwork }

// commonCauses maps error numbers that have the same meaning for all calls without an entry in callCauses.
var commonCauses = map[unix.Errno]Cause{
	unix.EINTR:   Transient,
	unix.EAGAIN:  Transient,
	unix.EMFILE:  HostResources,
	unix.ENFILE:  HostResources,
	unix.ENOBUFS: HostResources,
	unix.ENOMEM:  HostResources,
}

// callCauses maps error numbers whose meaning is specific to a call. It takes precedence over commonCauses.
//
// connect: ENETUNREACH is attributed to this host, EHOSTUNREACH to the member. The kernel returns ENETUNREACH if the routing
// table has no entry for the address, or if a gateway reports that it has none: all members behind the lost route fail
// together, and none of them is down. If it were attributed to them, healthy members would be treated as restarted once the
// route is back: in slow start and no longer known as primaries. EHOSTUNREACH means that no host answers for the address on
// the last hop (neighbour discovery, or ICMP host unreachable): it concerns one host, which is gone. ENETDOWN means that an
// interface of this host is down; EACCES and EPERM come from a local firewall rule. EAGAIN (no free entry for a local port),
// EADDRINUSE and EADDRNOTAVAIL mean that this host lacks a free port.
//
// accept: Linux passes pending errors of the new connection to accept, and man 2 accept asks servers to treat them like EAGAIN.
// They concern a connection that failed before anything was read from it.
//
// On an established connection, every network error means that the connection is broken, as ECONNRESET does.
var callCauses = map[Call]map[unix.Errno]Cause{
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
	Poll: {unix.EAGAIN: HostResources}, // here EAGAIN reports a lack of memory, like ENOMEM
}

// defaultCauses maps each call to the cause of errors in neither of the other tables. No peer is involved in socket, in poll, or
// in registering a descriptor.
var defaultCauses = map[Call]Cause{
	Accept: HostResources, Socket: HostResources, Connect: Peer, Register: HostResources, Read: Peer, Write: Peer,
	Poll: HostResources,
}

// Classify returns the cause of an error of a call. An error that wraps no error number, such as a connect timeout, is classified
// by its call alone.
func Classify(call Call, err error) Cause {
	var number unix.Errno
	if !errors.As(err, &number) {
		return defaultCauses[call]
	}
	if cause, ok := callCauses[call][number]; ok {
		return cause
	}
	if cause, ok := commonCauses[number]; ok {
		return cause
	}
	return defaultCauses[call]
}
