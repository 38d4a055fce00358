package twin

import (
	"errors"
	"fmt"
	"math"
	"strings"

	"wayloft/internal/decide/agent"
	"wayloft/internal/decide/handover"
	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/register"
	"wayloft/router"
)

// member is a stand-in for a member of the group: whether it takes writes, its guard row, and what it committed. All of it
// outlives the process.
type member struct {
	primary bool
	guard   lease.Fence
	rank    uint64
}

// line is one of the group's log, over all members.
type line struct {
	by    string
	txn   string // of a commit
	takes bool   // by became primary
}

// Planned change: what a world with handovers has beside councils and routers.
type planned struct {
	members []*Proc
	log     []line
	told    map[string]string // by txn: committed, declined, in doubt
	orders  int
	done    map[string]int // how orders ended, by their first word
	number  int
	lateAt  int // steps that members refused
}

const (
	holdFor = 3000.0 // ms, of one handover
	writes  = 25.0   // ms between two of a router's writes
)

var settings = &router.Settings{Routers: 5, AskWithin: 10000, ColdFrom: 0.2, WarmUp: 1000, FallMultiple: 2.5, FallWindow: 2000, Submissions: 6,
	CanCheck: true, CanRevoke: true, RetryAfter: 1000, TxnTypes: map[string]*router.TxnType{"write": {SLA: 2000, Expiry: 10000, Value: 1,
		LateValue: 0.5, Effect: router.OnceOnly, Level: router.Write}}, Tenants: map[string]float64{}}

// carrier is a router's module with what carries it out, in the twin.
type carrier struct {
	alarms int // asked for so far
	p      *Proc
	r      *router.Router
	fresh  bool
	out    map[string]int // submissions by txn
	at     map[string]float64
}

// plan adds members to a world, and clients' writes, and orders.
func (w *World) plan() {
	w.planned = &planned{told: map[string]string{}, done: map[string]int{}}
	for n := range 3 {
		p := &Proc{Name: fmt.Sprint("m", n+1), w: w, member: &member{primary: n == 0}}
		w.planned.members, w.byName[p.Name] = append(w.planned.members, p), p
		p.up, p.life = true, 1
	}
	w.planned.log = append(w.planned.log, line{by: "m1", takes: true})
	for at := 3000.0; at < w.opt.For+2000; at += 1500 + w.rand.Float64()*2500 {
		w.After(at, func() { w.order(w.planned.members[w.rand.IntN(3)].Name, 0) })
	}
}

// order is an operator's, again until the council has taken it.
func (w *World) order(to string, tries int) {
	if l := w.Leader(); l != nil && !l.asleep {
		w.number++
		e := register.Entry{Kind: register.Order, Duty: handover.Duty(0), Text: handover.Order(to)}
		l.run(func() { l.node.At(l.clock()); l.node.Do(w.number, e) })
		w.planned.orders++
		return
	}
	if tries < 20 {
		w.After(200, func() { w.order(to, tries+1) })
	}
}

// carries makes a router's module anew, with its clients.
func (p *Proc) carries() {
	c := &carrier{p: p, r: router.New(settings, p.w.opt.Seed+uint64(p.Name[len(p.Name)-1])), out: map[string]int{}, at: map[string]float64{}}
	p.carrier, p.guests = c, handover.NewGuests(holdFor)
	c.hear(func(r *router.Router) {
		r.ListStart()
		for _, m := range p.w.planned.members {
			r.Listed(m.Name, "z", 0, router.Up, router.Never)
		}
		r.ListEnd(true)
	})
	p.later(p.w.rand.Float64()*writes, p.client)
}

func (p *Proc) client() {
	c, w := p.carrier, p.w
	if w.Now < 2*w.opt.For-4000 {
		w.planned.number++
		id := fmt.Sprint("t", w.planned.number)
		w.planned.told[id] = "in doubt"
		c.hear(func(r *router.Router) { r.Arrive(id, "", "", "write", 0, 0, 5000, false) })
	}
	p.later(w.rand.ExpFloat64()*writes, p.client)
}

// hear tells the module something, and carries out what it decides.
func (c *carrier) hear(f func(*router.Router)) {
	c.r.At(c.p.w.Now + 1)
	f(c.r)
	c.pull()
}

func (c *carrier) pull() {
	p, w := c.p, c.p.w
	for d, more := c.r.Next(); more; d, more = c.r.Next() {
		switch d.Verb {
		case router.Submit:
			seq := c.out[d.Txn]
			c.out[d.Txn]++
			c.submit(d.Txn, seq, w.byName[d.Member])
		case router.Decline:
			w.planned.told[d.Txn] = "declined"
		case router.Check:
			c.check(w.byName[d.Member])
		case router.Alarm:
			c.alarms++ // the one before is stopped, as the host does
			n := c.alarms
			p.later(d.At-w.Now, func() {
				if n == c.alarms {
					c.hear(func(r *router.Router) { r.Rang() })
				}
			})
		}
	}
}

// submit sends a write to a member. One that is out of reach resets it after a while, when it may have run.
func (c *carrier) submit(txn string, seq int, to *Proc) {
	p, w, begun, over := c.p, c.p.w, c.p.w.Now, false
	end := func(how router.Outcome, role router.Role) {
		if !over {
			over = true
			if how == router.Committed {
				w.planned.told[txn] = "committed"
			}
			c.hear(func(r *router.Router) { r.Returned(txn, seq, how, w.Now-begun, how == router.Committed, role, w.Now) })
		}
	}
	w.send(p, to, 100, func() {
		took := 1 + w.rand.ExpFloat64()*4
		to.later(took, func() { // it runs at one moment
			how, role := router.Miss, router.Replica
			if to.member.primary {
				how, role = router.Committed, router.Primary
				w.planned.log = append(w.planned.log, line{by: to.Name, txn: txn})
			}
			w.send(to, p, 100, func() { end(how, role) })
		})
	})
	p.later(4000, func() { end(router.Reset, router.Unsaid) })
}

func (c *carrier) check(to *Proc) {
	p, w, over := c.p, c.p.w, false
	w.send(p, to, 50, func() {
		role := router.Replica
		if to.member.primary {
			role = router.Primary
		}
		at := w.Now
		w.send(to, p, 50, func() {
			if !over {
				over = true
				c.hear(func(r *router.Router) {
					r.Reported(to.Name, role, at)
					r.Checked(to.Name, router.Committed)
				})
			}
		})
	})
	p.later(500, func() {
		if !over {
			over = true
			c.hear(func(r *router.Router) { r.Checked(to.Name, router.TimedOut) })
		}
	})
}

// handing is the duty, held by a process of the twin.
type handing struct {
	fence  lease.Fence
	number uint64
	owner  *handover.Owner
	noteAt float64

	stepping string // at a member, decided and not yet sent
}

// hand goes on with a handover, as the program's fleet does.
func (p *Proc) hand() {
	h := p.handing
	if h == nil {
		return
	}
	if h.owner == nil {
		if ended, owes := p.desk.Owes(); owes {
			if h.noteAt <= p.clock() {
				h.noteAt = math.Inf(1)
				p.note(h, register.Entry{Kind: register.Did, Duty: handover.Duty(0), Fence: h.fence, Number: ended.Number,
					Text: ended.Text[:min(len(ended.Text), 200)]}, 0, func(ok bool) {
					if h.noteAt = p.clock() + Length/4; ok {
						p.desk.Told(ended.Number)
						h.noteAt = 0
					}
				})
			}
			return
		}
		d, known := p.agent.Duty(handover.Duty(0))
		if !known || d.Holder != p.Name || d.Fence != h.fence {
			return
		}
		owner, err := p.desk.Take(handover.Settings{Hold: holdFor, Wait: holdFor / 3, Step: 300}, d.Open, d.Steps, p.clock())
		if err != nil {
			p.w.wrong("%s: %v", p.Name, err)
		}
		if owner == nil {
			return
		}
		h.owner, h.number = owner, d.Open.Number
	}
	var names []string
	for _, s := range p.agent.Sessions("router") {
		names = append(names, s.Name)
	}
	h.owner.At(p.clock())
	h.owner.Routers(names)
	for d, more := h.owner.Next(); more; d, more = h.owner.Next() {
		p.step(h, d)
	}
	if p.desk.Keep(h.owner, h.number); h.owner.Over() {
		h.owner = nil
	}
}

// still has a handover hear of something, if it is this process's yet.
func (p *Proc) still(h *handing, o *handover.Owner, f func(*handover.Owner)) {
	if p.handing == h && h.owner == o {
		o.At(p.clock())
		f(o)
	}
}

func (p *Proc) step(h *handing, d handover.Decision) {
	w := p.w
	p.agent.At(p.clock())
	fence, may := p.agent.May(handover.Duty(0))
	if !may || fence != h.fence {
		return
	}
	o := h.owner
	switch d.Verb {
	case handover.Find:
		p.later(2, func() {
			found := ""
			for _, m := range w.planned.members {
				if m.member.primary && m.up && !m.asleep {
					found = m.Name
				}
			}
			var err error
			if found == "" {
				err = errors.New("no member takes writes")
			}
			p.still(h, o, func(o *handover.Owner) { o.Found(found, err) })
		})
	case handover.Note:
		p.note(h, register.Entry{Kind: register.Note, Duty: handover.Duty(0), Fence: fence, Text: d.Text}, 0, func(ok bool) {
			p.still(h, o, func(o *handover.Owner) { o.Noted(ok) })
		})
	case handover.End:
		first, _, _ := strings.Cut(d.Text, ":")
		w.planned.done[strings.Fields(first)[0]]++
	case handover.Tell:
		p.tell(h, o, d)
	case handover.Do:
		// Between the look and the act this process may be stopped.
		to := w.byName[d.To]
		h.stepping = d.Step
		p.later(w.rand.Float64()*20, func() {
			h.stepping = ""
			over := false
			end := func(how handover.Outcome, why string) {
				if !over {
					over = true
					p.still(h, o, func(o *handover.Owner) { o.Done(how, why) })
				}
			}
			w.send(p, to, 80, func() {
				how := handover.Took
				switch m := to.member; {
				case (fence.Compare(m.guard) < 0 || fence == m.guard && d.Rank < m.rank) && !w.opt.Planted.Unguarded:
					how = handover.Refused
					w.planned.lateAt++
				default:
					m.guard, m.rank = fence, d.Rank
					if d.Step == handover.Take && !m.primary {
						w.planned.log = append(w.planned.log, line{by: to.Name, takes: true})
					}
					if d.Step != handover.Bar {
						m.primary = d.Step == handover.Take
					}
				}
				w.send(to, p, 40, func() { end(how, "") })
			})
			p.later(300, func() { end(handover.Unknown, "no answer") })
		})
	}
}

// note has the register note a step, again until there is an answer.
func (p *Proc) note(h *handing, e register.Entry, tries int, done func(bool)) {
	p.entry(p.agent.Entry(e), func(ans register.Answer, ok bool) {
		if !ok && tries < 6 {
			p.note(h, e, tries+1, done)
			return
		}
		done(ok && ans.Held)
	})
}

// entry is a request of the process's own, beside its agent's.
func (p *Proc) entry(e register.Entry, done func(register.Answer, bool)) {
	p.own++
	number := p.own | 1<<62
	p.calls[number] = call{done: done}
	p.ask(agent.Decision{Verb: agent.Call, Number: number, Entry: e}, 0)
}

func (p *Proc) tell(h *handing, o *handover.Owner, d handover.Decision) {
	w, to, over := p.w, p.w.byName[d.To], false
	end := func(ok bool, running int) {
		if !over {
			over = true
			p.still(h, o, func(o *handover.Owner) { o.Told(d.To, d.Word, ok, running) })
		}
	}
	w.send(p, to, 80, func() {
		verdict, highest := to.judge(lease.Scope{Duty: handover.Duty(0), About: "g"}, p.Name, h.fence)
		running := 0
		switch verdict {
		case lease.Taken:
			w.accept(to, handover.Duty(0), p.Name, h.fence)
			until := 0.0
			switch d.Word {
			case handover.Release:
				to.guests.Release(0, h.fence, h.number)
			case handover.Hold:
				until = to.guests.Hold(0, h.fence, h.number, d.Most, w.Now+1)
			}
			if d.Word != handover.Look {
				to.carrier.hear(func(r *router.Router) { r.Hold(0, until) })
			}
			for txn, n := range to.carrier.out {
				if n > 0 && w.planned.told[txn] == "in doubt" {
					running++
				}
			}
		case lease.Old:
			w.Late++
		}
		w.send(to, p, 40, func() {
			if verdict == lease.Old {
				p.agent.Refusal(handover.Duty(0), highest)
			}
			end(verdict == lease.Taken, running)
		})
	})
	p.later(500, func() { end(false, 0) })
}

// writesWell checks the group's log: what clients were told is committed is there once, what was declined is not, nothing is there
// twice, and who committed had taken over last.
func (w *World) writesWell() (wrong []string) {
	times, writer := map[string]int{}, ""
	for _, l := range w.planned.log {
		if l.takes {
			writer = l.by
			continue
		}
		if l.by != writer {
			wrong = append(wrong, fmt.Sprintf("%s committed %s while %s had taken over", l.by, l.txn, writer))
		}
		times[l.txn]++
	}
	for n := range w.planned.number {
		id := fmt.Sprint("t", n+1)
		switch how := w.planned.told[id]; {
		case times[id] > 1:
			wrong = append(wrong, fmt.Sprintf("%s is there %d times", id, times[id]))
		case how == "committed" && times[id] == 0:
			wrong = append(wrong, id+" was told to be committed and is lost")
		case how == "declined" && times[id] > 0:
			wrong = append(wrong, id+" was told to be declined and has taken effect")
		}
	}
	return wrong[:min(len(wrong), 5)]
}
