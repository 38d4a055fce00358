package fleet

import (
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sirupsen/logrus"

	"wayloft/internal/pg"
)

const (
	maxLatencyMicros  = 60e6 // of a histogram
	latencyDigits     = 3
	clientDialTimeout = time.Second
	reconnectDelay    = 20 * time.Millisecond
	thinkTime         = 3 * time.Millisecond // between two writes, which leaves the machine to the processes
	clientBufferSize  = 1 << 14
	maxClientMessage  = 1 << 20 // bytes
)

// WriteLoad is a number of clients that each send one write after the other, each write once, and note the response.
type WriteLoad struct {
	mu         sync.Mutex
	Succeeded  []string
	Rejected   []string                // they did not take effect
	Unresolved []string                // they may have taken effect
	latencies  *hdrhistogram.Histogram // of those that succeeded, in microseconds
	stop       chan struct{}
	stopOnce   sync.Once
	writers    sync.WaitGroup
}

// NewWriteLoad starts so many writers, spread over routers.
func NewWriteLoad(routers []string, writers int) *WriteLoad {
	l := &WriteLoad{stop: make(chan struct{}), latencies: hdrhistogram.New(1, maxLatencyMicros, latencyDigits)}
	for n := range writers {
		l.writers.Go(func() { l.write(routers, n) })
	}
	return l
}

// Stop ends the writers, each after the response that it waits for.
func (l *WriteLoad) Stop() {
	l.stopOnce.Do(func() { close(l.stop) })
	l.writers.Wait()
}

// Reset forgets all responses so far, before a measurement.
func (l *WriteLoad) Reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.Succeeded, l.Rejected, l.Unresolved = nil, nil, nil
	l.latencies.Reset()
}

// WaitForWrites waits until so many more writes have succeeded.
func (l *WriteLoad) WaitForWrites(more int) error {
	wanted := l.succeeded() + more
	return WaitUntil(fmt.Sprint(more, " more writes"), func() (bool, error) { return l.succeeded() >= wanted, nil })
}

func (l *WriteLoad) succeeded() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.Succeeded)
}

// write is one writer. Each of its connections goes to the next router.
func (l *WriteLoad) write(routers []string, writer int) {
	var session *clientSession
	defer func() { session.close() }()
	for n := 0; !l.stopped(); n++ {
		if session == nil {
			var err error
			if session, err = openSession(routers[(writer+n)%len(routers)]); err != nil {
				time.Sleep(reconnectDelay)
				continue
			}
		}
		handle := fmt.Sprintf("w%d-%d", writer, n)
		started := time.Now()
		code, err := session.query(fmt.Sprintf("/* id=%s,c=write,d=15000 */ INSERT INTO rows (handle, blob) VALUES ('%s', 'x') RETURNING blob", handle, handle))
		l.note(handle, code, err, time.Since(started))
		if err != nil {
			session.close()
			session = nil
		}
		time.Sleep(thinkTime)
	}
}

func (l *WriteLoad) stopped() bool {
	select {
	case <-l.stop:
		return true
	default:
		return false
	}
}

// note notes the response to a write: an SQLSTATE, or empty for success, or an error where there was none.
func (l *WriteLoad) note(handle, code string, err error, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil && code == "":
		l.Succeeded = append(l.Succeeded, handle)
		record(l.latencies, min(took.Microseconds(), maxLatencyMicros))
	case err == nil && code == pg.TooManyConnections:
		l.Rejected = append(l.Rejected, handle)
	default:
		l.Unresolved = append(l.Unresolved, handle)
	}
}

// record records a value; one that the histogram can't hold is logged.
func record(histogram *hdrhistogram.Histogram, number int64) {
	if err := histogram.RecordValue(number); err != nil {
		logrus.WithError(err).Warn("value not recorded")
	}
}

// clientSession is a client's connection to a router.
type clientSession struct {
	connection net.Conn
	reader     *pg.Reader
}

// openSession connects to a router and waits until it accepts queries.
func openSession(address string) (*clientSession, error) {
	connection, err := net.DialTimeout("tcp", address, clientDialTimeout)
	if err != nil {
		return nil, err
	}
	s := &clientSession{connection: connection, reader: pg.NewReader(true, maxClientMessage)}
	if _, err := s.send(pg.AppendStartup(nil, "api", "ledger")); err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

// close closes a session, if there is one.
func (s *clientSession) close() {
	if s != nil {
		closeConnection(s.connection)
	}
}

// query sends a statement and gives the SQLSTATE of the response; empty: success.
func (s *clientSession) query(sql string) (code string, err error) {
	return s.send(pg.AppendQuery(nil, sql))
}

// send sends a message and reads up to the end of its response.
func (s *clientSession) send(message []byte) (code string, err error) {
	if _, err := s.connection.Write(message); err != nil {
		return "", err
	}
	if err := s.connection.SetReadDeadline(time.Now().Add(WaitLimit)); err != nil {
		return "", err
	}
	buffer := make([]byte, clientBufferSize)
	for {
		received, complete, err := s.reader.Next()
		switch {
		case err != nil:
			return "", err
		case !complete:
			count, err := s.connection.Read(buffer)
			if err != nil {
				return "", err
			}
			s.reader.Feed(buffer[:count])
		case received.Kind == pg.ErrorResponse:
			code = received.Error.Code
		case received.Kind == pg.ReadyForQuery:
			return code, nil
		}
	}
}
