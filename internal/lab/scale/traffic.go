package scale

// traffic is the kernel's count of payload bytes and of segments with payload.
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

// endpoint is the local end of a TCP connection.
type endpoint struct {
	inode     uint32
	localPort uint16
	peerPort  uint16
}
