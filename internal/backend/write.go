package backend

import (
	"strings"

	"wayloft/internal/pg"
	"wayloft/router"
)

// expired tells that a job must not be written any more: what it was decided on holds no more, or its client's time is over.
func (j *job) expired(now float64) bool {
	return now > j.notAfter || j.request != nil && now >= j.deadline
}

// withheld tells that a job must not be written, and ends it then: its time is over, or its client has gone. It is called
// right before the write, and asks for the client last, after all reading of the clock.
func (a *Backend) withheld(j *job) bool {
	if j.expired(a.driver.Clock()) {
		a.driver.Defer(func() { a.endJob(j, router.NotSent) })
		return true
	}
	if j.request == nil || !j.request.Abandoned() {
		return false
	}
	a.driver.Defer(func() {
		a.driver.ClientGone(j.request)
		a.endJob(j, router.NotSent)
	})
	return true
}

// buildQuery words what the job asks. A statement tells its member what is left of its client's time right now.
func (l *memberConn) buildQuery(j *job) (out []byte) {
	if l.fence > 0 {
		// Guards against a second copy of the last answer, which would pass for the answer to this query: the answer to
		// an empty query comes first, and nothing that was sent before it can come after.
		out = pg.AppendQuery(out)
	}
	switch {
	case j.cancelKey != nil:
		out = pg.AppendCancel(nil, *j.cancelKey)
	case j.request != nil:
		out = j.request.AppendQuery(out, j.deadline-l.backend.driver.Clock())
	case l.backend.limits.HealthReports:
		out = pg.AppendQuery(out, "SHOW vitals")
	default:
		out = pg.AppendQuery(out, "SELECT 1")
	}
	return out
}

// appendQuery appends a simple query. One with a comment tells its member what is left of its client's time right now, as
// the client may have sent it long ago.
func (l *memberConn) appendQuery(out, raw []byte) []byte {
	const header, end = 5, 1 // its kind and length; the zero behind the text
	if len(raw) < header+end {
		return append(out, raw...)
	}
	s, err := pg.ParseStatement(strings.TrimSpace(string(raw[header : len(raw)-end])))
	if err != nil {
		return append(out, raw...)
	}
	return s.AppendQuery(out, min(s.Wait, l.job.deadline-l.backend.driver.Clock()))
}
