package raftnode

import "wayloft/internal/decide/leasestate"

// maxMissedTicks is the largest number of missed ticks that a node makes up for.
const maxMissedTicks = 3

// Advance passes in the time, in ms on a monotonic clock that also runs while the machine sleeps.
func (n *Node) Advance(now float64) {
	if n.lastTick == 0 {
		n.lastTick, n.now = now, now
	}
	n.now = max(n.now, now)
	// A process that was paused doesn't make up for all missed ticks: it must first process the messages of its peers that have arrived in
	// the meantime, or it would begin an election needlessly.
	paused := n.now-n.lastTick > maxMissedTicks*n.settings.Tick
	if paused {
		n.lastTick = n.now - n.settings.Tick
	}
	ticked := false
	for n.now-n.lastTick >= n.settings.Tick {
		n.lastTick += n.settings.Tick
		n.raftNode.Tick()
		ticked = true
	}
	if n.isLeader {
		n.advanceLeader(ticked, paused)
	}
}

// advanceLeader proposes the entries that are due by the leader's clock.
func (n *Node) advanceLeader(ticked, paused bool) {
	if paused { // heartbeats may have been missed: like a new leader, restart the timeouts of all sessions
		n.beginTerm()
	}
	untilExpiry, anySession := n.state.UntilExpiry()
	// A session must not expire while a heartbeat that arrived in time waits to be proposed. One more tick is added because untilExpiry
	// doesn't include the elapsed time of entries that are proposed but not yet applied.
	expiresSoon := anySession && n.NextDeadline()+n.settings.Tick-n.lastEntryTime > float64(untilExpiry)
	if ticked || n.flushHeartbeats || expiresSoon {
		n.proposeHeartbeats()
	}
	if anySession && !n.advanceTimePending && n.now-n.lastEntryTime > float64(untilExpiry) {
		n.advanceTimePending = n.propose(leasestate.Entry{Kind: leasestate.AdvanceTime}, 0, nil) == nil
	}
}

// NextDeadline returns the time by which Advance must be called again.
func (n *Node) NextDeadline() float64 { return n.lastTick + n.settings.Tick }

// beginTerm starts counting elapsed time on this leader's clock and proposes the BeginTerm entry.
func (n *Node) beginTerm() {
	n.lastEntryTime = n.now
	epoch := max(n.settings.Epoch, n.settings.KnownEpoch+1)
	// If raft drops the entry, it isn't retried: a node that becomes the leader again proposes a new one.
	_ = n.propose(leasestate.Entry{Kind: leasestate.BeginTerm, Epoch: epoch}, 0, nil)
}
