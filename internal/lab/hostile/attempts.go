package hostile

import (
	"strings"
	"sync"
	"time"

	"wayloft/internal/fakes/pgserver"
	"wayloft/internal/pg"
)

// sendAfterGone is how long after its client has closed an attempt may still begin.
const sendAfterGone = 100 * time.Millisecond

// trackedPrefix begins the ids of the orders whose attempts are recorded.
const trackedPrefix = "tracked-"

// attemptLog records when members received which orders of hostile clients, and when their clients left.
type attemptLog struct {
	mu        sync.Mutex
	received  map[string]int       // attempts by id
	left      map[string]time.Time // when the client of an id closed its connection
	afterGone int                  // attempts that began too late after that
}

func newAttemptLog() *attemptLog {
	return &attemptLog{received: map[string]int{}, left: map[string]time.Time{}}
}

// receive records a message that a member received. It injects no fault.
func (l *attemptLog) receive(_ int, m *pg.Message) *pgserver.Fault {
	_, rest, tracked := strings.Cut(m.Text, "id="+trackedPrefix)
	if !tracked {
		return nil
	}
	id, _, _ := strings.Cut(rest, ",")
	l.mu.Lock()
	defer l.mu.Unlock()
	l.received[id]++
	if left, known := l.left[id]; known && time.Since(left) > sendAfterGone {
		l.afterGone++
	}
	return nil
}

// clientLeft records that the client of these ids has closed its connection.
func (l *attemptLog) clientLeft(ids ...string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, id := range ids {
		if _, known := l.left[id]; !known {
			l.left[id] = time.Now()
		}
	}
}

// repeated returns the number of ids that members received more than once.
func (l *attemptLog) repeated() (count int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, attempts := range l.received {
		if attempts > 1 {
			count++
		}
	}
	return count
}

// tooLate returns the number of attempts that began too late after their client had left.
func (l *attemptLog) tooLate() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.afterGone
}
