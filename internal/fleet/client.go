package fleet

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/leasestate"
	"wayloft/internal/fleetpb"
	"wayloft/internal/rpc"
)

// attemptTimeout is how long one coordinator node has for an answer, before another is asked.
const attemptTimeout = 600 * time.Millisecond

// Client asks the coordinator: whoever leads it, by way of whoever answers.
type Client struct {
	fleet            string
	addrs            []string
	addressOverrides map[string]string
	mu               sync.Mutex
	conns            map[string]*grpc.ClientConn
	leader           string // address of who led when it was last heard

	watched string // address of who is watched, or was last
}

// NewClient makes one; via gives other ways to processes, by name.
func NewClient(fleet string, addrs []string, via map[string]string) *Client {
	return &Client{fleet: fleet, addrs: addrs, addressOverrides: via, conns: map[string]*grpc.ClientConn{}}
}

// Close ends all its connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, conn := range c.conns {
		conn.Close()
	}
	clear(c.conns)
}

func (c *Client) conn(addr string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[addr]; conn != nil {
		return conn, nil
	}
	conn, err := rpc.Dial(addr, c.fleet)
	if err != nil {
		return nil, err
	}
	if len(c.conns) > 4*len(c.addrs)+16 { // addresses that leaders of the past had
		for a, old := range c.conns {
			if !slices.Contains(c.addrs, a) && a != c.leader {
				old.Close()
				delete(c.conns, a)
			}
		}
	}
	c.conns[addr] = conn
	return conn, nil
}

// nextAddress gives the address to ask: of who leads, or any but those that just failed. Guards against a leader that gave no answer once
// and is passed over for good, since the others, who never fail, go on to name it.
func (c *Client) nextAddress(failed map[string]time.Time) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a, at := range failed {
		if time.Since(at) > attemptTimeout {
			delete(failed, a)
		}
	}
	out := func(a string) bool { _, is := failed[a]; return is }
	if c.leader != "" && !out(c.leader) {
		return c.leader
	}
	var left []string
	for _, a := range c.addrs {
		if !out(a) {
			left = append(left, a)
		}
	}
	if len(left) == 0 {
		clear(failed)
		left = c.addrs
	}
	return left[rand.IntN(len(left))]
}

// setLeader notes who leads, and gives the way to it.
func (c *Client) setLeader(name, addr string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if via := c.addressOverrides[name]; via != "" {
		addr = via
	}
	c.leader = addr
	return addr
}

// isFinal tells whether another try, or another process, can't bring another answer.
func isFinal(err error) bool {
	switch status.Code(err) {
	case codes.FailedPrecondition, codes.InvalidArgument, codes.Unimplemented, codes.ResourceExhausted:
		return true
	}
	return false
}

// call calls f with one process after the other until it has answered, or ctx ends.
func (c *Client) call(ctx context.Context, f func(context.Context, fleetpb.CouncilClient) (moved bool, name, addr string, err error)) error {
	failed := map[string]time.Time{}
	var last error
	for n := 0; ; n++ {
		addr := c.nextAddress(failed)
		conn, err := c.conn(addr)
		if err == nil {
			var moved bool
			var name, to string
			one, cancel := context.WithTimeout(ctx, attemptTimeout)
			moved, name, to, err = f(one, fleetpb.NewCouncilClient(conn))
			cancel()
			switch {
			case err == nil && !moved:
				c.setLeader("", addr)
				return nil
			case err == nil && name != "":
				if to = c.setLeader(name, to); to == addr { // it is sent to where it was sent from
					c.setLeader("", "")
				}
				delete(failed, to) // else who was slow once would never be asked again, as long as the others name it
				last = nil
			case err == nil:
				err = errors.New("it knows no leader")
			}
		}
		if err != nil {
			over := isFinal(err)
			if err = fmt.Errorf("council at %s: %s", addr, status.Convert(err).Message()); over {
				return err
			}
			last = err
			failed[addr] = time.Now()
			c.setLeader("", "")
		}
		if ctx.Err() != nil {
			break
		}
		if n >= len(c.addrs) || last != nil {
			select {
			case <-ctx.Done():
			case <-time.After(rpc.Jitter(20 * time.Millisecond)):
			}
		}
		if ctx.Err() != nil {
			break
		}
	}
	if last == nil {
		last = ctx.Err()
	}
	return last
}

// ProposeEntry has an entry proposed.
func (c *Client) ProposeEntry(ctx context.Context, e leasestate.Entry) (a leasestate.Result, err error) {
	got, err := c.request(ctx, &fleetpb.Request{Entry: leasestate.Encode(e)})
	if err != nil {
		return a, err
	}
	return rpc.DecodeResult(got), nil
}

// LatestTokens asks where leases' fencing tokens stand now: one question, whose answer is by one word of a majority, at most agent.MostStands of them.
// The fencing tokens are in the leases' order, never more, and none is left out in between. A process that doesn't know such a question finds
// no entry in it and refuses it, so an older one is never taken to say that all stand at nothing: coordinator nodes are brought up
// to date before routers.
func (c *Client) LatestTokens(ctx context.Context, duties []string) ([]lease.Token, error) {
	a, err := c.request(ctx, &fleetpb.Request{Stands: duties})
	if err != nil {
		return nil, err
	}
	if len(a.Fences) != len(duties) {
		return nil, fmt.Errorf("the council answered with %d fences of %d", len(a.Fences), len(duties))
	}
	fences := make([]lease.Token, 0, len(duties))
	for _, f := range a.Fences {
		fences = append(fences, rpc.DecodeToken(f))
	}
	return fences, nil
}

func (c *Client) request(ctx context.Context, q *fleetpb.Request) (a *fleetpb.Answer, err error) {
	err = c.call(ctx, func(ctx context.Context, to fleetpb.CouncilClient) (bool, string, string, error) {
		var err error
		if a, err = to.Do(ctx, q); err != nil {
			return false, "", "", err
		}
		return a.Moved, a.Leader, a.Address, nil
	})
	return a, err
}

// State gives the state as it is now.
func (c *Client) State(ctx context.Context) (s *fleetpb.State, err error) {
	err = c.call(ctx, func(ctx context.Context, to fleetpb.CouncilClient) (bool, string, string, error) {
		var err error
		if s, err = to.Look(ctx, &fleetpb.Empty{}); err != nil {
			return false, "", "", err
		}
		return s.Moved, s.Leader, s.Address, nil
	})
	return s, err
}

// ChangeMembership has processes join or leave the coordinator.
func (c *Client) ChangeMembership(ctx context.Context, m *fleetpb.Members) (a leasestate.Result, err error) {
	err = c.call(ctx, func(ctx context.Context, to fleetpb.CouncilClient) (bool, string, string, error) {
		got, err := to.Change(ctx, m)
		if err != nil {
			return false, "", "", err
		}
		a = rpc.DecodeResult(got)
		return got.Moved, got.Leader, got.Address, nil
	})
	return a, err
}

// watchSilence is how long a watch may say nothing: an empty word comes each second.
const watchSilence = 4 * time.Second

// Watch hears of what changes from some coordinator node, until ctx ends or it falls silent. What it tells first is all
// there is; without sessions, those of others are left out.
func (c *Client) Watch(ctx context.Context, without bool, deliver func(*fleetpb.Update)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.mu.Lock()
	addr := c.addrs[rand.IntN(len(c.addrs))]
	c.watched = addr
	c.mu.Unlock()
	conn, err := c.conn(addr)
	if err != nil {
		return err
	}
	silent := time.AfterFunc(watchSilence, cancel)
	defer silent.Stop()
	s, err := fleetpb.NewCouncilClient(conn).Watch(ctx, &fleetpb.WatchFrom{WithoutSessions: without})
	for err == nil {
		var u *fleetpb.Update
		if u, err = s.Recv(); err == nil {
			silent.Reset(watchSilence)
			deliver(u)
		}
	}
	return fmt.Errorf("council at %s: %s", addr, status.Convert(err).Message())
}
