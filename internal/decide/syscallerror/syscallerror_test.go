package syscallerror

import (
	"errors"
	"fmt"
	"testing"

	"golang.org/x/sys/unix"
)

func TestOf(t *testing.T) {
	for _, c := range []struct {
		call Call
		want Cause
		errs []unix.Errno
	}{
		{Accept, Transient, []unix.Errno{unix.EINTR, unix.EAGAIN, unix.ECONNABORTED, unix.EPROTO, unix.ENOPROTOOPT, unix.EHOSTDOWN,
			unix.EHOSTUNREACH, unix.ENONET, unix.ENETDOWN, unix.ENETUNREACH, unix.EOPNOTSUPP, unix.ETIMEDOUT}},
		{Accept, HostResources, []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM}},
		{Accept, HostNetwork, []unix.Errno{unix.EPERM}},
		{Socket, HostResources, []unix.Errno{unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.EACCES, unix.EAFNOSUPPORT}},
		{Connect, HostResources, []unix.Errno{unix.EADDRNOTAVAIL, unix.EADDRINUSE, unix.EAGAIN, unix.ENOBUFS, unix.ENOMEM,
			unix.EMFILE, unix.ENFILE}},
		{Connect, HostNetwork, []unix.Errno{unix.ENETUNREACH, unix.ENETDOWN, unix.EACCES, unix.EPERM}},
		{Connect, Transient, []unix.Errno{unix.EINTR}},
		{Connect, Peer, []unix.Errno{unix.ECONNREFUSED, unix.ECONNRESET, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.EHOSTDOWN}},
		{Register, HostResources, []unix.Errno{unix.EMFILE, unix.ENOMEM, unix.ENOSPC}},
		{Read, Transient, []unix.Errno{unix.EINTR, unix.EAGAIN}},
		{Read, Peer, []unix.Errno{unix.ECONNRESET, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ENETUNREACH, unix.ENETDOWN, unix.EPIPE}},
		{Read, HostResources, []unix.Errno{unix.ENOBUFS, unix.ENOMEM}},
		{Write, Transient, []unix.Errno{unix.EINTR, unix.EAGAIN}},
		{Write, Peer, []unix.Errno{unix.ECONNRESET, unix.EPIPE, unix.ETIMEDOUT, unix.EHOSTUNREACH, unix.ENETUNREACH, unix.ENETDOWN}},
		{Write, HostResources, []unix.Errno{unix.ENOBUFS, unix.ENOMEM}},
		{Poll, Transient, []unix.Errno{unix.EINTR}},
		{Poll, HostResources, []unix.Errno{unix.ENOMEM, unix.EAGAIN}},
	} {
		for _, errno := range c.errs {
			if got := Classify(c.call, fmt.Errorf("wrapped: %w", errno)); got != c.want {
				t.Errorf("call %d, %v: cause %d, want %d", c.call, errno, got, c.want)
			}
		}
	}
}

func TestOf_ErrorWithoutNumber(t *testing.T) {
	timeout := errors.New("i/o timeout")
	for call, want := range map[Call]Cause{Connect: Peer, Read: Peer, Write: Peer, Socket: HostResources, Register: HostResources} {
		if got := Classify(call, timeout); got != want {
			t.Errorf("call %d: cause %d, want %d", call, got, want)
		}
	}
}

func TestLocal(t *testing.T) {
	for cause, want := range map[Cause]bool{Peer: false, Transient: false, HostResources: true, HostNetwork: true} {
		if cause.Local() != want {
			t.Errorf("cause %d: local %v", cause, !want)
		}
	}
}
