//go:build debug

package server

import (
	"strings"
	"testing"

	"wayloft/internal/failpoint"
	"wayloft/internal/fakes"
	"wayloft/internal/fakes/pgserver"
	"wayloft/internal/lab"
	"wayloft/internal/pg"
)

// A client sends COPY data before the member's CopyInResponse, as pgx does, and its CopyDone is read in the same batch of events as the
// CopyInResponse, after it. The queued data must still reach the member before CopyDone.
func TestPool_CopyDoneInBatchOfCopyInResponse(t *testing.T) {
	received, accept := make(chan bool, 1), make(chan bool)
	addr, _ := startPooledRouter(t, 1, lab.Pool{PerMember: 2}, func(s *pgserver.Server) {
		s.InjectFault = func(_ int, m *pg.Message) *pgserver.Fault {
			if m.Kind == pg.Query && strings.HasPrefix(m.Text, "COPY") {
				received <- true
				<-accept
			}
			return nil
		}
	})
	closing, copying := fakes.NewClient(t, addr, true), fakes.NewClient(t, addr, true)
	copying.Send(queryMessage("COPY rows (handle, blob) FROM STDIN") + string(pg.AppendCopyData(nil, "copied\tv\n")))
	<-received
	blocked, unblock := make(chan bool), make(chan bool)
	defer failpoint.SetHook("frontend.closed", func() { blocked <- true; <-unblock })()
	closeSocket(closing)
	<-blocked // the event loop waits in the failpoint
	posted := make(chan bool, 100)
	defer failpoint.SetHook("eventloop.posted", func() { posted <- true })()
	close(accept)
	<-posted // the member's CopyInResponse
	copying.Send(string(pg.AppendEmptyMessage(nil, 'c')))
	<-posted // the client's CopyDone
	failpoint.SetHook("frontend.closed", func() {})
	close(unblock)
	if got := copying.ReadResponse(); got != "ok ready" {
		t.Errorf("COPY: %q", got)
	}
	if got := askOnce(t, addr, "SELECT blob FROM rows WHERE handle = 'copied'"); got != "v ok ready" {
		t.Errorf("copied row: %q", got)
	}
}
