package backend

import (
	"strconv"

	"wayloft/internal/decide/connpool"
	"wayloft/internal/pg"
	"wayloft/router"
)

// How far an answer has come.
const (
	nothing = iota
	columns
	row
	whole   // its last message but readiness is there
	through // and the connection is ready for the next
)

var outcomes = map[string]router.Outcome{pg.NoPrimary: router.Misrouted, pg.TooOld: router.Misrouted, pg.Refused: router.Overloaded,
	pg.NotNow: router.Overloaded}

// outcome is what an error's code says; whatever the protocol doesn't name may have run.
func outcome(code string) router.Outcome {
	if how, known := outcomes[code]; known {
		return how
	}
	return router.ServerError
}

var roles = map[string]router.Role{"source": router.Primary, "copy": router.Replica}

// Data takes bytes in. An answer is kept until it is whole; whatever breaks the protocol breaks the connection.
func (l *link) Data(b []byte) {
	if l.login == Cancels { // a server says nothing to a cancel
		l.spoilt()
		return
	}
	// Guards against messages without end that are passed over one by one, on a connection that rests too.
	if l.heard += len(b); l.talk == nil && l.heard > 2*l.all.limits.Longest {
		l.spoilt()
		return
	}
	l.in.Feed(b)
	for l.all.links[l.id] == l {
		m, ok, err := l.in.Next()
		if l.count(); !ok && err == nil {
			if l.all.held > l.all.limits.Budget && l.job != nil && l.ready {
				l.all.Unheld++ // it may have run, and nothing is left to hear the rest with
				l.spoilt()
			}
			return
		}
		if err != nil || l.talk == nil && !l.message(m) || l.talk != nil && !l.answer(&m) {
			l.spoilt()
			return
		}
	}
}

// count keeps the sum of what all connections hold of answers.
func (l *link) count() {
	held := len(l.rows) + l.in.Pending()
	l.all.held += held - l.held
	l.held = held
}

// spoilt ends a connection on which something came that can't be an answer. Its job has failed and may have run, and
// none of what came can be trusted. Guards against taking noise for the loss of a member that is there.
func (l *link) spoilt() {
	l.all.Spoilt++
	l.stage, l.err = nothing, nil
	if j := l.job; j != nil && !l.unsent() {
		l.all.end(j, router.ServerError)
	}
	l.Closed()
}

// message takes one message in; false: it does not belong here.
func (l *link) message(m pg.Message) bool {
	switch m.Kind {
	case pg.Skip, pg.AuthOK:
		return true
	case pg.Parameter:
		l.parameter(m.Name, m.Text)
		return true
	case pg.Empty:
		l.fence--
		return l.fence == 1
	case pg.Failure:
		if !l.ready {
			return l.turnedAway(m.Failure)
		}
		if l.job == nil || l.fence > 0 {
			return false
		}
		l.err = m.Failure
		return true
	case pg.Ready:
		if l.fence > 0 {
			l.fence--
			return l.fence == 0
		}
		return l.letIn() || l.finish()
	}
	if l.job == nil || !l.ready || l.err != nil || l.fence > 0 || len(l.rows)+len(m.Raw) > l.all.limits.Longest {
		return false
	}
	switch {
	case m.Kind == pg.Columns && l.stage == nothing && m.Count == 1:
		l.stage = columns
	case m.Kind == pg.Row && l.stage == columns && m.Count == 1:
		if l.stage = row; l.job.txn == nil {
			l.cell = append([]byte{}, m.Cell...)
		}
	case m.Kind == pg.Complete && l.stage == row:
		l.stage = whole
	default:
		return false
	}
	l.rows = append(l.rows, m.Raw...)
	return true
}

// letIn takes the first readiness, after which the connection can be used.
func (l *link) letIn() bool {
	if l.ready {
		return false
	}
	l.ready = true
	l.all.hear().Opened(l.id)
	l.all.pull()
	return true
}

// turnedAway takes an error before the member has let the connection in.
func (l *link) turnedAway(e *pg.Error) bool {
	why := connpool.Down
	if e.Code == pg.Refused {
		why = connpool.Full
	}
	l.refused(why)
	return true
}

// finish takes the readiness after an answer.
func (l *link) finish() bool {
	j := l.job
	if j == nil || l.err == nil && l.stage != whole {
		return false
	}
	how := router.Succeeded
	if l.err != nil {
		l.rows, how = nil, outcome(l.err.Code)
	}
	l.stage = through
	l.all.end(j, how)
	return true
}

func (l *link) parameter(name, value string) {
	switch name {
	case "rank":
		l.role = roles[value]
	case "as_of":
		if x, err := strconv.ParseFloat(value, 64); err == nil && x > 0 {
			l.gtid = x
		}
	case "vitals":
		l.vital = value
	}
}
