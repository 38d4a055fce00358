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

// The kernel's interface for socket statistics, sock_diag(7). Names are the kernel's.
const (
	sockDiagByFamily = 20
	inetDiagInfo     = 2

	sizeNlmsghdr      = 16
	sizeInetDiagReqV2 = 56
	sizeInetDiagMsg   = 72
	sizeRtattr        = 4

	// Fields of inet_diag_req_v2, inet_diag_msg and tcp_info.
	offsetIdiagStates   = 4
	offsetIdiagSport    = 4
	offsetIdiagDport    = 6
	offsetIdiagInode    = 68
	offsetBytesAcked    = 120
	offsetBytesReceived = 128
	offsetDataSegsIn    = 152
	offsetDataSegsOut   = 156
	minTCPInfo          = 160

	receiveBufferBytes = 1 << 20
)

// connectedStates is the bit mask of the TCP states to report: ESTABLISHED, FIN_WAIT1, FIN_WAIT2 and CLOSE_WAIT.
const connectedStates = 1<<1 | 1<<4 | 1<<5 | 1<<8

var errMalformedResponse = errors.New("sock_diag: malformed response")

// readTraffic returns the traffic of all IPv4 TCP connections of this machine, for each local endpoint.
func readTraffic() (map[endpoint]traffic, error) {
	fd, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_RAW|unix.SOCK_CLOEXEC, unix.NETLINK_SOCK_DIAG)
	if err != nil {
		return nil, fmt.Errorf("sock_diag: %w", err)
	}
	defer func() { _ = unix.Close(fd) }() // nothing is lost on error: all responses were read
	if err := unix.Sendto(fd, trafficRequest(), 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return nil, fmt.Errorf("sock_diag: %w", err)
	}
	all := map[endpoint]traffic{}
	buffer := make([]byte, receiveBufferBytes)
	for {
		n, _, err := unix.Recvfrom(fd, buffer, 0)
		if errors.Is(err, unix.EINTR) {
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("sock_diag: %w", err)
		}
		if done, err := addMessages(all, buffer[:n]); done || err != nil {
			return all, err
		}
	}
}

func trafficRequest() []byte {
	request := make([]byte, sizeNlmsghdr+sizeInetDiagReqV2)
	binary.NativeEndian.PutUint32(request[0:], uint32(len(request)))
	binary.NativeEndian.PutUint16(request[4:], sockDiagByFamily)
	binary.NativeEndian.PutUint16(request[6:], unix.NLM_F_REQUEST|unix.NLM_F_DUMP)
	body := request[sizeNlmsghdr:]
	body[0], body[1], body[2] = unix.AF_INET, unix.IPPROTO_TCP, 1<<(inetDiagInfo-1)
	binary.NativeEndian.PutUint32(body[offsetIdiagStates:], connectedStates)
	return request
}

// addMessages decodes netlink messages and adds their connections. done reports whether the dump is complete.
func addMessages(all map[endpoint]traffic, messages []byte) (done bool, err error) {
	for len(messages) >= sizeNlmsghdr {
		size, kind := int(binary.NativeEndian.Uint32(messages)), binary.NativeEndian.Uint16(messages[4:])
		if size < sizeNlmsghdr || size > len(messages) {
			return false, errMalformedResponse
		}
		body := messages[sizeNlmsghdr:size]
		switch {
		case kind == unix.NLMSG_DONE:
			return true, nil
		case kind == unix.NLMSG_ERROR:
			return false, errors.New("sock_diag: the kernel returned an error")
		case kind == sockDiagByFamily && len(body) >= sizeInetDiagMsg:
			addConnection(all, body)
		}
		messages = messages[min(len(messages), alignedLength(size)):]
	}
	return false, nil
}

// addConnection adds the connection of an inet_diag_msg if its attributes have a tcp_info.
func addConnection(all map[endpoint]traffic, body []byte) {
	end := endpoint{
		inode:     binary.NativeEndian.Uint32(body[offsetIdiagInode:]),
		localPort: binary.BigEndian.Uint16(body[offsetIdiagSport:]),
		peerPort:  binary.BigEndian.Uint16(body[offsetIdiagDport:]),
	}
	for attributes := body[sizeInetDiagMsg:]; len(attributes) >= sizeRtattr; {
		length, kind := int(binary.NativeEndian.Uint16(attributes)), binary.NativeEndian.Uint16(attributes[2:])
		if length < sizeRtattr || length > len(attributes) {
			return
		}
		if info := attributes[sizeRtattr:length]; kind == inetDiagInfo && len(info) >= minTCPInfo {
			all[end] = decodeTCPInfo(info)
		}
		attributes = attributes[min(len(attributes), alignedLength(length)):]
	}
}

func decodeTCPInfo(info []byte) traffic {
	return traffic{
		bytesSent:        int64(binary.NativeEndian.Uint64(info[offsetBytesAcked:])),
		bytesReceived:    int64(binary.NativeEndian.Uint64(info[offsetBytesReceived:])),
		segmentsSent:     int64(binary.NativeEndian.Uint32(info[offsetDataSegsOut:])),
		segmentsReceived: int64(binary.NativeEndian.Uint32(info[offsetDataSegsIn:])),
	}
}

// alignedLength returns the length of a netlink message or attribute with padding.
func alignedLength(length int) int { return (length + 3) &^ 3 }

// socketOwners returns which of the processes has a socket open, by the socket's inode.
func socketOwners(pids []int) map[uint32]int {
	owners := map[uint32]int{}
	for _, pid := range pids {
		directory := fmt.Sprintf("/proc/%d/fd", pid)
		descriptors, err := os.ReadDir(directory)
		if err != nil {
			continue // the process has exited
		}
		for _, descriptor := range descriptors {
			target, err := os.Readlink(directory + "/" + descriptor.Name())
			if err != nil {
				continue // the descriptor was closed
			}
			if inode, ok := socketInode(target); ok {
				owners[inode] = pid
			}
		}
	}
	return owners
}

// socketInode returns the inode in the link target of a descriptor, and whether it is a socket.
func socketInode(target string) (uint32, bool) {
	text, isSocket := strings.CutPrefix(target, "socket:[")
	if !isSocket {
		return 0, false
	}
	inode, err := strconv.ParseUint(strings.TrimSuffix(text, "]"), 10, 32)
	return uint32(inode), err == nil
}
