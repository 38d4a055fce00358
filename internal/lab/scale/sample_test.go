package scale

import "testing"

// For a connection that was already open, only the traffic during the interval counts; for a new one all of it; for a closed one none.
func TestInterval_Traffic(t *testing.T) {
	kept, opened, ended := endpoint{inode: 1, peerPort: 80}, endpoint{inode: 2, peerPort: 80}, endpoint{inode: 3, peerPort: 80}
	i := interval{
		seconds: 2,
		before: &sample{
			traffic:       map[endpoint]traffic{kept: {bytesSent: 10, bytesReceived: 20}, ended: {bytesSent: 1000}},
			endpointOwner: map[endpoint]int{kept: 7, ended: 7},
		},
		after: &sample{
			traffic:       map[endpoint]traffic{kept: {bytesSent: 15, bytesReceived: 30, segmentsSent: 2}, opened: {bytesReceived: 4, segmentsReceived: 1}},
			endpointOwner: map[endpoint]int{kept: 7, opened: 8},
		},
	}
	if f := i.trafficTo([]int{7}, []uint16{80}); f.bytes() != 15 || f.segments() != 2 {
		t.Error(f)
	}
	if f := i.totalTraffic(7, 8); f.bytes() != 19 || f.segments() != 3 {
		t.Error(f)
	}
	if f := i.trafficTo([]int{7, 8}, []uint16{81}); f.bytes() != 0 {
		t.Error(f)
	}
}
