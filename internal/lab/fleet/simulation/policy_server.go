package simulation

import (
	"maps"

	"google.golang.org/protobuf/proto"

	"wayloft/internal/decide/leaseclient"
	"wayloft/internal/decide/policy"
	"wayloft/internal/rpc"
)

const (
	// pushDelayMs is the delay between a change of the lease state and the notification of watchers.
	pushDelayMs = 5
	// maxDuplicateDelayMs is the maximum delay of a duplicated message.
	maxDuplicateDelayMs = 1500
	maxCachedChunks     = 64
)

// policyServer is the state with which a coordinator node notifies watchers and serves the policy.
type policyServer struct {
	watchers       []*watcher
	pushedIndex    uint64 // index up to which watchers were notified
	pushPending    bool
	corruptsChunks bool // a fault: the node serves bytes that differ from those of the version
	chunks         []policyChunk
}

// watcher is one watch of a router.
type watcher struct {
	process     *Process
	incarnation int
	stream      int
	sequence    int    // of the latest message
	sinceIndex  uint64 // index up to which the router was notified
}

// policyChunk is a cached compressed response, from which fetches are served part by part.
type policyChunk struct {
	base    uint64
	version policy.Version
	full    bool
	bytes   []byte
}

// sendChanges notifies a watcher of the changes since its previous notification.
func (p *Process) sendChanges(to *watcher) {
	update, index := leaseclient.Changes(p.node.State(), to.sinceIndex, true)
	to.sinceIndex = index
	if update.Complete || len(update.Leases)+len(update.Policies) > 0 {
		p.sendUpdate(to, update)
	}
}

// sendUpdate sends a message of a watch. While the network loses messages, it also duplicates some.
func (p *Process) sendUpdate(to *watcher, update leaseclient.Update) {
	w := p.world
	to.sequence++
	sequence := to.sequence
	size := proto.Size(rpc.EncodeUpdate(update))
	deliver := func() {
		if to.process.incarnation == to.incarnation && to.process.policy != nil {
			to.process.updateReceived(to.stream, sequence, update)
		}
	}
	w.send(p, to.process, size, deliver)
	if w.lossProbability > 0 && w.rand.Float64() < w.lossProbability {
		w.After(w.rand.Float64()*maxDuplicateDelayMs, func() { w.send(p, to.process, size, deliver) })
	}
}

// pushChanges notifies all watchers pushDelayMs after the lease state changed.
func (p *Process) pushChanges() {
	if p.pushPending || p.node.State().Index() == p.pushedIndex {
		return
	}
	p.pushPending = true
	p.later(pushDelayMs, func() {
		p.pushPending = false
		events, complete := p.node.State().EventsSince(p.pushedIndex)
		p.pushedIndex = p.node.State().Index()
		if complete && len(events) == 0 {
			return
		}
		if current := p.node.State().Policy(); current.Version.Number > 0 {
			p.world.versionInForce(current.Version, current.Document, current.Changes)
		}
		for _, to := range p.watchers {
			p.sendChanges(to)
		}
	})
}

// sendKeepalives periodically sends an empty update to each watcher.
func (p *Process) sendKeepalives() {
	for _, to := range p.watchers {
		p.sendUpdate(to, leaseclient.Update{})
	}
	p.later(keepaliveIntervalMs, p.sendKeepalives)
}

// servePart returns the requested part of the policy, or false if this node doesn't have it.
func (p *Process) servePart(request policy.Request) (policy.Part, bool) {
	chunk := p.cachedChunk(request)
	if chunk == nil {
		var known bool
		if chunk, known = p.newChunk(request); !known {
			return policy.Part{}, false
		}
		request.Offset = 0
	}
	start := min(request.Offset, len(chunk.bytes))
	end := min(start+request.MaxBytes, len(chunk.bytes))
	part := policy.Part{Version: chunk.version, Full: chunk.full, Offset: start, Total: len(chunk.bytes), Bytes: chunk.bytes[start:end]}
	return part, end > start
}

// cachedChunk returns the latest cached chunk that matches a request for a further part; nil: there is none.
func (p *Process) cachedChunk(request policy.Request) (found *policyChunk) {
	if request.Offset == 0 {
		return nil
	}
	for n := range p.chunks {
		chunk := &p.chunks[n]
		sameBase := chunk.full || chunk.base == request.Have
		if chunk.version.Packed() == request.Want && chunk.full == request.Full && sameBase {
			found = chunk
		}
	}
	return found
}

func (p *Process) newChunk(request policy.Request) (*policyChunk, bool) {
	history := p.node.State().Policy()
	raw, full, known := history.Serve(request)
	if !known {
		return nil, false
	}
	if p.corruptsChunks {
		raw = corruptChunk(raw, full, history.Document)
	}
	chunk := policyChunk{base: request.Have, version: history.Version, full: full, bytes: rpc.Compress(raw)}
	p.chunks = append(p.chunks, chunk)
	if len(p.chunks) > maxCachedChunks {
		p.chunks = p.chunks[1:]
	}
	return &chunk, true
}

// corruptChunk changes a field of a document or of its latest difference.
func corruptChunk(raw []byte, full bool, document policy.Document) []byte {
	const field, value = "over_share_value", "0.9"
	if full {
		changed := maps.Clone(document)
		changed[field] = value
		return changed.Encode()
	}
	changes, _ := policy.DecodeChanges(raw)
	changes[len(changes)-1].Difference = policy.Difference{Set: map[string]string{field: value}}
	return policy.EncodeChanges(changes)
}
