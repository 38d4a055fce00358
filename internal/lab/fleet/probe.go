package fleet

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"wayloft/internal/decide/leasestate"
	client "wayloft/internal/fleet"
	"wayloft/internal/lab/fleet/simulation"
)

const (
	probeLease          = "probe"
	probeRole           = "probe"
	probeClients        = 3
	probeSessionTimeout = 60000 // ms
	probeRequestTimeout = 3 * time.Second
	probePause          = 5 * time.Millisecond
	minProbeResponses   = 20 // a shorter history would prove nothing
)

// Kinds of operations in a history.
const (
	acquireOperation = simulation.AcquireOperation
	readOperation    = simulation.ReadOperation
)

// Probe runs clients of the coordinator that repeatedly acquire and release one lease and read its latest token while faults are injected.
// Check reports whether the history of responses is linearizable.
type Probe struct {
	mu         sync.Mutex
	operations []simulation.Operation
	cancel     context.CancelFunc
	clients    sync.WaitGroup
}

// NewProbe starts a probe of a fleet's coordinator.
func NewProbe(fleet string, addresses []string) *Probe {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Probe{cancel: cancel}
	started := time.Now()
	for n := range probeClients {
		c := &probeClient{probe: p, client: client.NewClient(fleet, addresses, nil), number: n, session: fmt.Sprint("probe", n), started: started}
		p.clients.Go(func() { c.run(ctx) })
	}
	return p
}

// Stop ends the clients.
func (p *Probe) Stop() {
	p.cancel()
	p.clients.Wait()
}

// WaitForRequests waits until there are twice as many responses as Check needs.
func (p *Probe) WaitForRequests() error {
	return WaitUntil("responses of the coordinator", func() (bool, error) {
		p.mu.Lock()
		defer p.mu.Unlock()
		return len(p.operations) >= 2*minProbeResponses, nil
	})
}

// Check returns the violations in the history.
func (p *Probe) Check() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.operations) < minProbeResponses {
		return []string{fmt.Sprintf("the coordinator sent only %d responses", len(p.operations))}
	}
	return simulation.CheckLinearizable(p.operations)
}

func (p *Probe) record(operation simulation.Operation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.operations = append(p.operations, operation)
}

// probeClient is one client with its own session.
type probeClient struct {
	probe    *Probe
	client   *client.Client
	number   int
	session  string
	started  time.Time
	acquired simulation.Operation // the latest acquisition with a response
}

// run cycles through opening the session, acquiring, reading and releasing until ctx is done.
func (c *probeClient) run(ctx context.Context) {
	defer c.client.Close()
	requests := []func(context.Context) error{c.openSession, c.acquire, c.read, c.release}
	for turn := 0; ctx.Err() == nil; turn++ {
		requestCtx, cancel := context.WithTimeout(ctx, probeRequestTimeout)
		if err := requests[turn%len(requests)](requestCtx); err != nil {
			logrus.WithError(err).WithField("session", c.session).Debug("request failed")
		}
		cancel()
		time.Sleep(probePause)
	}
}

// nowMs returns the time since the probe's start in ms.
func (c *probeClient) nowMs() float64 { return float64(time.Since(c.started).Microseconds()) / 1000 }

// entry returns an entry of this client's session.
func (c *probeClient) entry(kind leasestate.Kind) leasestate.Entry {
	return leasestate.Entry{Kind: kind, Session: c.session, Incarnation: 1, Lease: probeLease}
}

// newOperation returns an operation that starts now and has no response yet.
func (c *probeClient) newOperation(kind string) simulation.Operation {
	return simulation.Operation{Client: c.number, Kind: kind, Lease: probeLease, Session: c.session, StartedMs: c.nowMs(), EndedMs: -1}
}

func (c *probeClient) openSession(ctx context.Context) error {
	entry := c.entry(leasestate.OpenSession)
	entry.Role, entry.Timeout = probeRole, probeSessionTimeout
	_, err := c.client.ProposeEntry(ctx, entry)
	return err
}

func (c *probeClient) acquire(ctx context.Context) error {
	operation := c.newOperation(acquireOperation)
	result, err := c.client.ProposeEntry(ctx, c.entry(leasestate.AcquireLease))
	if err != nil || result.Rejection == leasestate.RejectedNoSession {
		return err
	}
	operation.EndedMs, operation.Held, operation.Token = c.nowMs(), result.Held, result.Token
	c.probe.record(operation)
	c.acquired = operation
	return nil
}

func (c *probeClient) read(ctx context.Context) error {
	operation := c.newOperation(readOperation)
	tokens, err := c.client.LatestTokens(ctx, []string{probeLease})
	if err != nil {
		return err
	}
	operation.EndedMs, operation.Token = c.nowMs(), tokens[0]
	c.probe.record(operation)
	return nil
}

// release releases the lease if the latest response made this client its holder. Releases are not part of the history.
func (c *probeClient) release(ctx context.Context) error {
	if !c.acquired.Held {
		return nil
	}
	entry := c.entry(leasestate.ReleaseLease)
	entry.Token = c.acquired.Token
	_, err := c.client.ProposeEntry(ctx, entry)
	return err
}
