package simulation

import (
	"fmt"
	"maps"
	"math"
	"slices"

	"google.golang.org/protobuf/proto"

	"wayloft/internal/decide/leaseclient"
	"wayloft/internal/decide/leasestate"
	"wayloft/internal/decide/policy"
	"wayloft/internal/decide/raftnode"
	"wayloft/internal/rpc"
)

// MaxControlBytesPerSecond is what control may take of a router's line: bytes in any second, both ways.
const MaxControlBytesPerSecond = 6 << 10

// Each message is counted with so many bytes besides its own: headers of HTTP/2, TCP and IP. Assumed, not measured.
const messageOverheadBytes = 100

// maxPropagationMs is how long the last change of a run, after all faults, may take from being in force until everywhere, ms: a watch that
// fell silent is noticed after four seconds, begun anew, and what is lacking is fetched.
const maxPropagationMs = 10000.0

// PolicyOptions are the policy's part of a run.
type PolicyOptions struct {
	Fields           int     // of the document that the run begins with
	FieldsPerChange  int     // fields that each change sets
	ChangeIntervalMs float64 // ms between two changes, drawn around it
	Regions          bool    // one coordinator node and a third of the routers are cut off from the rest now and then
	RegionCutMs      float64 // ms, for how long
	ZoneRouters      int     // routers that restart at once; 0: none
}

// PolicyResult is what the policy's part of a run came to. Times are ms.
type PolicyResult struct {
	Proposed, Accepted, Rejected, Unknown int
	Applied                               int       // times that some router went by another version
	PropagationMs                         []float64 // of each change, from its proposal until all routers that were up went by it or a later one
	MaxBytesPerSecond                     int       // bytes of one router in one second
	Fetched                               int       // parts
	StaleAnnouncements, HashMismatches    int       // words of older versions, documents whose hash didn't fit, at routers that are up in the end
}

// policyRun is the policy's part of a world.
type policyRun struct {
	PolicyOptions
	operators           []*Process
	documents           map[uint64][32]byte // by mark: the one document that ever stood under it
	went                map[string]bool     // by router and mark: that it went by it
	bytesBySecond       map[string]map[int]int
	proposedMs          map[[32]byte]float64   // by the hash that was asked for
	propagations        map[uint64]propagation // of versions, who has yet to go by one
	acknowledged        map[uint64][][32]byte  // by number: what those who were told that it holds had asked for
	latest              uint64                 // mark of the latest version that is known
	latestPropagationMs float64                // ms for it from being in force until everywhere
	routerDelaysMs      map[uint64][]float64   // by mark: ms from the proposal, of each router that it reached before the next
	partitioned         map[*Process]bool      // a region that is cut off, whatever else is cut and joined again
	totalBytes          int                    // bytes on routers' lines
}

type propagation struct {
	proposedMs, inForceMs float64 // proposed, and in force
	pending               map[string]bool
}

// policyRouter is a router's part.
type policyRouter struct {
	follower      *policy.Follower
	version       policy.Version // that the router really goes by
	document      policy.Document
	stream        int // of the watch, and the place in it
	sequence      int
	brokenStream  int // the stream of which a word was missing
	lastMessageMs float64
	coordinator   *Process
	fetches       int
	nextWakeMs    float64 // when the clock is looked at next
	lastApplyMs   float64 // when what was to be adopted last is
}

// storedPolicy is a router's disk.
type storedPolicy struct {
	version  policy.Version
	document policy.Document
}

type watcher struct {
	process                       *Process
	incarnation, stream, sequence int
	sinceIndex                    uint64
}

func (w *World) startPolicyRun() {
	w.policyRun = &policyRun{PolicyOptions: *w.options.Policy, documents: map[uint64][32]byte{}, went: map[string]bool{}, bytesBySecond: map[string]map[int]int{},
		proposedMs: map[[32]byte]float64{}, propagations: map[uint64]propagation{}, acknowledged: map[uint64][][32]byte{},
		routerDelaysMs: map[uint64][]float64{}}
	for n := range 2 {
		o := &Process{Name: fmt.Sprint("o", n+1), world: w, up: true, incarnation: 1}
		w.policyRun.operators, w.processes[o.Name] = append(w.policyRun.operators, o), o
	}
	w.After(1200, func() {
		w.proposeChange(0, func(policy.Document) policy.Document { return w.randomDocument(w.policyRun.Fields) })
	})
	n := 0
	var next func()
	next = func() {
		if w.Now > w.options.FaultsMs {
			return
		}
		n++
		w.proposeChange(n%2, w.randomChange)
		if w.rand.IntN(4) == 0 { // two at once
			w.proposeChange((n+1)%2, w.randomChange)
		}
		w.After(w.policyRun.ChangeIntervalMs*(0.5+w.rand.Float64()), next)
	}
	if w.policyRun.ChangeIntervalMs > 0 {
		w.After(3000, next)
	}
}

func (w *World) randomDocument(fields int) policy.Document {
	d := policy.Document{"over_share_value": "0.2"}
	for n := range fields {
		d[fmt.Sprintf("tenants.customer-%05d.rate", n)] = policy.FormatNumber(float64(w.rand.IntN(100000)) / 100)
	}
	return d
}

func (w *World) randomChange(old policy.Document) policy.Document {
	d := maps.Clone(old)
	if d == nil {
		d = policy.Document{}
	}
	for range w.policyRun.FieldsPerChange {
		d[fmt.Sprintf("tenants.customer-%05d.rate", w.rand.IntN(max(1, w.policyRun.Fields)))] = policy.FormatNumber(float64(w.rand.IntN(100000)) / 100)
	}
	return d
}

// proposeChange has an operator read what is in force from any process, change it, and propose that until it is told what became
// of it.
func (w *World) proposeChange(operator int, change func(policy.Document) policy.Document) {
	o := w.policyRun.operators[operator]
	c := w.Coordinators[w.rand.IntN(len(w.Coordinators))]
	w.send(o, c, 16, func() {
		b := c.node.State().Policy()
		base, doc := b.Version, b.Document
		w.send(c, o, 16, func() {
			next := change(doc)
			if base.Number == 0 { // nothing yet: or a coordinator that begins anew, where all of it is proposed again
				next = w.randomDocument(w.policyRun.Fields)
			}
			p := policy.Propose(base, doc, next, o.Name, fmt.Sprint("at ", int(w.Now)))
			w.Proposed++
			w.policyRun.proposedMs[p.Hash] = w.Now
			w.submitProposal(o, p, nil, 0)
		})
	})
}

func (w *World) submitProposal(o *Process, p policy.Proposal, to *Process, tries int) {
	if tries > 12 {
		w.Unknown++
		return
	}
	if to == nil {
		to = w.Coordinators[w.rand.IntN(len(w.Coordinators))]
	}
	answered := false
	again := func(next *Process) {
		if !answered {
			answered = true
			w.After(20+w.rand.Float64()*50, func() { w.submitProposal(o, p, next, tries+1) })
		}
	}
	w.send(o, to, p.Difference.Size()+64, func() {
		w.lastRequest++
		e := leasestate.Entry{Kind: leasestate.ProposePolicy, Proposal: &p}
		if w.options.SeededDefects.SkipCompareAndSet { // whatever is in force, the difference goes on top of it
			b := to.node.State().Policy()
			q := p
			if d, err := b.Document.Apply(p.Difference); err == nil {
				q.Base, q.Hash = b.Version.Packed(), d.Hash()
			}
			e.Proposal = &q
		}
		to.requesters[w.lastRequest] = requester{process: o, incarnation: o.incarnation, onDecision: func(d raftnode.Decision) {
			if answered {
				return
			}
			switch {
			case d.Action == raftnode.Redirect:
				again(w.processes[d.Leader.Name])
			case d.Action == raftnode.ResultUnknown:
				again(nil)
			case d.Result.Held:
				answered = true
				w.Accepted++
				w.policyRun.acknowledged[d.Result.Number] = append(w.policyRun.acknowledged[d.Result.Number], p.Hash)
			default:
				answered = true
				w.Rejected++
			}
		}}
		to.node.Advance(to.clock())
		to.node.Propose(w.lastRequest, e)
	})
	w.After(600, func() { again(nil) })
}

// versionInForce takes in that a version is in force, as some coordinator node has it.
func (w *World) versionInForce(v policy.Version, d policy.Document, history []policy.Change) {
	r := w.policyRun
	for _, c := range history {
		if had, known := r.documents[c.Version.Packed()]; known && had != c.Version.Hash {
			w.violation("version %s is two documents", c.Version)
		}
	}
	mark := v.Packed()
	had, known := r.documents[mark]
	if known && had != v.Hash {
		w.violation("version %s is two documents", v)
	}
	if known {
		return
	}
	for _, c := range history {
		r.documents[c.Version.Packed()] = c.Version.Hash
	}
	r.documents[mark], r.latest = v.Hash, max(r.latest, mark)
	if d.Hash() != v.Hash {
		w.violation("version %s: the document isn't of its hash", v)
	}
	since, any := r.proposedMs[v.Hash]
	if !any {
		since = w.Now
	}
	left := map[string]bool{}
	for _, p := range w.Routers {
		if p.up && !p.paused {
			left[p.Name] = true
		}
	}
	r.propagations[mark] = propagation{since, w.Now, left}
}

// versionApplied takes in that a router goes by a document from now on.
func (w *World) versionApplied(p *Process, v policy.Version, d policy.Document) {
	r := w.policyRun
	if had, known := r.documents[v.Packed()]; known && had != d.Hash() && !(p.storeTampered && maps.Equal(d, p.stored.document)) {
		w.violation("%s goes by another document than the one of version %s", p.Name, v)
	}
	if v.Packed() < p.policy.version.Packed() {
		w.violation("%s goes back from %s to %s", p.Name, p.policy.version, v)
	}
	p.policy.version, p.policy.document = v, d
	r.went[p.Name+" "+v.String()] = true
	w.Applied++
	if one, waits := r.propagations[v.Packed()]; waits && one.pending[p.Name] {
		r.routerDelaysMs[v.Packed()] = append(r.routerDelaysMs[v.Packed()], w.Now-one.proposedMs)
	}
	for mark, one := range r.propagations {
		if mark <= v.Packed() && one.pending[p.Name] {
			delete(one.pending, p.Name)
			if len(one.pending) == 0 {
				w.PropagationMs = append(w.PropagationMs, w.Now-one.proposedMs)
				if mark == r.latest {
					r.latestPropagationMs = w.Now - one.inForceMs
				}
				delete(r.propagations, mark)
			}
		}
	}
}

// countBytes counts what a router's line carries.
func (w *World) countBytes(p *Process, bytes int) {
	if p.client == nil {
		return
	}
	by := w.policyRun.bytesBySecond[p.Name]
	if by == nil {
		by = map[int]int{}
		w.policyRun.bytesBySecond[p.Name] = by
	}
	at := int(w.Now / 1000)
	by[at] += bytes + messageOverheadBytes
	w.policyRun.totalBytes += bytes + messageOverheadBytes
	if n := by[at]; n > w.MaxBytesPerSecond {
		w.MaxBytesPerSecond = n
	}
	if len(by) > 4 {
		maps.DeleteFunc(by, func(when, _ int) bool { return when < at-1 })
	}
}

func (p *Process) startPolicyRouter() {
	p.policy = &policyRouter{follower: policy.NewFollower(policy.Settings{Seed: p.world.options.Seed<<20 ^ uint64(p.starts)<<12 ^ uint64(slices.Index(p.world.Routers, p)),
		Decompress: rpc.Decompress, SeededDefects: p.world.options.SeededDefects.Policy})}
	p.policy.follower.Advance(p.clock())
	p.policy.follower.Stored(p.stored.version, p.stored.document)
	p.subscribe()
	p.watchForSilence()
}

// subscribe begins a watch with some coordinator node.
func (p *Process) subscribe() {
	w, r := p.world, p.policy
	if old := r.coordinator; old != nil {
		gone := r.stream
		w.send(p, old, 16, func() {
			old.watchers = slices.DeleteFunc(old.watchers, func(one *watcher) bool { return one.process == p && one.stream == gone })
		})
	}
	w.lastStream++
	r.stream, r.sequence, r.lastMessageMs = w.lastStream, 0, w.Now
	c := w.Coordinators[w.rand.IntN(len(w.Coordinators))]
	r.coordinator = c
	one := &watcher{process: p, incarnation: p.incarnation, stream: r.stream}
	w.send(p, c, 32, func() {
		c.watchers = append(slices.DeleteFunc(c.watchers, func(old *watcher) bool { return old.process == p }), one)
		c.sendChanges(one)
	})
}

// watchForSilence begins another watch where this one has fallen silent.
func (p *Process) watchForSilence() {
	p.later(500, func() {
		if p.world.Now-p.policy.lastMessageMs > 4000 {
			p.subscribe()
		}
		p.watchForSilence()
	})
}

// sendChanges gives one watcher what is new; a word that is empty only each second.
func (p *Process) sendChanges(one *watcher) {
	u, index := leaseclient.Changes(p.node.State(), one.sinceIndex, true)
	if one.sinceIndex = index; !u.Complete && len(u.Leases)+len(u.Policies) == 0 {
		return
	}
	p.sendUpdate(one, u)
}

func (p *Process) sendUpdate(one *watcher, u leaseclient.Update) {
	w := p.world
	one.sequence++
	stream, seq := one.stream, one.sequence
	size := proto.Size(rpc.EncodeUpdate(u))
	deliver := func() {
		if one.process.incarnation == one.incarnation && one.process.policy != nil {
			one.process.updateReceived(stream, seq, u)
		}
	}
	w.send(p, one.process, size, deliver)
	if w.lossProbability > 0 && w.rand.Float64() < w.lossProbability { // twice, and late
		w.After(w.rand.Float64()*1500, func() { w.send(p, one.process, size, deliver) })
	}
}

// pushChanges tells all watchers, 5 ms after the replicated state moved; and an empty word each second.
func (p *Process) pushChanges() {
	if at := p.node.State().Index(); at != p.pushedIndex && !p.pushPending {
		p.pushPending = true
		p.later(5, func() {
			p.pushPending = false
			events, all := p.node.State().Since(p.pushedIndex)
			if p.pushedIndex = p.node.State().Index(); all && len(events) == 0 {
				return
			}
			if b := p.node.State().Policy(); b.Version.Number > 0 {
				p.world.versionInForce(b.Version, b.Document, b.Changes)
			}
			for _, one := range p.watchers {
				p.sendChanges(one)
			}
		})
	}
}

func (p *Process) sendKeepalives() {
	for _, one := range p.watchers {
		p.sendUpdate(one, leaseclient.Update{})
	}
	p.later(1000, p.sendKeepalives)
}

// updateReceived takes a word of the watch. One that is missing ends it; all that come are heard, whatever their order.
func (p *Process) updateReceived(stream, seq int, u leaseclient.Update) {
	r := p.policy
	if stream == r.stream {
		r.lastMessageMs = p.world.Now
		if seq > r.sequence+1 && r.brokenStream != stream {
			r.brokenStream = stream
			p.later(150+p.world.rand.Float64()*300, p.subscribe)
		} else if seq == r.sequence+1 {
			p.client.UpdateReceived(u)
		}
		r.sequence = max(r.sequence, seq)
	}
	r.follower.Advance(p.clock())
	for _, one := range u.Policies {
		r.follower.VersionAnnounced(one.Version, one.Difference)
	}
}

// carryOutPolicy carries out what the follower decides.
func (p *Process) carryOutPolicy() {
	w, r := p.world, p.policy
	r.follower.Advance(p.clock())
	for d, more := r.follower.Next(); more; d, more = r.follower.Next() {
		switch d.Action {
		case policy.Apply:
			r.lastApplyMs = max(r.lastApplyMs, w.Now+0.1+w.rand.ExpFloat64()*3)
			p.later(r.lastApplyMs-w.Now, func() {
				w.versionApplied(p, d.Version, d.Document)
				r.follower.Advance(p.clock())
				r.follower.Applied(d.Version)
			})
		case policy.Acknowledge:
			if d.Applied > r.version.Packed() {
				w.violation("%s says that it goes by %s, and goes by %s", p.Name, policy.FormatPacked(d.Applied), r.version)
			}
			p.client.PolicyApplied(d.Applied, d.Rejected, d.Reason)
		case policy.Store:
			p.later(1+w.rand.ExpFloat64()*5, func() { p.stored, p.storeTampered = storedPolicy{d.Version, d.Document}, false })
		case policy.Fetch:
			p.fetchPolicy(d.Request)
		}
	}
	if at := w.Now + max(r.follower.NextDeadline()-p.clock(), 1); r.nextWakeMs <= w.Now || at < r.nextWakeMs {
		if r.nextWakeMs = at; !math.IsInf(at, 1) {
			p.later(at-w.Now, func() {})
		}
	}
}

func (p *Process) fetchPolicy(q policy.Request) {
	w, r := p.world, p.policy
	c := r.coordinator
	if w.rand.IntN(3) == 0 {
		c = w.Coordinators[w.rand.IntN(len(w.Coordinators))]
	}
	r.fetches++
	number := r.fetches
	w.send(p, c, 60, func() {
		part, known := c.servePart(q)
		w.send(c, p, len(part.Bytes)+60, func() {
			if p.policy != r || r.fetches != number {
				return
			}
			r.fetches++
			r.follower.Advance(p.clock())
			if !known {
				r.follower.FetchFailed()
				return
			}
			w.Fetched++
			r.follower.PartReceived(part)
		})
	})
	p.later(1000, func() {
		if p.policy == r && r.fetches == number {
			r.fetches++
			r.follower.Advance(p.clock())
			r.follower.FetchFailed()
		}
	})
}

type policyChunk struct {
	base    uint64
	version policy.Version
	full    bool
	bytes   []byte
}

// servePart gives what the coordinator's process would; one that is broken gives other bytes under the same version.
func (p *Process) servePart(q policy.Request) (policy.Part, bool) {
	b := p.node.State().Policy()
	var got *policyChunk
	for n := range p.chunks {
		one := &p.chunks[n]
		if q.Offset > 0 && one.version.Packed() == q.Want && one.full == q.Full && (one.full || one.base == q.Have) {
			got = one
		}
	}
	if got == nil {
		raw, whole, known := b.Serve(q)
		if !known {
			return policy.Part{}, false
		}
		if p.corruptsChunks && whole {
			d := maps.Clone(b.Document)
			d["over_share_value"] = "0.9"
			raw = d.Encode()
		} else if p.corruptsChunks {
			all, _ := policy.DecodeChanges(raw)
			all[len(all)-1].Difference = policy.Difference{Set: map[string]string{"over_share_value": "0.9"}}
			raw = policy.EncodeChanges(all)
		}
		p.chunks = append(p.chunks, policyChunk{q.Have, b.Version, whole, nil})
		got = &p.chunks[len(p.chunks)-1]
		if got.bytes = rpc.Compress(raw); len(p.chunks) > 64 {
			got = &policyChunk{q.Have, b.Version, whole, got.bytes}
			p.chunks = p.chunks[1:]
		}
		q.Offset = 0
	}
	at := min(q.Offset, len(got.bytes))
	end := min(at+q.MaxBytes, len(got.bytes))
	return policy.Part{Version: got.version, Full: got.full, Offset: at, Total: len(got.bytes), Bytes: got.bytes[at:end]}, end > at
}

// drawPolicyFaults schedules faults by chance, as draw does, with those that concern a policy.
func (w *World) drawPolicyFaults() {
	kinds := []func() string{w.pauseAny, w.killAny, w.cutLink, w.cutOneWay, w.isolateAny, w.slowAnyDisk, w.dropMessages, w.pauseLeader, w.killLeader, w.restartReceivers,
		w.restartCoordinators, w.isolateFromPeers, w.corruptStores, w.serveCorruptChunks}
	if w.policyRun.ZoneRouters > 0 {
		kinds = append(kinds, w.restartZone)
	}
	for range 3 + w.rand.IntN(6) {
		f := kinds[w.rand.IntN(len(kinds))]
		w.After(1500+w.rand.Float64()*(w.options.FaultsMs-1500), func() { w.Faults[f()]++ })
	}
	if w.policyRun.Regions {
		w.After(4000+w.rand.Float64()*2000, func() { w.Faults[w.partitionRegions()]++ })
	}
	if w.rand.IntN(8) == 0 {
		w.After(4000+w.rand.Float64()*(w.options.FaultsMs-4000), func() { w.WipeCoordinators() })
	}
	w.After(w.options.FaultsMs+3000, func() {
		clear(w.cutLinks)
		w.lossProbability = 0
		for _, c := range w.Coordinators {
			c.corruptsChunks = false
		}
		w.proposeChange(0, w.randomChange) // a last one, that all must come to
		w.After(2500, func() { w.proposeChange(1, w.randomChange) })
	})
}

// isolateFromPeers cuts a coordinator node off from the others, not from the routers: it goes on to tell what it knows.
func (w *World) isolateFromPeers() string {
	c := w.Coordinators[w.rand.IntN(len(w.Coordinators))]
	w.Isolate(c, true, true, w.Coordinators, 2000+w.faultDurationMs()*3)
	return "teller that lags"
}

// corruptStores has a router find something else in its store than was kept: another document, with a hash that fits or not.
func (w *World) corruptStores() string {
	for range 1 + len(w.Routers)/20 {
		p := w.Routers[w.rand.IntN(len(w.Routers))]
		p.Kill()
		if p.stored.version.Number > 0 {
			d := maps.Clone(p.stored.document)
			d["over_share_value"] = "0.7"
			if p.stored.document, p.storeTampered = d, true; w.rand.IntN(2) == 0 {
				p.stored.version.Hash = d.Hash()
			}
		}
		w.After(20+w.rand.Float64()*400, p.start)
	}
	return "store not as it was kept"
}

func (w *World) serveCorruptChunks() string {
	c := w.Coordinators[w.rand.IntN(len(w.Coordinators))]
	c.corruptsChunks, c.chunks = true, nil
	w.After(1000+w.faultDurationMs()*2, func() { c.corruptsChunks, c.chunks = false, nil })
	return "teller that gives other bytes"
}

// restartZone restarts a zone's routers at once, around a change; some of them find nothing kept.
func (w *World) restartZone() string {
	first := w.rand.IntN(max(1, len(w.Routers)-w.policyRun.ZoneRouters+1))
	for _, p := range w.Routers[first : first+w.policyRun.ZoneRouters] {
		if w.rand.IntN(3) == 0 {
			p.stored, p.storeTampered = storedPolicy{}, false
		}
		w.KillFor(p, 200+w.rand.Float64()*300)
	}
	w.After(w.rand.Float64()*600, func() { w.proposeChange(0, w.randomChange) })
	return "zone restarted"
}

// partitionRegions cuts the last coordinator node and a third of the routers off from the others.
func (w *World) partitionRegions() string {
	here := w.Coordinators[len(w.Coordinators)-1:]
	here = append(slices.Clone(here), w.Routers[len(w.Routers)*2/3:]...)
	w.policyRun.partitioned = map[*Process]bool{}
	for _, p := range here {
		w.policyRun.partitioned[p] = true
	}
	w.After(w.policyRun.RegionCutMs, func() { w.policyRun.partitioned = nil })
	return "regions apart"
}

// checkPolicies looks at what is left in the end.
func (w *World) checkPolicies() (wrong []string) {
	r := w.policyRun
	l := w.Leader()
	if l == nil {
		return []string{"nobody leads in the end"}
	}
	b := l.node.State().Policy()
	for _, p := range w.Routers {
		if !p.up || p.paused {
			wrong = append(wrong, p.Name+" is down in the end")
			continue
		}
		w.StaleAnnouncements, w.HashMismatches = w.StaleAnnouncements+p.policy.follower.Stale, w.HashMismatches+p.policy.follower.HashMismatches
		if p.policy.version.Packed() != b.Version.Packed() || p.policy.document.Hash() != b.Version.Hash {
			wrong = append(wrong, fmt.Sprintf("%s goes by %s in the end, %s is in force", p.Name, p.policy.version, b.Version))
		}
		if s, open := l.node.State().Session(p.Name); !open || s.Policy != p.policy.version.Packed() {
			wrong = append(wrong, fmt.Sprintf("%s goes by %s in the end and is known to go by %s (session %v)", p.Name, p.policy.version,
				policy.FormatPacked(s.Policy), open))
		}
	}
	for _, number := range slices.Sorted(maps.Keys(r.acknowledged)) {
		for _, hash := range r.acknowledged[number] {
			found := false
			for mark, had := range r.documents {
				if _, n := policy.SplitPacked(mark); n == number && had == hash {
					found = true
				}
			}
			if !found {
				wrong = append(wrong, fmt.Sprintf("a proposal was told that it is number %d, which is another document than the one that it was for", number))
			}
		}
	}
	if _, waits := r.propagations[r.latest]; waits || r.latestPropagationMs > maxPropagationMs {
		wrong = append(wrong, fmt.Sprintf("the last change, after all faults, was not everywhere in %.0f ms (%.0f)", maxPropagationMs, r.latestPropagationMs))
	}
	if w.MaxBytesPerSecond > MaxControlBytesPerSecond {
		wrong = append(wrong, fmt.Sprintf("%d bytes of one router in a second, %d may be", w.MaxBytesPerSecond, MaxControlBytesPerSecond))
	}
	return wrong[:min(len(wrong), 10)]
}
