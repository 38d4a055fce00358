package fleet

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/sirupsen/logrus"

	"wayloft/internal/audit"
	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/leasestate"
	"wayloft/internal/decide/switchover"
	"wayloft/internal/failpoint"
	"wayloft/internal/fleetpb"
	"wayloft/internal/rpc"
)

// Adapter is how a planned change is done at the members: statements of the settings.
type Adapter struct {
	User, Database string
	Primary        string  // one row, true at the member that takes writes
	Guard          string  // $1: the fencing token, and the step's rank under it; changes one row, none where the member has seen a higher one
	Seen           string  // the guard row's fencing token, as one row; none where there is no guard row
	Yield, Take    string  // in the same transaction as Guard
	Within         float64 // ms, for one step
}

func (a *Adapter) connect(ctx context.Context, addr string) (*pgx.Conn, error) {
	conf, err := pgx.ParseConfig("")
	if err != nil {
		return nil, err
	}
	host, text, err := net.SplitHostPort(addr)
	if err != nil {
		return nil, err
	}
	port, err := strconv.ParseUint(text, 10, 16)
	if err != nil {
		return nil, err
	}
	conf.Host, conf.Port, conf.User, conf.Database, conf.TLSConfig, conf.Fallbacks = host, uint16(port), a.User, a.Database, nil, nil
	conf.Password = ""
	conf.DefaultQueryExecMode = pgx.QueryExecModeExec
	return pgx.ConnectConfig(ctx, conf)
}

// primary asks a member whether it takes writes.
func (a *Adapter) primary(ctx context.Context, addr string) (yes bool, err error) {
	c, err := a.connect(ctx, addr)
	if err != nil {
		return false, err
	}
	defer c.Close(context.Background())
	var text string
	if err = c.QueryRow(ctx, a.Primary).Scan(&text); err != nil {
		return false, err
	}
	return text == "t" || text == "true" || text == "on", nil
}

// step does one step at a member, under a fencing token.
func (a *Adapter) step(ctx context.Context, addr, step string, fence lease.Token, rank uint64) (switchover.Outcome, error) {
	number := int64(fence.Number()<<switchover.RankBits | rank)
	c, err := a.connect(ctx, addr)
	if err != nil {
		return switchover.Unknown, err // an earlier try may be on its way, so it is not said that nothing has happened
	}
	defer c.Close(context.Background())
	tx, err := c.Begin(ctx)
	if err != nil {
		return switchover.Unknown, err
	}
	defer tx.Rollback(context.Background())
	tag, err := tx.Exec(ctx, a.Guard, number)
	if err != nil {
		return switchover.Failed, fmt.Errorf("guard row: %w", err)
	}
	if tag.RowsAffected() == 0 {
		var seen string
		if err := tx.QueryRow(ctx, a.Seen).Scan(&seen); errors.Is(err, pgx.ErrNoRows) {
			return switchover.Failed, errors.New("there is no guard row: without it nothing keeps a former owner's step from running late")
		} else if err != nil {
			return switchover.Failed, fmt.Errorf("guard row: %w", err)
		}
		return switchover.Fenced, fmt.Errorf("the member has seen the fence %s", seen)
	}
	statement := map[string]string{switchover.StepDown: a.Yield, switchover.Promote: a.Take}[step]
	if statement != "" {
		if _, err := tx.Exec(ctx, statement); err != nil {
			return switchover.Failed, fmt.Errorf("%s: %w", step, err)
		}
	}
	if err := tx.Commit(ctx); err != nil {
		return switchover.Unknown, err
	}
	return switchover.Succeeded, nil
}

// handing is the lease of switchover, held for a group.
type handing struct {
	group  int
	fence  lease.Token
	desk   *switchover.OrderState
	number uint64
	owner  *switchover.Executor // of the order that is carried out; else nil
	noteAt float64              // when the coordinator may be told again how the last one ended
	ctx    context.Context
	cancel context.CancelFunc
}

// hand goes on with a switchover, if one is ordered.
func (l *Node) hand(duty string, now float64) {
	h := l.hands[duty]
	if h.owner == nil {
		if ended, owes := h.desk.UnreportedEnd(); owes {
			if h.noteAt <= now {
				h.noteAt = math.Inf(1)
				l.note(duty, h, leasestate.Entry{Kind: leasestate.CompleteOrder, Number: ended.Number, Text: clip(ended.Text)}, func(ok bool) {
					l.post(func() {
						if h.noteAt = l.now() + l.set.SessionTimeout/4; ok {
							h.desk.EndReported(ended.Number)
							h.noteAt = 0
						}
					})
				})
			}
			return
		}
		if h.desk.NeedsNewToken() {
			l.agent.Release(duty)
			l.agent.Acquire(duty)
			return
		}
		d, known := l.agent.Lease(duty)
		if !known || d.Holder != l.set.Name || d.Token != h.fence {
			return
		}
		owner, err := h.desk.Take(l.set.Switchover, d.Open, d.Steps, now)
		if owner == nil && err == nil {
			return
		}
		if err != nil {
			logrus.WithError(err).WithField("duty", duty).Error("an order that can't be carried out")
			return
		}
		h.owner, h.number = owner, d.Open.Number
		h.ctx, h.cancel = context.WithCancel(l.ctx)
		l.set.Record.Add("order", audit.Fields{"duty": duty, "fence": h.fence.String(), "number": h.number, "text": d.Open.Text, "steps": len(d.Steps)})
	}
	if !l.agent.SessionsComplete() { // who are to hear of it isn't known yet
		return
	}
	var names []string
	for _, s := range l.agent.Sessions("router") {
		names = append(names, s.Name)
	}
	h.owner.Advance(now)
	h.owner.Routers(names)
	for d, more := h.owner.Next(); more; d, more = h.owner.Next() {
		l.carry(duty, h, d)
	}
	if h.desk.Update(h.owner, h.number); h.owner.Over() {
		h.cancel()
		h.owner = nil
	}
}

// clip keeps a text within what the replicated state takes.
func clip(s string) string {
	if len(s) > 250 {
		s = s[:250]
	}
	return s
}

// still has a switchover's owner hear of something, if it is the one that waits for it: the lease may be another's by now, or the
// order the next.
func (l *Node) still(duty string, h *handing, o *switchover.Executor, f func()) {
	if l.hands[duty] == h && h.owner == o {
		o.Advance(l.now())
		f()
	}
}

// note has the replicated state note a step, or the end.
func (l *Node) note(duty string, h *handing, e leasestate.Entry, done func(ok bool)) {
	e.Lease, e.Token = duty, h.fence
	e = l.agent.Signed(e)
	go func() {
		var a leasestate.Result
		var err error
		for tries := 0; ; tries++ { // asking again does no harm: a note that stands twice says the same
			ctx, cancel := context.WithTimeout(l.ctx, time.Duration(l.set.SessionTimeout*float64(time.Millisecond)))
			a, err = l.client.ProposeEntry(ctx, e)
			cancel()
			if err == nil || l.ctx.Err() != nil || tries > 5 {
				break
			}
		}
		done(err == nil && a.Held)
	}()
}

func (l *Node) carry(duty string, h *handing, d switchover.Decision) {
	fence, may := l.agent.Valid(duty) // the last look before an act goes out
	if !may || fence != h.fence {
		return
	}
	o := h.owner
	switch d.Action {
	case switchover.FindPrimary:
		members := l.groups[h.group]
		go func() {
			found, err := l.find(h.ctx, members)
			l.post(func() { l.still(duty, h, o, func() { o.PrimaryFound(found, err) }) })
		}()
	case switchover.RecordStep:
		l.set.Record.Add("step", audit.Fields{"duty": duty, "fence": fence.String(), "number": h.number, "text": d.Text})
		logrus.WithFields(logrus.Fields{"duty": duty, "fence": fence, "order": h.number}).Info(d.Text)
		l.note(duty, h, leasestate.Entry{Kind: leasestate.RecordStep, Text: d.Text}, func(ok bool) {
			failpoint.Point("noted." + strings.Fields(d.Text)[0])
			l.post(func() {
				l.still(duty, h, o, func() {
					l.set.Record.Add("noted", audit.Fields{"duty": duty, "fence": fence.String(), "number": h.number, "text": d.Text, "ok": ok})
					o.StepRecorded(ok)
				})
			})
		})
	case switchover.CommandRouter:
		l.tell(duty, h, o, d)
	case switchover.CommandMember:
		var addr string
		for _, m := range l.groups[h.group] {
			if m.ID == d.To {
				addr = m.Addr
			}
		}
		go func() {
			failpoint.Point("step." + d.Step) // between the look and the act
			how, err := switchover.Failed, fmt.Errorf("%s is not in the list", d.To)
			if addr != "" { // one that is begun goes on, whatever becomes of the lease: the member's guard row decides
				ctx, cancel := context.WithTimeout(l.ctx, time.Duration(l.set.Adapter.Within*float64(time.Millisecond)))
				how, err = l.set.Adapter.step(ctx, addr, d.Step, fence, d.Rank)
				cancel()
				failpoint.Point("stepped." + d.Step)
			}
			why := ""
			if err != nil {
				why = d.To + ": " + err.Error()
			}
			l.post(func() {
				l.set.Record.Add("done", audit.Fields{"duty": duty, "fence": fence.String(), "member": d.To, "step": d.Step, "how": int(how), "why": why})
				if how == switchover.Fenced {
					l.agent.RejectedActs++ // by the member, which has nobody else to tell of it
				}
				if how != switchover.Succeeded {
					logrus.WithFields(logrus.Fields{"duty": duty, "fence": fence, "member": d.To, "step": d.Step, "why": why}).Warn("step not taken")
				}
				l.still(duty, h, o, func() { o.StepDone(how, why) })
			})
		}()
	case switchover.EndOrder:
		logrus.WithFields(logrus.Fields{"duty": duty, "fence": fence, "order": h.number}).Info(d.Text)
		l.set.Record.Add("end", audit.Fields{"duty": duty, "fence": fence.String(), "number": h.number, "text": d.Text})
	}
}

// tell gives a router a word of a switchover.
func (l *Node) tell(duty string, h *handing, owner *switchover.Executor, d switchover.Decision) {
	for _, s := range l.agent.Sessions("router") {
		if s.Name != d.To {
			continue
		}
		o := &fleetpb.Order{Duty: duty, About: duty, Holder: l.set.Name, Fence: rpc.EncodeToken(h.fence), Hold: &fleetpb.Hold{Group: int64(h.group),
			Number: h.number, MostMs: d.Most, Ends: d.Word == switchover.ReleaseWrites, Looks: d.Word == switchover.CountWrites}}
		l.order(s, o, func(v *fleetpb.Verdict, err error) {
			ok := err == nil && v.Kind == fleetpb.Verdict_TAKEN
			running := 0
			if ok {
				running = int(min(v.Running, math.MaxInt32))
			}
			l.still(duty, h, owner, func() { owner.RouterAnswered(d.To, d.Word, ok, running) })
		})
		return
	}
	owner.RouterAnswered(d.To, d.Word, false, 0)
}

// find asks the members of a group which one takes writes.
func (l *Node) find(ctx context.Context, members []Member) (string, error) {
	if len(members) == 0 {
		return "", errors.New("the group has no members")
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(l.set.Adapter.Within*float64(time.Millisecond)))
	defer cancel()
	found := ""
	var why error
	for _, m := range members {
		yes, err := l.set.Adapter.primary(ctx, m.Addr)
		if err != nil {
			why = errors.Join(why, fmt.Errorf("%s: %w", m.ID, err))
		} else if yes && found != "" {
			return "", fmt.Errorf("%s and %s both take writes", found, m.ID)
		} else if yes {
			found = m.ID
		}
	}
	if found == "" {
		return "", errors.Join(errors.New("no member takes writes"), why)
	}
	return found, nil
}
