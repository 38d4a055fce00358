package discovery

import (
	"io"
	"time"
)

// The list service sends a change, or an empty line as a heartbeat, at least every 2 s. A change must be known here within 6 s of the
// time at which the service has it and can be reached, and within 4 s of a change of address. The longest times are:
//
//   - the connection goes silent, and the next request hangs: 2 x (heartbeatTimeout + maxJitter x minBackoff);
//   - the service comes back while a request hangs: heartbeatTimeout + maxJitter x minBackoff;
//   - requests are refused until the service comes back: maxJitter x maxBackoff;
//   - a list goes on coming and never ends: maxListTimeouts x heartbeatTimeout + maxJitter x minBackoff.
const (
	heartbeatTimeout = 2500 * time.Millisecond
	minBackoff       = 100 * time.Millisecond
	maxBackoff       = 200 * time.Millisecond
	maxListTimeouts  = 2 // heartbeat timeouts that one list may take while its bytes keep coming

	minJitter = 0.5 // of a backoff
	maxJitter = 1.5
)

// heartbeatTimer ends a watch on which nothing is received. It guards against a connection that stays open without a byte, wherever
// in a response, and against lists that never end.
type heartbeatTimer struct {
	timeout       time.Duration
	lastCompleted time.Time // when the last line or list was complete
	timer         *time.Timer
}

func newHeartbeatTimer(timeout time.Duration, expired func()) *heartbeatTimer {
	return &heartbeatTimer{timeout: timeout, lastCompleted: time.Now(), timer: time.AfterFunc(timeout, expired)}
}

// lineCompleted says that a line or list has been received.
func (t *heartbeatTimer) lineCompleted() {
	t.lastCompleted = time.Now()
	t.timer.Reset(t.timeout)
}

// bytesReceived says that part of a line or list has been received.
func (t *heartbeatTimer) bytesReceived() {
	listDeadline := t.lastCompleted.Add(maxListTimeouts * t.timeout)
	t.timer.Reset(min(t.timeout, time.Until(listDeadline)))
}

func (t *heartbeatTimer) stop() { t.timer.Stop() }

// timedReader notifies a heartbeatTimer of the bytes that it reads.
type timedReader struct {
	io.Reader
	heartbeat *heartbeatTimer
}

func (r timedReader) Read(into []byte) (int, error) {
	n, err := r.Reader.Read(into)
	if n > 0 {
		r.heartbeat.bytesReceived()
	}
	return n, err
}
