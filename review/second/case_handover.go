package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["handover"] = playHandover }

const handoverKeys = `council = ["%s"]
name = "fleet"
orders = "%s"

[fleet.handover]
hold = "3s"
step = "1s"
primary = "SELECT wayloft_takes_writes()"
guard = "UPDATE wayloft_guard SET fence = $1 WHERE duty = 'handover' AND fence <= $1"
seen = "SELECT fence FROM wayloft_guard WHERE duty = 'handover'"
yield = "SELECT wayloft_yield()"
take = "SELECT wayloft_take()"
`

const (
	hangLength  = 6800 * time.Millisecond
	givenUp     = 2 * time.Second // after which the cluster gives up a primary that hangs
	takesOver   = 2 * time.Second // after that until a replica takes over
	watchPeriod = 11 * time.Second
	sampleGap   = 2 * time.Second
)

// playHandover: an operator has a switchover from m1 to m2 made. The primary hangs meanwhile; the cluster gives it up, and m3 takes over.
func playHandover(ctx context.Context, b *bench) (broken []string, err error) {
	c, members, err := b.newCluster("m1", "m2", "m3")
	if err != nil {
		return nil, err
	}
	for _, m := range members {
		m.work = writeWork
	}
	coordinators, err := b.startCoordinators()
	if err != nil {
		return nil, err
	}
	orders, err := freeAddress()
	if err != nil {
		return nil, err
	}
	keys := fmt.Sprintf(handoverKeys, strings.Join(coordinators, `", "`), orders)
	addr, err := b.startPoolInFleet(ctx, members, "answers", 8, keys)
	if err != nil {
		return nil, err
	}
	if err := b.awaitLease(ctx, coordinators[0]); err != nil {
		return nil, err
	}
	stop := b.startWriters(ctx, addr)
	time.Sleep(time.Second)
	var once sync.Once
	managed := make(chan struct{})
	if !b.trouble {
		close(managed)
	}
	began := time.Now()
	switchoverErr := b.switchover(ctx, coordinators[0], "m2", func(line string) {
		if b.trouble && strings.Contains(line, "hold") {
			once.Do(func() { go b.hangAndReplace(members[0], members[2], managed) })
		}
	})
	b.record("operator", "the command ended: %v", switchoverErr)
	<-managed
	undone := time.Now()
	time.Sleep(time.Until(began.Add(watchPeriod)))
	first := b.primaries()
	time.Sleep(sampleGap)
	second := b.primaries()
	stop()
	for name, orders := range c.committedSince(undone) {
		b.record("case", "%s has committed %d orders since the switchover ended", name, orders)
	}
	if len(first) > 1 && len(second) > 1 {
		broken = append(broken, fmt.Sprintf("%v both take writes, and still do %v later", first, sampleGap))
	}
	return broken, nil
}

// hangAndReplace has the primary hang, and the cluster replace it: once it comes back it is a replica.
func (b *bench) hangAndReplace(primary, next *member, done chan<- struct{}) {
	primary.hang()
	b.record(primary.name, "hangs")
	time.Sleep(givenUp + takesOver)
	primary.setPrimary(false)
	next.setPrimary(true)
	time.Sleep(hangLength - givenUp - takesOver)
	b.record(primary.name, "comes back, as a replica")
	primary.resume()
	close(done)
}

// startWriters starts clients that write orders until the function that it returns is called.
func (b *bench) startWriters(ctx context.Context, addr string) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var writers sync.WaitGroup
	for n := range 4 {
		writers.Go(func() {
			name := fmt.Sprintf("buyer-%d", n)
			for order := 0; ctx.Err() == nil; order++ {
				c, err := b.connect(ctx, name, addr)
				if err != nil {
					time.Sleep(100 * time.Millisecond)
					continue
				}
				for ; ctx.Err() == nil; order++ {
					if _, err = c.query(ctx, fmt.Sprintf("INSERT INTO rows (handle, blob) VALUES ('%s-%d', 'x')", name, order)); err != nil && sqlState(err) == "" {
						break
					}
					time.Sleep(50 * time.Millisecond)
				}
				c.close()
			}
		})
	}
	return func() {
		cancel()
		writers.Wait()
	}
}

// primaries returns the members that take writes.
func (b *bench) primaries() (names []string) {
	for _, m := range b.members {
		if m.isPrimary() {
			names = append(names, m.name)
		}
	}
	b.record("case", "members that take writes: %v", names)
	return names
}

// committedSince returns how many rows each member has committed since then.
func (c *cluster) committedSince(since time.Time) map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	orders := map[string]int{}
	for _, row := range c.log {
		if row.at > float64(since.UnixMicro())/1000 {
			orders[row.by]++
		}
	}
	return orders
}
