package backend

import (
	"strconv"

	"wayloft/internal/decide/connpool"
	"wayloft/internal/pg"
	"wayloft/router"
)

// How far an answer has come.
const (
	stageNone = iota
	stageColumns
	stageRow
	stageComplete // its last message but readiness is there
	stageReady    // and the connection is ready for the next
)

var errorOutcomes = map[string]router.Outcome{pg.NoPrimary: router.Misrouted, pg.TooOld: router.Misrouted, pg.Refused: router.Overloaded,
	pg.NotNow: router.Overloaded}

// errorOutcome is what an error's code says; whatever the protocol doesn't name may have run.
func errorOutcome(code string) router.Outcome {
	if how, known := errorOutcomes[code]; known {
		return how
	}
	return router.ServerError
}

var rolesOnWire = map[string]router.Role{"source": router.Primary, "copy": router.Replica}

// Data takes bytes in. An answer is kept until it is whole; whatever breaks the protocol breaks the connection.
func (l *memberConn) Data(b []byte) {
	if l.pool == CancelPool { // a server says nothing to a cancel
		l.failProtocol()
		return
	}
	// Guards against messages without end that are passed over one by one, on a connection that rests too.
	if l.receivedBytes += len(b); l.streamState == nil && l.receivedBytes > 2*l.backend.limits.MaxResponse {
		l.failProtocol()
		return
	}
	l.reader.Feed(b)
	for l.backend.conns[l.id] == l {
		m, ok, err := l.reader.Next()
		if l.countBuffered(); !ok && err == nil {
			if l.backend.buffered > l.backend.limits.ResponseBudget && l.job != nil && l.ready {
				l.backend.OverBudget++ // it may have run, and nothing is left to hear the rest with
				l.failProtocol()
			}
			return
		}
		if err != nil || l.streamState == nil && !l.handleMessage(m) || l.streamState != nil && !l.handleStreamMessage(&m) {
			l.failProtocol()
			return
		}
	}
}

// countBuffered keeps the sum of what all connections hold of answers.
func (l *memberConn) countBuffered() {
	held := len(l.rows) + l.reader.Pending()
	l.backend.buffered += held - l.buffered
	l.buffered = held
}

// failProtocol ends a connection on which something came that can't be an answer. Its job has failed and may have run, and
// none of what came can be trusted. Guards against taking noise for the loss of a member that is there.
func (l *memberConn) failProtocol() {
	l.backend.ProtocolErrors++
	l.stage, l.queryError = stageNone, nil
	if j := l.job; j != nil && !l.closeIfUnsent() {
		l.backend.endJob(j, router.ServerError)
	}
	l.Closed()
}

// handleMessage takes one message in; false: it does not belong here.
func (l *memberConn) handleMessage(m pg.Message) bool {
	switch m.Kind {
	case pg.Skip, pg.AuthOK:
		return true
	case pg.Parameter:
		l.recordParameter(m.Name, m.Text)
		return true
	case pg.Empty:
		l.fence--
		return l.fence == 1
	case pg.Failure:
		if !l.ready {
			return l.loginRefused(m.Failure)
		}
		if l.job == nil || l.fence > 0 {
			return false
		}
		l.queryError = m.Failure
		return true
	case pg.Ready:
		if l.fence > 0 {
			l.fence--
			return l.fence == 0
		}
		return l.becomeReady() || l.finishResponse()
	}
	if l.job == nil || !l.ready || l.queryError != nil || l.fence > 0 || len(l.rows)+len(m.Raw) > l.backend.limits.MaxResponse {
		return false
	}
	switch {
	case m.Kind == pg.Columns && l.stage == stageNone && m.Count == 1:
		l.stage = stageColumns
	case m.Kind == pg.Row && l.stage == stageColumns && m.Count == 1:
		if l.stage = stageRow; l.job.request == nil {
			l.value = append([]byte{}, m.Cell...)
		}
	case m.Kind == pg.Complete && l.stage == stageRow:
		l.stage = stageComplete
	default:
		return false
	}
	l.rows = append(l.rows, m.Raw...)
	return true
}

// becomeReady takes the first readiness, after which the connection can be used.
func (l *memberConn) becomeReady() bool {
	if l.ready {
		return false
	}
	l.ready = true
	l.backend.poolInput().Opened(l.id)
	l.backend.carryOutDecisions()
	return true
}

// loginRefused takes an error before the member has let the connection in.
func (l *memberConn) loginRefused(e *pg.Error) bool {
	why := connpool.Down
	if e.Code == pg.Refused {
		why = connpool.Full
	}
	l.connectFailed(why)
	return true
}

// finishResponse takes the readiness after an answer.
func (l *memberConn) finishResponse() bool {
	j := l.job
	if j == nil || l.queryError == nil && l.stage != stageComplete {
		return false
	}
	how := router.Succeeded
	if l.queryError != nil {
		l.rows, how = nil, errorOutcome(l.queryError.Code)
	}
	l.stage = stageReady
	l.backend.endJob(j, how)
	return true
}

func (l *memberConn) recordParameter(name, value string) {
	switch name {
	case "rank":
		l.role = rolesOnWire[value]
	case "as_of":
		if x, err := strconv.ParseFloat(value, 64); err == nil && x > 0 {
			l.position = x
		}
	case "vitals":
		l.report = value
	}
}
