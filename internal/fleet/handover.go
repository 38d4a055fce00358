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

	"wayloft/internal/decide/handover"
	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/register"
	"wayloft/internal/faults"
	"wayloft/internal/fleetpb"
	"wayloft/internal/record"
	"wayloft/internal/wire"
)

// Adapter is how a planned change is done at the members: statements of the settings.
type Adapter struct {
	User, Database string
	Primary        string  // one row, true at the member that takes writes
	Guard          string  // $1: the fence, and the step's rank under it; changes one row, none where the member has seen a higher one
	Seen           string  // the guard row's fence, as one row; none where there is no guard row
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

// step does one step at a member, under a fence.
func (a *Adapter) step(ctx context.Context, addr, step string, fence lease.Fence, rank uint64) (handover.Outcome, error) {
	number := int64(fence.Number()<<handover.RankBits | rank)
	c, err := a.connect(ctx, addr)
	if err != nil {
		return handover.Unknown, err // an earlier try may be on its way, so it is not said that nothing has happened
	}
	defer c.Close(context.Background())
	tx, err := c.Begin(ctx)
	if err != nil {
		return handover.Unknown, err
	}
	defer tx.Rollback(context.Background())
	tag, err := tx.Exec(ctx, a.Guard, number)
	if err != nil {
		return handover.Failed, fmt.Errorf("guard row: %w", err)
	}
	if tag.RowsAffected() == 0 {
		var seen string
		if err := tx.QueryRow(ctx, a.Seen).Scan(&seen); errors.Is(err, pgx.ErrNoRows) {
			return handover.Failed, errors.New("there is no guard row: without it nothing keeps a former owner's step from running late")
		} else if err != nil {
			return handover.Failed, fmt.Errorf("guard row: %w", err)
		}
		return handover.Refused, fmt.Errorf("the member has seen the fence %s", seen)
	}
	statement := map[string]string{handover.Yield: a.Yield, handover.Take: a.Take}[step]
	if statement != "" {
		if _, err := tx.Exec(ctx, statement); err != nil {
			return handover.Failed, fmt.Errorf("%s: %w", step, err)
		}
	}
	if err := tx.Commit(ctx); err != nil {
		return handover.Unknown, err
	}
	return handover.Took, nil
}

// handing is the duty of handover, held for a group.
type handing struct {
	group  int
	fence  lease.Fence
	desk   *handover.Desk
	number uint64
	owner  *handover.Owner // of the order that is carried out; else nil
	noteAt float64         // when the council may be told again how the last one ended
	ctx    context.Context
	cancel context.CancelFunc
}

// hand goes on with a handover, if one is ordered.
func (l *Link) hand(duty string, now float64) {
	h := l.hands[duty]
	if h.owner == nil {
		if ended, owes := h.desk.Owes(); owes {
			if h.noteAt <= now {
				h.noteAt = math.Inf(1)
				l.note(duty, h, register.Entry{Kind: register.Did, Number: ended.Number, Text: clip(ended.Text)}, func(ok bool) {
					l.post(func() {
						if h.noteAt = l.now() + l.set.Length/4; ok {
							h.desk.Told(ended.Number)
							h.noteAt = 0
						}
					})
				})
			}
			return
		}
		if h.desk.Spent() {
			l.agent.Unwant(duty)
			l.agent.Want(duty)
			return
		}
		d, known := l.agent.Duty(duty)
		if !known || d.Holder != l.set.Name || d.Fence != h.fence {
			return
		}
		owner, err := h.desk.Take(l.set.Hold, d.Open, d.Steps, now)
		if owner == nil && err == nil {
			return
		}
		if err != nil {
			logrus.WithError(err).WithField("duty", duty).Error("an order that can't be carried out")
			return
		}
		h.owner, h.number = owner, d.Open.Number
		h.ctx, h.cancel = context.WithCancel(l.ctx)
		l.set.Record.Add("order", record.Fields{"duty": duty, "fence": h.fence.String(), "number": h.number, "text": d.Open.Text, "steps": len(d.Steps)})
	}
	if !l.agent.Others() { // who are to hear of it isn't known yet
		return
	}
	var names []string
	for _, s := range l.agent.Sessions("router") {
		names = append(names, s.Name)
	}
	h.owner.At(now)
	h.owner.Routers(names)
	for d, more := h.owner.Next(); more; d, more = h.owner.Next() {
		l.carry(duty, h, d)
	}
	if h.desk.Keep(h.owner, h.number); h.owner.Over() {
		h.cancel()
		h.owner = nil
	}
}

// clip keeps a text within what the register takes.
func clip(s string) string {
	if len(s) > 250 {
		s = s[:250]
	}
	return s
}

// still has a handover's owner hear of something, if it is the one that waits for it: the duty may be another's by now, or the
// order the next.
func (l *Link) still(duty string, h *handing, o *handover.Owner, f func()) {
	if l.hands[duty] == h && h.owner == o {
		o.At(l.now())
		f()
	}
}

// note has the register note a step, or the end.
func (l *Link) note(duty string, h *handing, e register.Entry, done func(ok bool)) {
	e.Duty, e.Fence = duty, h.fence
	e = l.agent.Entry(e)
	go func() {
		var a register.Answer
		var err error
		for tries := 0; ; tries++ { // asking again does no harm: a note that stands twice says the same
			ctx, cancel := context.WithTimeout(l.ctx, time.Duration(l.set.Length*float64(time.Millisecond)))
			a, err = l.client.Do(ctx, e)
			cancel()
			if err == nil || l.ctx.Err() != nil || tries > 5 {
				break
			}
		}
		done(err == nil && a.Held)
	}()
}

func (l *Link) carry(duty string, h *handing, d handover.Decision) {
	fence, may := l.agent.May(duty) // the last look before an act goes out
	if !may || fence != h.fence {
		return
	}
	o := h.owner
	switch d.Verb {
	case handover.Find:
		members := l.groups[h.group]
		go func() {
			found, err := l.find(h.ctx, members)
			l.post(func() { l.still(duty, h, o, func() { o.Found(found, err) }) })
		}()
	case handover.Note:
		l.set.Record.Add("step", record.Fields{"duty": duty, "fence": fence.String(), "number": h.number, "text": d.Text})
		logrus.WithFields(logrus.Fields{"duty": duty, "fence": fence, "order": h.number}).Info(d.Text)
		l.note(duty, h, register.Entry{Kind: register.Note, Text: d.Text}, func(ok bool) {
			faults.Point("noted." + strings.Fields(d.Text)[0])
			l.post(func() {
				l.still(duty, h, o, func() {
					l.set.Record.Add("noted", record.Fields{"duty": duty, "fence": fence.String(), "number": h.number, "text": d.Text, "ok": ok})
					o.Noted(ok)
				})
			})
		})
	case handover.Tell:
		l.tell(duty, h, o, d)
	case handover.Do:
		var addr string
		for _, m := range l.groups[h.group] {
			if m.ID == d.To {
				addr = m.Addr
			}
		}
		go func() {
			faults.Point("step." + d.Step) // between the look and the act
			how, err := handover.Failed, fmt.Errorf("%s is not in the list", d.To)
			if addr != "" { // one that is begun goes on, whatever becomes of the lease: the member's guard row decides
				ctx, cancel := context.WithTimeout(l.ctx, time.Duration(l.set.Adapter.Within*float64(time.Millisecond)))
				how, err = l.set.Adapter.step(ctx, addr, d.Step, fence, d.Rank)
				cancel()
				faults.Point("stepped." + d.Step)
			}
			why := ""
			if err != nil {
				why = d.To + ": " + err.Error()
			}
			l.post(func() {
				l.set.Record.Add("done", record.Fields{"duty": duty, "fence": fence.String(), "member": d.To, "step": d.Step, "how": int(how), "why": why})
				if how == handover.Refused {
					l.agent.Refused++ // by the member, which has nobody else to tell of it
				}
				if how != handover.Took {
					logrus.WithFields(logrus.Fields{"duty": duty, "fence": fence, "member": d.To, "step": d.Step, "why": why}).Warn("step not taken")
				}
				l.still(duty, h, o, func() { o.Done(how, why) })
			})
		}()
	case handover.End:
		logrus.WithFields(logrus.Fields{"duty": duty, "fence": fence, "order": h.number}).Info(d.Text)
		l.set.Record.Add("end", record.Fields{"duty": duty, "fence": fence.String(), "number": h.number, "text": d.Text})
	}
}

// tell gives a router a word of a handover.
func (l *Link) tell(duty string, h *handing, owner *handover.Owner, d handover.Decision) {
	for _, s := range l.agent.Sessions("router") {
		if s.Name != d.To {
			continue
		}
		o := &fleetpb.Order{Duty: duty, About: duty, Holder: l.set.Name, Fence: wire.Fence(h.fence), Hold: &fleetpb.Hold{Group: int64(h.group),
			Number: h.number, MostMs: d.Most, Ends: d.Word == handover.Release, Looks: d.Word == handover.Look}}
		l.order(s, o, func(v *fleetpb.Verdict, err error) {
			ok := err == nil && v.Kind == fleetpb.Verdict_TAKEN
			running := 0
			if ok {
				running = int(min(v.Running, math.MaxInt32))
			}
			l.still(duty, h, owner, func() { owner.Told(d.To, d.Word, ok, running) })
		})
		return
	}
	owner.Told(d.To, d.Word, false, 0)
}

// find asks the members of a group which one takes writes.
func (l *Link) find(ctx context.Context, members []Member) (string, error) {
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
