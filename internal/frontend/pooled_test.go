package frontend

import (
	"testing"

	"wayloft/internal/pg"
	"wayloft/router"
)

var pooledStateNames = map[pooledState]string{
	unitNone:          "unitNone",
	unitDiscarding:    "unitDiscarding",
	unitFlushed:       "unitFlushed",
	unitFlushedFailed: "unitFlushedFailed",
	unitAwaitingReady: "unitAwaitingReady",
	pooledEnded:       "pooledEnded",
}

// pooledStep is an event of a pooled session and the expected state after it.
type pooledStep struct {
	event string
	run   func(p *pooledSession)
	want  pooledState
}

func clientSends(event string, encoded []byte, want pooledState) pooledStep {
	return pooledStep{"client sends " + event, func(p *pooledSession) { p.session.Data(encoded) }, want}
}

func memberSends(event string, m pg.Message, want pooledState) pooledStep {
	return pooledStep{"member sends " + event, func(p *pooledSession) { p.DeliverMessages([]pg.Message{m}) }, want}
}

// Checks each state transition in the table of pooledSession.
func TestPooledSession_States(t *testing.T) {
	query := func(want pooledState) pooledStep { return clientSends("Query", pg.AppendQuery(nil, "SELECT 1"), want) }
	parse := func(want pooledState) pooledStep {
		return clientSends("Parse", pg.AppendParse(nil, "", []byte("SELECT 1\x00\x00\x00")), want)
	}
	flush := func(want pooledState) pooledStep { return clientSends("Flush", pg.AppendEmptyMessage(nil, 'H'), want) }
	sync := func(want pooledState) pooledStep { return clientSends("Sync", pg.AppendSync(nil), want) }
	memberFails := func(want pooledState) pooledStep {
		return memberSends("ErrorResponse", pg.Message{Kind: pg.ErrorResponse}, want)
	}
	ready := func(want pooledState) pooledStep {
		return memberSends("ReadyForQuery", pg.Message{Kind: pg.ReadyForQuery, Status: 'T'}, want)
	}
	requestFails := func(want pooledState) pooledStep {
		return pooledStep{"the request is cancelled", func(p *pooledSession) { p.session.frontend.cancel(p.cancelKey) }, want}
	}
	terminate := clientSends("Terminate", pg.AppendEmptyMessage(nil, 'X'), pooledEnded)

	for name, steps := range map[string][]pooledStep{
		"query":                {query(unitAwaitingReady), ready(unitNone)},
		"extended query":       {parse(unitNone), sync(unitAwaitingReady), ready(unitNone)},
		"query behind a query": {query(unitAwaitingReady), query(unitAwaitingReady), ready(unitAwaitingReady), ready(unitNone)},
		"query fails":          {query(unitAwaitingReady), memberFails(unitAwaitingReady), ready(unitNone)},
		"flush":                {parse(unitNone), flush(unitFlushed), parse(unitFlushed), flush(unitFlushed), sync(unitAwaitingReady), ready(unitNone)},
		"query behind a flush": {parse(unitNone), flush(unitFlushed), query(unitAwaitingReady), ready(unitNone)},
		"flushed part fails": {parse(unitNone), flush(unitFlushed), memberFails(unitFlushedFailed), parse(unitFlushedFailed),
			flush(unitFlushedFailed), query(unitFlushedFailed), sync(unitAwaitingReady), ready(unitNone)},
		"cancelled when flushed": {parse(unitNone), flush(unitFlushed), requestFails(unitDiscarding), parse(unitDiscarding),
			query(unitDiscarding), sync(unitNone)},
		"cancelled after error":  {parse(unitNone), flush(unitFlushed), memberFails(unitFlushedFailed), requestFails(unitDiscarding), sync(unitNone)},
		"cancelled query":        {query(unitAwaitingReady), requestFails(unitNone)},
		"ended":                  {terminate},
		"ended when flushed":     {parse(unitNone), flush(unitFlushed), terminate},
		"ended in a transaction": {query(unitAwaitingReady), ready(unitNone), terminate},
	} {
		t.Run(name, func(t *testing.T) { runPooledSteps(t, steps) })
	}
}

func runPooledSteps(t *testing.T, steps []pooledStep) {
	t.Helper()
	classes := map[string]*router.RequestClass{"read": {LatencyObjective: 60000, Deadline: 60000, PriorityWeight: 1, LateWeightShare: 1}}
	settings := &router.Settings{Routers: 1, MaxAttempts: 6, CanHealthCheck: true, RequestClasses: classes}
	f := startTestFrontend(t, 10, settings, classes, noBackend{})
	f.stopAtEnd()
	f.dial(pooledDatabase, false)
	var p *pooledSession
	f.runOnLoop(func() { p = f.onlySession().pooled })
	for _, step := range steps {
		checked := make(chan struct{})
		f.driver.Post(func() {
			step.run(p)
			f.driver.Defer(func() { // after the queued messages, whose handling is deferred too
				checkPooledState(t, p, step)
				close(checked)
			})
		})
		<-checked
	}
}

// checkPooledState checks the state after a step and the invariants of the fields.
func checkPooledState(t *testing.T, p *pooledSession, step pooledStep) {
	t.Helper()
	if p.state != step.want {
		t.Errorf("%s: state %s, want %s", step.event, pooledStateNames[p.state], pooledStateNames[step.want])
	}
	if p.unitAtMember() && p.request == nil {
		t.Errorf("%s: a unit is at a member, but no request is set", step.event)
	}
	if p.copying && !p.unitAtMember() {
		t.Errorf("%s: a COPY is running, but no unit is at a member", step.event)
	}
	if p.reserved != nil && p.request != nil {
		t.Errorf("%s: the session holds a reserved connection while a request is set", step.event)
	}
}
