// Package simadapter plays router instances on the bench's wire: it decodes events, hands their fields to the
// router, pulls its decisions and encodes them.
package simadapter

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"

	"github.com/valyala/fastjson"

	"wayloft/internal/settings"
	"wayloft/router"
)

const alarmKey = "beat"

type instance struct {
	name   string
	router *router.Router
	zero   float64 // the clock time from which positions are counted, in ms
	heard  bool    // it has had an event in this batch
}

type player struct {
	now    float64
	seq    int64
	inside bool
	all    map[string]*instance
	heard  []*instance
	lists  [16][]byte
	out    *bufio.Writer
	parser fastjson.Parser
	rows   fastjson.Parser
	arena  fastjson.Arena
	buf    []byte
}

// Run answers batches from in on out until in ends.
func Run(in io.Reader, out io.Writer) error {
	p := &player{all: map[string]*instance{}, out: bufio.NewWriterSize(out, 1<<16)}
	lines := bufio.NewReaderSize(in, 1<<16)
	for n := 1; ; n++ {
		line, err := lines.ReadBytes('\n')
		if len(bytes.TrimSpace(line)) > 0 {
			if bad := p.line(line); bad != nil {
				return fmt.Errorf("line %d: %w", n, bad)
			}
		}
		if errors.Is(err, io.EOF) {
			if p.inside {
				return fmt.Errorf("line %d: input ends inside a batch", n)
			}
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (p *player) line(line []byte) error {
	v, err := p.parser.ParseBytes(line)
	if err != nil {
		return fmt.Errorf("not JSON: %w", err)
	}
	if v.Type() != fastjson.TypeObject {
		return errors.New("not an object")
	}
	f := &settings.Fields{V: v}
	op := f.Text("op")
	if f.Err != nil {
		return f.Err
	}
	if err := p.event(op, f); err != nil {
		return fmt.Errorf("%s: %w", op, err)
	}
	if f.Err != nil {
		return fmt.Errorf("%s: %w", op, f.Err)
	}
	return nil
}

func (p *player) event(op string, f *settings.Fields) error {
	if op == "BATCH" {
		if p.inside {
			return errors.New("the batch before it has not ended")
		}
		p.inside = true
		p.now = f.Number("wall") / 1000
		p.seq = int64(f.Number("frame"))
		return f.Err
	}
	if !p.inside {
		return errors.New("outside a batch")
	}
	switch op {
	case "EOF_BATCH":
		return p.reply()
	case "SNAPSHOT_ROWS":
		n := int(f.Number("ref"))
		hosts := f.V.Get("hosts")
		if f.Err == nil && (n < 0 || n >= len(p.lists)) {
			return fmt.Errorf("ref %d: must be 0 to %d", n, len(p.lists)-1)
		}
		if f.Err == nil && (hosts == nil || hosts.Type() != fastjson.TypeArray) {
			return errors.New("hosts: must be an array")
		}
		if f.Err == nil {
			p.lists[n] = hosts.MarshalTo(nil)
		}
		return f.Err
	case "BEGIN":
		return p.begin(f)
	case "HALT":
		i := p.instance(f)
		if f.Err == nil {
			delete(p.all, i.name)
		}
		return f.Err
	case "BACKENDS_CHANGED", "JOB_IN", "RETURNED", "CLIENT_GONE", "TIMEOUT_FIRED", "ECHO",
		"FIRST_BYTE", "WHISPER": // the last two ask for nothing here
	default:
		return errors.New("unknown event")
	}
	i := p.instance(f)
	if f.Err != nil {
		return f.Err
	}
	r := i.router
	switch op {
	case "BACKENDS_CHANGED":
		return p.list(i, f)
	case "JOB_IN":
		id, tenant, session, kind := f.Text("call"), f.Maybe("userGroup"), f.Maybe("clientKey"), f.Text("class")
		groupNo, age, ttl := int(f.Number("groupNo")), f.OrZero("tokenAgeMs"), f.Number("ttl")/1000
		marked := f.Flag("retry")
		if f.Err == nil && !r.Arrive(id, tenant, session, kind, groupNo, age, ttl, marked) {
			return fmt.Errorf("class: %q is not in the settings", kind)
		}
	case "RETURNED":
		how := outcome(f)
		role, gtid := router.RoleUnknown, router.Never
		if mark := int64(f.OrZero("mark")); mark != 0 {
			role = router.Role(mark & 3)
			if mark>>2 != 0 {
				gtid = i.zero + float64(mark>>2)
			}
		}
		id, seq, node, rtt := f.Text("call"), int(f.OrZero("seqNo")), f.Text("node"), f.OrZero("rtt")/1000
		if done := f.Flag("terminal"); f.Err == nil {
			r.AttemptEnded(id, seq, how, rtt, done, role, gtid)
			p.report(i, node, f)
		}
	case "ECHO":
		how := outcome(f)
		if node := f.Text("node"); f.Err == nil {
			r.HealthChecked(node, how)
			p.report(i, node, f)
		}
	case "CLIENT_GONE":
		if id := f.Text("call"); f.Err == nil {
			r.ClientGone(id)
		}
	case "TIMEOUT_FIRED":
		r.TimerFired()
	}
	return f.Err
}

var outcomes = map[int]router.Outcome{200: router.Succeeded, 500: router.ServerError, 503: router.Overloaded,
	504: router.TimedOut, 502: router.ConnectFailed, 598: router.Reset, 499: router.Canceled, 410: router.NotSent,
	404: router.Misrouted}

func outcome(f *settings.Fields) router.Outcome {
	code := int(f.Number("how"))
	how, known := outcomes[code]
	if f.Err == nil && !known {
		f.Err = fmt.Errorf("how: unknown outcome %d", code)
	}
	return how
}

func (p *player) report(i *instance, node string, f *settings.Fields) {
	load := &settings.Fields{V: f.V.Get("load")}
	if load.V == nil || load.V.Type() == fastjson.TypeNull {
		return
	}
	if load.V.Type() != fastjson.TypeObject {
		f.Fail("load", "an object")
		return
	}
	if load.V.Exists("x0") {
		role := router.Replica
		if load.OrZero("x1") >= 0.5 {
			role = router.Primary
		}
		i.router.Reported(node, role, i.zero+load.Number("x0")*1000)
	}
	if f.Err == nil {
		f.Err = load.Err
	}
}

func (p *player) list(i *instance, f *settings.Fields) error {
	mode := f.Text("mode")
	switch mode {
	case "X":
		i.router.ListFailed()
		return f.Err
	case "D", "F", "C":
	default:
		if f.Err == nil {
			return fmt.Errorf("mode: unknown %q", mode)
		}
	}
	n := int(f.Number("ref"))
	if f.Err != nil {
		return f.Err
	}
	if n < 0 || n >= len(p.lists) || p.lists[n] == nil {
		return fmt.Errorf("ref: list %d was never set", n)
	}
	rows, err := p.rows.ParseBytes(p.lists[n])
	if err != nil {
		return err
	}
	i.router.BeginList()
	for _, row := range rows.GetArray() {
		e := &settings.Fields{V: row}
		id, zone, groupNo, word := e.Text("node"), e.Maybe("dc"), int(e.OrZero("group")), e.Text("state")
		started := router.Never
		if at := e.OrZero("startTime"); at > 0 {
			started = at / 1000
		}
		if e.Err != nil {
			return fmt.Errorf("ref: list %d: %w", n, e.Err)
		}
		state, known := states[word]
		if !known {
			return fmt.Errorf("ref: list %d: state: unknown %q", n, word)
		}
		i.router.ListMember(id, zone, groupNo, state, started)
	}
	i.router.EndList(mode != "D")
	return nil
}

var states = map[string]router.State{"up": router.Up, "draining": router.Draining, "removed": router.Removed}

func (p *player) instance(f *settings.Fields) *instance {
	name := f.Text("router")
	i := p.all[name]
	if f.Err == nil && i == nil {
		f.Err = fmt.Errorf("router: %q has not begun", name)
	}
	if i != nil {
		p.hear(i)
	}
	return i
}

func (p *player) hear(i *instance) {
	if !i.heard {
		i.heard = true
		i.router.Advance(p.now)
		p.heard = append(p.heard, i)
	}
}

func (p *player) begin(f *settings.Fields) error {
	name, facts := f.Text("router"), f.V.Get("facts")
	seed := f.V.Get("rngSeed")
	if f.Err != nil {
		return f.Err
	}
	if facts == nil || facts.Type() != fastjson.TypeObject {
		return errors.New("facts: must be an object")
	}
	if seed == nil || seed.Type() != fastjson.TypeNumber {
		return errors.New("rngSeed: must be a number")
	}
	set, host, err := settings.Decode(facts)
	if err != nil {
		return fmt.Errorf("facts: %w", err)
	}
	// A seed beyond 64 bits, or with a sign, still differs from others by its digits.
	n, err := strconv.ParseUint(seed.String(), 10, 64)
	if err != nil {
		n = uint64(int64(seed.GetFloat64()))
	}
	i := &instance{name: name, router: router.New(set, n), zero: host.Zero}
	p.all[name] = i
	p.hear(i)
	return nil
}

// reply pulls the decisions of all instances that have heard something, in the order in which they did.
func (p *player) reply() error {
	for _, i := range p.heard {
		i.heard = false
		if p.all[i.name] != i {
			continue
		}
		for {
			d, more := i.router.Next()
			if !more {
				break
			}
			p.write(i.name, d)
		}
	}
	p.heard = p.heard[:0]
	p.inside = false
	p.buf = append(p.buf[:0], `{"op":"ACK","frame":`...)
	p.buf = strconv.AppendInt(p.buf, p.seq, 10)
	p.buf = append(p.buf, "}\n"...)
	p.out.Write(p.buf)
	return p.out.Flush()
}

var verbs = map[router.Action]string{router.SendAttempt: "HAND_OFF", router.CancelAttempt: "REVOKE",
	router.RejectRequest: "SAY_NO", router.FailRequest: "FAIL", router.HealthCheck: "HEALTH_CHECK",
	router.RequestList: "WATCH", router.CloseIdleConnections: "RELEASE", router.SetTimer: "SET_ALARM"}

func (p *player) write(name string, d router.Decision) {
	p.buf = append(p.buf[:0], '{')
	p.put("op", verbs[d.Action])
	p.put("router", name)
	if d.RequestID != "" {
		p.put("call", d.RequestID)
	}
	if d.Member != "" {
		p.put("node", d.Member)
	}
	switch d.Action {
	case router.SendAttempt:
		if d.Wait > 0 {
			p.putNumber("cap", d.Wait*1000)
		}
	case router.CancelAttempt:
		p.putNumber("seqNo", float64(d.Attempt))
	case router.RejectRequest:
		if d.Wait > 0 {
			p.putNumber("wait", d.Wait*1000)
		}
	case router.RequestList:
		p.buf = append(p.buf, `"on":true,`...)
	case router.SetTimer:
		p.putNumber("time", d.Time*1000)
		p.put("keyBack", alarmKey)
	}
	p.buf[len(p.buf)-1] = '}'
	p.buf = append(p.buf, '\n')
	p.out.Write(p.buf)
}

func (p *player) put(key, text string) {
	p.buf = append(p.buf, '"')
	p.buf = append(p.buf, key...)
	p.buf = append(p.buf, `":`...)
	p.arena.Reset()
	p.buf = p.arena.NewString(text).MarshalTo(p.buf)
	p.buf = append(p.buf, ',')
}

func (p *player) putNumber(key string, x float64) {
	p.buf = append(p.buf, '"')
	p.buf = append(p.buf, key...)
	p.buf = append(p.buf, `":`...)
	p.buf = strconv.AppendInt(p.buf, int64(math.Ceil(x)), 10)
	p.buf = append(p.buf, ',')
}
