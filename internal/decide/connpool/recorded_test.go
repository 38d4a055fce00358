package connpool

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"wayloft/internal/fakes/recording"
)

// recordedPool applies random inputs to a pool and records its decisions.
type recordedPool struct {
	rand        *rand.Rand
	pool        *Pool
	now         float64
	lastRequest int
	conns       map[int]string // state by ID: opening, busy or idle
	connOrder   []int          // IDs of conns in the order of opening
	transcript  strings.Builder
}

// TestRecordedDecisions compares the decisions on random inputs with the recorded ones. The recording is a digest of the transcript,
// so the texts written to the transcript must not change.
func TestRecordedDecisions(t *testing.T) {
	var out strings.Builder
	for seed := range uint64(16) {
		settings := Settings{MaxTotal: 12, Seed: seed, Pools: map[string]Bounds{
			"statements": StatementBounds(4000),
			"cancels":    CancelBounds(500),
			"a":          {PerMember: 3, Total: 6, MinIdle: 1, WaitTimeoutMs: 300, IdleTimeoutMs: 2000, MaxAgeMs: 8000, MaxUses: 9, ReuseDelayMs: 2, IdleInTransactionTimeoutMs: 900},
			"b":          {PerMember: 4, WaitTimeoutMs: 800, IdleTimeoutMs: 1000, IdleInTransactionTimeoutMs: 400},
		}}
		if seed%2 == 1 {
			settings.MaxPerMember = 5
		}
		r := &recordedPool{rand: rand.New(rand.NewPCG(seed, 2)), pool: New(settings), now: 1e6, conns: map[int]string{}}
		for _, member := range recordedMembers {
			r.pool.MemberListed(member, true)
		}
		for step := range 1000 {
			fmt.Fprintf(&r.transcript, "%d %d ", seed, step)
			r.step()
		}
		out.WriteString(r.transcript.String())
	}
	recording.Compare(t, "recorded-decisions.digest", out.String())
}

var recordedMembers = []string{"m1", "m2", "m3"}

func (r *recordedPool) step() {
	if r.rand.IntN(3) == 0 {
		r.now += float64(r.rand.IntN(400))
	} else {
		r.now += float64(r.rand.IntN(4))
	}
	r.pool.Advance(r.now)
	fmt.Fprintf(&r.transcript, "at %v ", r.now)
	r.input()
	for d, ok := r.pool.Next(); ok; d, ok = r.pool.Next() {
		fmt.Fprintf(&r.transcript, "[%d conn %d %v want %q reason %d fresh %v] ", d.Action, d.Conn, d.Key, d.RequestID, d.Reason, d.Unsettled)
		switch d.Action {
		case Open:
			r.conns[d.Conn] = "opening"
			r.connOrder = append(r.connOrder, d.Conn)
		case Assign:
			r.conns[d.Conn] = "busy"
		case Close:
			r.removeConn(d.Conn)
		case CloseIdleInTransaction:
			r.pool.ConnectionClosed(d.Conn)
			r.removeConn(d.Conn)
		}
	}
	fmt.Fprintf(&r.transcript, "| open %d waiting %d idle %d %d %d deadline %v sweep %v\n", r.pool.ConnectionCount(), r.pool.WaitingCount(), r.pool.IdleCount("m1"), r.pool.IdleCount("m2"),
		r.pool.IdleCount("m3"), r.pool.NextDeadline(), r.pool.NextSweep())
}

func (r *recordedPool) removeConn(conn int) {
	delete(r.conns, conn)
	for n, opened := range r.connOrder {
		if opened == conn {
			r.connOrder = append(r.connOrder[:n:n], r.connOrder[n+1:]...)
			return
		}
	}
}

// drawConn returns a random connection in the given state; 0 if there is none.
func (r *recordedPool) drawConn(state string) int {
	var all []int
	for _, conn := range r.connOrder {
		if r.conns[conn] == state {
			all = append(all, conn)
		}
	}
	if len(all) == 0 {
		return 0
	}
	return all[r.rand.IntN(len(all))]
}

func (r *recordedPool) input() {
	member := recordedMembers[r.rand.IntN(3)]
	switch choice := r.rand.IntN(100); {
	case choice < 35:
		r.lastRequest++
		request := Request{ID: fmt.Sprint("w", r.lastRequest), Key: Key{member, []string{"statements", "cancels", "a", "b", "a", "b"}[r.rand.IntN(6)]},
			Tenant: fmt.Sprint("t", r.rand.IntN(3))}
		if r.rand.IntN(2) == 0 {
			request.Affinity = r.rand.IntN(3)
		}
		r.pool.Request(request)
		fmt.Fprintf(&r.transcript, "request %v ", request)
	case choice < 39:
		id := fmt.Sprint("w", max(1, r.lastRequest-r.rand.IntN(4)))
		r.pool.Cancel(id)
		fmt.Fprintf(&r.transcript, "cancel %s ", id)
	case choice < 58:
		conn := r.drawConn("opening")
		r.pool.Opened(conn)
		if conn > 0 {
			r.conns[conn] = "idle"
		}
		fmt.Fprintf(&r.transcript, "opened %d ", conn)
	case choice < 65:
		conn, cause := r.drawConn("opening"), FailureCause(r.rand.IntN(3))
		r.pool.OpenFailed(conn, cause)
		r.removeConn(conn)
		fmt.Fprintf(&r.transcript, "failed %d %d ", conn, cause)
	case choice < 84:
		conn, affinity := r.drawConn("busy"), r.rand.IntN(3)
		if conn > 0 {
			r.conns[conn] = "idle"
		}
		r.pool.Release(conn, affinity)
		fmt.Fprintf(&r.transcript, "free %d %d ", conn, affinity)
	case choice < 88:
		conn, awaitingClient := r.drawConn("busy"), r.rand.IntN(2) == 0
		r.pool.SetAwaitingClient(conn, awaitingClient)
		fmt.Fprintf(&r.transcript, "turn %d %v ", conn, awaitingClient)
	case choice < 92:
		conn := r.drawConn([]string{"busy", "idle", "opening"}[r.rand.IntN(3)])
		r.pool.ConnectionClosed(conn)
		r.removeConn(conn)
		fmt.Fprintf(&r.transcript, "gone %d ", conn)
	case choice < 94:
		listed := r.rand.IntN(3) > 0
		r.pool.MemberListed(member, listed)
		fmt.Fprintf(&r.transcript, "listed %s %v ", member, listed)
	case choice < 95:
		r.pool.RetireConnections(member)
		fmt.Fprintf(&r.transcript, "renew %s ", member)
	case choice < 96:
		r.pool.CloseIdle(member)
		fmt.Fprintf(&r.transcript, "close idle %s ", member)
	default:
		r.pool.MemberListed(member, true)
		fmt.Fprintf(&r.transcript, "wait ")
	}
}
