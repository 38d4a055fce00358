package scale

import (
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"

	"golang.org/x/sys/unix"
)

// flow is what went over connections: payload bytes, and segments that held any, by the kernel's own count (tcp_info, RFC 4898).
type flow struct{ out, in, segmentsOut, segmentsIn int64 }

func (f flow) plus(o flow) flow {
	return flow{f.out + o.out, f.in + o.in, f.segmentsOut + o.segmentsOut, f.segmentsIn + o.segmentsIn}
}

func (f flow) minus(o flow) flow {
	return flow{f.out - o.out, f.in - o.in, f.segmentsOut - o.segmentsOut, f.segmentsIn - o.segmentsIn}
}

func (f flow) bytes() int64    { return f.out + f.in }
func (f flow) segments() int64 { return f.segmentsOut + f.segmentsIn }

// end is one end of a connection.
type end struct {
	inode uint32
	local uint16
	peer  uint16
}

// sockets reads the flows of all TCP connections over IPv4 of this machine, from the end's own view.
func sockets() (map[end]flow, error) {
	fd, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_RAW|unix.SOCK_CLOEXEC, unix.NETLINK_SOCK_DIAG)
	if err != nil {
		return nil, fmt.Errorf("sock_diag: %w", err)
	}
	defer unix.Close(fd)
	const (
		byFamily  = 20                        // SOCK_DIAG_BY_FAMILY
		info      = 2                         // INET_DIAG_INFO
		headLen   = 16                        // nlmsghdr
		askLen    = 56                        // inet_diag_req_v2
		toldLen   = 72                        // inet_diag_msg
		conns     = 1<<1 | 1<<4 | 1<<5 | 1<<8 // ESTABLISHED, both FIN_WAITs, CLOSE_WAIT
		firstByte = 120                       // of tcpi_bytes_acked
	)
	ask := make([]byte, headLen+askLen)
	le := binary.NativeEndian
	le.PutUint32(ask[0:], uint32(len(ask)))
	le.PutUint16(ask[4:], byFamily)
	le.PutUint16(ask[6:], unix.NLM_F_REQUEST|unix.NLM_F_DUMP)
	ask[headLen], ask[headLen+1], ask[headLen+2] = unix.AF_INET, unix.IPPROTO_TCP, 1<<(info-1)
	le.PutUint32(ask[headLen+4:], conns)
	if err := unix.Sendto(fd, ask, 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return nil, fmt.Errorf("sock_diag: %w", err)
	}
	all := map[end]flow{}
	buf := make([]byte, 1<<20)
	for {
		n, _, err := unix.Recvfrom(fd, buf, 0)
		if errors.Is(err, unix.EINTR) {
			continue
		} else if err != nil {
			return nil, fmt.Errorf("sock_diag: %w", err)
		}
		for b := buf[:n]; len(b) >= headLen; {
			size, kind := int(le.Uint32(b)), le.Uint16(b[4:])
			if size < headLen || size > len(b) {
				return nil, errors.New("sock_diag: an answer of unsound size")
			}
			switch body := b[headLen:size]; {
			case kind == unix.NLMSG_DONE:
				return all, nil
			case kind == unix.NLMSG_ERROR:
				return nil, errors.New("sock_diag: refused")
			case kind == byFamily && len(body) >= toldLen:
				e := end{inode: le.Uint32(body[68:]), local: binary.BigEndian.Uint16(body[4:]), peer: binary.BigEndian.Uint16(body[6:])}
				for a := body[toldLen:]; len(a) >= 4; {
					length, what := int(le.Uint16(a)), le.Uint16(a[2:])
					if length < 4 || length > len(a) {
						break
					}
					if t := a[4:length]; what == info && len(t) >= firstByte+40 {
						at := func(off int) int64 { return int64(le.Uint64(t[off:])) }
						all[e] = flow{out: at(firstByte), in: at(firstByte + 8), segmentsIn: int64(le.Uint32(t[152:])), segmentsOut: int64(le.Uint32(t[156:]))}
					}
					a = a[min(len(a), (length+3)&^3):]
				}
			}
			b = b[min(len(b), (size+3)&^3):]
		}
	}
}

// owners tells which of some processes has a socket, by its inode.
func owners(pids []int) map[uint32]int {
	all := map[uint32]int{}
	for _, pid := range pids {
		dir := fmt.Sprintf("/proc/%d/fd", pid)
		entries, err := os.ReadDir(dir)
		if err != nil {
			continue // it has ended
		}
		for _, e := range entries {
			to, err := os.Readlink(dir + "/" + e.Name())
			if err != nil {
				continue
			}
			if text, is := strings.CutPrefix(to, "socket:["); is {
				if n, err := strconv.ParseUint(strings.TrimSuffix(text, "]"), 10, 32); err == nil {
					all[uint32(n)] = pid
				}
			}
		}
	}
	return all
}
