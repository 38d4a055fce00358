package scale

// traffic is what went over connections: payload bytes, and segments that had any, by the kernel's count.
type traffic struct{ bytesSent, bytesReceived, segmentsSent, segmentsReceived int64 }

func (t traffic) plus(other traffic) traffic {
	return traffic{
		t.bytesSent + other.bytesSent,
		t.bytesReceived + other.bytesReceived,
		t.segmentsSent + other.segmentsSent,
		t.segmentsReceived + other.segmentsReceived,
	}
}

func (t traffic) minus(other traffic) traffic {
	return traffic{
		t.bytesSent - other.bytesSent,
		t.bytesReceived - other.bytesReceived,
		t.segmentsSent - other.segmentsSent,
		t.segmentsReceived - other.segmentsReceived,
	}
}

func (t traffic) bytes() int64    { return t.bytesSent + t.bytesReceived }
func (t traffic) segments() int64 { return t.segmentsSent + t.segmentsReceived }

// endpoint is one end of a connection.
type endpoint struct {
	inode     uint32
	localPort uint16
	peerPort  uint16
}
