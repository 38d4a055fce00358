package host

import (
	"errors"
	"time"

	"wayloft/internal/exchange"
	"wayloft/internal/must"
	"wayloft/internal/pg"
	"wayloft/router"
)

// Members carries submissions and checks to members. How each ended comes back by Returned and Checked. Abandon gives
// up what of a txn may not have run yet.
type Members interface {
	Abandon(txn string)
	Submit(txn *exchange.Txn, seq int, member string, wait, by float64)
	Revoke(txn string, seq int)
	Check(member string)
	CloseIdle(member string)
}

// Host drives one module: events go in, decisions are pulled and carried out, and an alarm is kept for it. It
// carries out, it must never decide.
type Host struct {
	*Loop
	router  *router.Router
	members Members
	kinds   map[string]*router.TxnType
	watch   func()
	reports func(member string, role router.Role, gtid float64)
	open    map[string]*entry
	fresh   bool // the module has heard something
	alarm   *time.Timer

	announced   bool // who waits for the cluster's clock to be settled was told
	onSettled   func()
	heldReports []heldReport // one a listed member
	mayCheck    bool
	confirming  map[string]bool // members that are to be checked again soon

	membersJudge bool
}

// entry is a txn that is not over, or has a submission out.
type entry struct {
	txn       *exchange.Txn
	sent, out int
}

// What Arrive finds wrong.
var (
	ErrTxnType = errors.New("txn type is not in the settings")
	ErrID      = errors.New("id is in use")
	ErrAfter   = errors.New("after lies in the future")
)

// Ahead is how many ms a position may lie ahead of the cluster's clock, whoever names it.
const Ahead = 1000.0

// New makes a host; watch asks for the list.
func New(loop *Loop, r *router.Router, kinds map[string]*router.TxnType, watch func()) *Host {
	return &Host{Loop: loop, router: r, kinds: kinds, watch: watch, open: map[string]*entry{}, confirming: map[string]bool{}}
}

// Use names who carries submissions.
func (h *Host) Use(m Members) { h.members = m }

// Run runs the loop until it ends.
func (h *Host) Run() { h.Loop.Run(h.settle) }

// hear tells the module the time before the first input of a batch.
func (h *Host) hear() *router.Router {
	if !h.fresh {
		h.fresh = true
		h.router.At(h.Now())
	}
	return h.router
}

// Arrive takes a txn in.
func (h *Host) Arrive(t *exchange.Txn) error {
	if h.open[t.ID] != nil {
		return ErrID
	}
	kind := h.kinds[t.TxnType]
	if kind == nil {
		return ErrTxnType
	}
	t.Cap(kind.Expiry)
	now := h.Now()
	if t.After > 0 && !h.Possible(t.After) {
		return ErrAfter
	}
	h.hear().Arrive(t.ID, t.Tenant, t.Session, t.TxnType, t.Group, h.tokenAge(t.After, now), t.Wait, t.Marked)
	if t.Arrived < now {
		h.hear().Queued(t.ID, now-t.Arrived)
	}
	if t.Talk != nil && t.Talk.Held != nil {
		h.hear().Pin(t.ID, t.Talk.Held.Member())
	}
	h.open[t.ID] = &entry{txn: t}
	return nil
}

// Gone says that the client of a txn has left: nothing is owed any more, and what is not written yet isn't written. Guards
// against a submission that waits for a connection to come up, and goes out long after.
func (h *Host) Gone(t *exchange.Txn) {
	if t.Leave() {
		h.hear().Gone(t.ID)
		h.forget(t.ID)
		h.members.Abandon(t.ID)
	}
}

// Returned says how a submission ended; rows is what the member answered, where it committed.
func (h *Host) Returned(t *exchange.Txn, seq int, member string, how router.Outcome, took float64,
	role router.Role, gtid float64, rows []byte) {
	// Its client has had a part, or has cancelled it: it can't begin anew.
	cut := t.Talk != nil && (t.Talk.Started() || t.Talk.Cancelled())
	done := t.Over() || how == router.Committed || cut
	h.hear().Returned(t.ID, seq, how, took, done, role, h.position(gtid))
	if how == router.Committed && !t.Over() {
		t.Commit(rows)
	} else if cut && !t.Over() {
		t.RollBack()
	}
	h.open[t.ID].out--
	h.forget(t.ID)
}

// Turn says whose turn it is in a txn of several questions: the member's, or its client's or the pool's, who have it
// rest.
func (h *Host) Turn(t *exchange.Txn, seq int, rests bool) {
	h.hear().Turn(t.ID, seq, rests, t.Talk != nil && t.Talk.Started())
}

// Rejected says that a member found a submission's statement at fault: it did not run, and tells nothing of the member.
func (h *Host) Rejected(t *exchange.Txn, seq int, member string, e *pg.Error) {
	h.hear().Returned(t.ID, seq, router.Moot, 0, true, router.Unsaid, router.Never)
	if !t.Over() {
		t.Reject(e)
	}
	h.open[t.ID].out--
	h.forget(t.ID)
}

// Checked says how a check ended.
func (h *Host) Checked(member string, how router.Outcome) { h.hear().Checked(member, how) }

// Reported conveys a member's report, once its position can be judged.
func (h *Host) Reported(member string, role router.Role, gtid float64) {
	r := heldReport{member, role, gtid}
	if !h.settled() {
		h.holdReport(r)
		return
	}
	h.conveyReport(r)
}

// Reports names who hears of members' reports, too, with positions on the cluster's clock; it must not wait.
func (h *Host) Reports(f func(member string, role router.Role, gtid float64)) { h.reports = f }

// Look checks a member on behalf of others; what it tells, the module hears as well.
func (h *Host) Look(member string) { h.members.Check(member) }

// Sighted conveys what another router's check told, its position on the cluster's clock. It tells nothing before
// positions can be judged.
func (h *Host) Sighted(member string, started float64, role router.Role, gtid float64) {
	if !h.settled() || gtid != router.Never && !h.Possible(gtid) {
		return
	}
	h.hear().Sighted(member, started, role, h.position(gtid))
}

// Hold has writes of a group wait until then; an earlier time lets them go.
func (h *Host) Hold(group int, until float64) { h.hear().Hold(group, until) }

// Revalue conveys settings with other values and tenants; which txn types there are, and what else is fixed of them, stays.
func (h *Host) Revalue(set *router.Settings) { h.hear().Revalue(set) }

// Writes counts the txns of a group that need its primary: those that are out there, and those that wait.
func (h *Host) Writes(group int) (out, waiting int) {
	for _, e := range h.open {
		kind := h.kinds[e.txn.TxnType]
		if e.txn.Group != group || kind.Level != router.Write && kind.Level != router.Fresh {
			continue
		}
		if e.out > 0 {
			out++
		} else {
			waiting++
		}
	}
	return out, waiting
}

// List gives the module to be told of the list.
func (h *Host) List() *router.Router { return h.hear() }

// forget drops a txn once nothing can come of it; until then its id is in use.
func (h *Host) forget(id string) {
	if e := h.open[id]; e.txn.Over() && e.out == 0 {
		delete(h.open, id)
	}
}

func (h *Host) settle() {
	if !h.fresh {
		return
	}
	h.fresh = false
	for d, more := h.router.Next(); more; d, more = h.router.Next() {
		h.do(d)
	}
}

func (h *Host) do(d router.Decision) {
	switch d.Verb {
	case router.Submit, router.Decline, router.RollBack:
		e := h.open[d.Txn]
		must.Hold(e != nil && !e.txn.Over() && e.out == 0, "decisions are for open txns with nothing out")
		if e == nil || e.txn.Over() {
			return
		}
		switch d.Verb {
		case router.Submit:
			e.sent++
			e.out++
			h.members.Submit(e.txn, e.sent-1, d.Member, d.Wait, d.By)
		case router.Decline:
			e.txn.Decline(d.Wait)
		case router.RollBack:
			e.txn.RollBack()
		}
		h.forget(d.Txn)
	case router.Revoke:
		h.members.Revoke(d.Txn, d.Seq)
	case router.Check:
		h.members.Check(d.Member)
	case router.Watch:
		h.watch()
	case router.Close:
		h.members.CloseIdle(d.Member)
	case router.Alarm:
		if h.alarm != nil {
			h.alarm.Stop()
		}
		h.alarm = h.After(d.At-h.Now(), func() { h.hear().Rang() })
	}
}
