//go:build debug

package frontend

import (
	"strings"
	"testing"

	"wayloft/internal/failpoint"
	"wayloft/internal/fakes"
	"wayloft/internal/pg"
)

// Guards against a drain that lasts as long as a client always has another request outstanding: its session is never quiet, and the
// platform kills the process with requests that have no response. Here a further request arrives with each one that is read.
func TestDrain_EndsWhileRequestsKeepComing(t *testing.T) {
	const maxResponses = 5000 // many more than are served between the signal and the end
	for _, c := range []struct{ database, code string }{
		{statementDatabase, pg.TooManyConnections},
		{pooledDatabase, pg.AdminShutdown},
	} {
		t.Run(c.database, func(t *testing.T) {
			f := newTestFrontend(t, 100)
			client := fakes.NewClient(t, f.addr, false)
			client.Send(string(pg.AppendStartup(nil, "u", c.database)))
			if got := client.ReadResponse(); got != "ready" {
				t.Fatalf("startup: %q", got)
			}
			defer failpoint.SetHook("frontend.query", func() { client.SendQuery("") })()
			f.runOnLoop(func() {
				f.frontend.Drain(f.driver.Clock()-2*acceptPeriodMs, acceptPeriodMs)
				client.SendQuery("")
			})
			for range maxResponses {
				if got := client.ReadResponse(); !strings.HasSuffix(got, "ready") {
					if got != c.code+" closed" {
						t.Errorf("the session ended with %q", got)
					}
					return
				}
			}
			t.Errorf("the session goes on after %d responses", maxResponses)
		})
	}
}
