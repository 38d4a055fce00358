package discovery

import (
	"io"
	"time"
)

// The list service sends a change, or an empty line as a heartbeat, at least every 2 s. The router must learn of a change within 6 s after
// the service has it and is reachable, and within 4 s after a change of the service's address. The worst cases are:
//
//   - the connection becomes silent and the next request hangs: 2 x (heartbeatTimeout + maxJitter x minBackoff);
//   - the service recovers while a request hangs: heartbeatTimeout + maxJitter x minBackoff;
//   - requests are refused until the service recovers: maxJitter x maxBackoff;
//   - a list keeps arriving and is never completed: maxListTimeouts x heartbeatTimeout + maxJitter x minBackoff.
const (
	heartbeatTimeout = 2500 * time.Millisecond
	minBackoff       = 100 * time.Millisecond
	maxBackoff       = 200 * time.Millisecond
	maxListTimeouts  = 2 // heartbeat timeouts that a list may take while its bytes keep arriving

	minJitter = 0.5 // multiple of a backoff
	maxJitter = 1.5
)

// heartbeatTimer ends a watch that receives nothing. It guards against a connection that stays open without delivering data, at any point
// of a response, and against lists that are never completed.
type heartbeatTimer struct {
	timeout       time.Duration
	lastCompleted time.Time // when the last line or list was completed
	timer         *time.Timer
}

func newHeartbeatTimer(timeout time.Duration, expired func()) *heartbeatTimer {
	return &heartbeatTimer{timeout: timeout, lastCompleted: time.Now(), timer: time.AfterFunc(timeout, expired)}
}

// lineCompleted records that a line or list has been received in full.
func (t *heartbeatTimer) lineCompleted() {
	t.lastCompleted = time.Now()
	t.timer.Reset(t.timeout)
}

// bytesReceived records that part of a line or list has been received.
func (t *heartbeatTimer) bytesReceived() {
	listDeadline := t.lastCompleted.Add(maxListTimeouts * t.timeout)
	t.timer.Reset(min(t.timeout, time.Until(listDeadline)))
}

func (t *heartbeatTimer) stop() { t.timer.Stop() }

// timedReader notifies a heartbeatTimer when it reads bytes.
type timedReader struct {
	io.Reader
	heartbeat *heartbeatTimer
}

func (r timedReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.heartbeat.bytesReceived()
	}
	return n, err
}
