package server

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/sirupsen/logrus"

	"wayloft/internal/fakes"
)

// logRecorder is a logrus hook that keeps the fields of each log line by its message.
type logRecorder struct {
	mu     sync.Mutex
	fields map[string]logrus.Fields
}

// Levels implements logrus.Hook.
func (r *logRecorder) Levels() []logrus.Level { return logrus.AllLevels }

// Fire implements logrus.Hook.
func (r *logRecorder) Fire(entry *logrus.Entry) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fields[entry.Message] = maps.Clone(entry.Data)
	return nil
}

// The log lines at a router's start and end have the fields that operators' alerts match on.
func TestStatus_Fields(t *testing.T) {
	recorder := &logRecorder{fields: map[string]logrus.Fields{}}
	logger := logrus.StandardLogger()
	previous := logger.ReplaceHooks(logrus.LevelHooks{})
	t.Cleanup(func() { logger.ReplaceHooks(previous) })
	logger.AddHook(recorder)

	addr, signals, ended := startRouter(t, "127.0.0.1:1", 256, newPrimary(t).Addr)
	client := fakes.NewClient(t, addr, true)
	client.SendQuery("SELECT 1")
	if got := client.ReadResponse(); got != "08P01 ready" {
		t.Fatalf("statement without a comment: %q", got)
	}
	closeSocket(client)
	signals <- syscall.SIGTERM
	if err := <-ended; err != nil {
		t.Fatal(err)
	}

	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	for message, want := range map[string]string{
		"serving":  "listen members name revision",
		"draining": "signal",
		"stopped": "active_sessions held_bytes held_limit idle_transactions_closed member_connections member_protocol_errors no_connection " +
			"over_budget protocol_errors queue_timeouts queued rejected_requests rejected_sessions sessions slow_readers_closed timed_out_sessions",
	} {
		if got := strings.Join(slices.Sorted(maps.Keys(recorder.fields[message])), " "); got != want {
			t.Errorf("%s has the fields %q, want %q", message, got, want)
		}
	}
	if got := recorder.fields["stopped"]["protocol_errors"]; got != 1 {
		t.Errorf("protocol_errors: %v, want 1", got)
	}
}
