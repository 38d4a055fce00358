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
func (b *Backend) withheld(j *job) bool {
	if j.expired(b.driver.Clock()) {
		b.driver.Defer(func() { b.endJob(j, router.NotSent) })
		return true
	}
	if j.request == nil || !j.request.Abandoned() {
		return false
	}
	b.driver.Defer(func() {
		b.driver.ClientGone(j.request)
		b.endJob(j, router.NotSent)
	})
	return true
}

// buildQuery words what the job asks. A statement tells its member what is left of its client's time right now.
func (c *memberConn) buildQuery(j *job) (out []byte) {
	if c.fence > 0 {
		// Guards against a second copy of the last answer, which would pass for the answer to this query: the answer to
		// an empty query comes first, and nothing that was sent before it can come after.
		out = pg.AppendQuery(out)
	}
	switch {
	case j.cancelKey != nil:
		out = pg.AppendCancel(nil, *j.cancelKey)
	case j.request != nil:
		out = j.request.AppendQuery(out, j.deadline-c.backend.driver.Clock())
	case c.backend.limits.HealthReports:
		out = pg.AppendQuery(out, "SHOW vitals")
	default:
		out = pg.AppendQuery(out, "SELECT 1")
	}
	return out
}

// appendQuery appends a simple query. One with a comment tells its member what is left of its client's time right now, as
// the client may have sent it long ago.
func (c *memberConn) appendQuery(out, raw []byte) []byte {
	const header, end = 5, 1 // its kind and length; the zero behind the text
	if len(raw) < header+end {
		return append(out, raw...)
	}
	s, err := pg.ParseStatement(strings.TrimSpace(string(raw[header : len(raw)-end])))
	if err != nil {
		return append(out, raw...)
	}
	return s.AppendQuery(out, min(s.Wait, c.job.deadline-c.backend.driver.Clock()))
}
