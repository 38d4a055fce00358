package raftnode

import "wayloft/internal/decide/leasestate"

// maxMissedTicks is how many ticks a node may miss and still make up for.
const maxMissedTicks = 3

// Advance passes in the time, in ms on a monotonic clock that also runs while the machine sleeps.
func (n *Node) Advance(now float64) {
	if n.lastTick == 0 {
		n.lastTick, n.now = now, now
	}
	n.now = max(n.now, now)
	// A process that was paused doesn't make up for all the ticks that it missed: messages of its peers, which wait already, must count
	// before an election begins.
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

// advanceLeader proposes what is due by the leader's time.
func (n *Node) advanceLeader(ticked, paused bool) {
	if paused { // it may have missed heartbeats: as a new leader, it gives all sessions their whole timeout
		n.beginTerm()
	}
	untilExpiry, anySession := n.state.UntilExpiry()
	// A heartbeat that came in time must not find its session expired by the time that passed while it waited. The one tick more is for
	// entries that are proposed and not applied: untilExpiry doesn't count the time that they advance by.
	expiresSoon := anySession && n.NextDeadline()+n.settings.Tick-n.lastEntryTime > float64(untilExpiry)
	if ticked || n.flushHeartbeats || expiresSoon {
		n.proposeHeartbeats()
	}
	if anySession && !n.advanceTimePending && n.now-n.lastEntryTime > float64(untilExpiry) {
		n.advanceTimePending = n.propose(leasestate.Entry{Kind: leasestate.AdvanceTime}, 0, nil) == nil
	}
}

// NextDeadline returns the time at which Advance must be called again at the latest.
func (n *Node) NextDeadline() float64 { return n.lastTick + n.settings.Tick }

// beginTerm begins the account of time of a new leader.
func (n *Node) beginTerm() {
	n.lastEntryTime = n.now
	epoch := max(n.settings.Epoch, n.settings.KnownEpoch+1)
	// An entry that raft drops needs no other: a node that leads again proposes a new one.
	_ = n.propose(leasestate.Entry{Kind: leasestate.BeginTerm, Epoch: epoch}, 0, nil)
}
