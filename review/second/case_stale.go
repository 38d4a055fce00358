package main

import (
	"context"
	"fmt"
	"time"
)

func init() { cases["stale"] = playStale }

const (
	usualLag  = 10 * time.Millisecond
	thinkTime = 200 * time.Millisecond // between a buyer's write and its read
	lagPeriod = 12 * time.Second
	lagStep   = 100 * time.Millisecond
	lagGrowth = 85 * time.Millisecond // in a step: a log that takes half of the time is applied 13 times more slowly
)

// playStale: a buyer writes and reads its own order back, while the replica applies the log more slowly.
func playStale(ctx context.Context, b *bench) (broken []string, err error) {
	_, members, err := b.newCluster("m0", "m1")
	if err != nil {
		return nil, err
	}
	replica := members[1]
	replica.setLag(usualLag)
	addr, err := b.startPool(ctx, members, "waits", 8)
	if err != nil {
		return nil, err
	}
	buyer, err := b.connectServed(ctx, "buyer", addr)
	if err != nil {
		return nil, err
	}
	defer buyer.close()
	slowed := time.Now()
	if b.trouble {
		b.record("m1", "applies the log more slowly from now on")
		go replica.fallBehind(slowed)
	}
	for n := 0; time.Since(slowed) < lagPeriod; n++ {
		want := fmt.Sprintf("state-%d", n)
		if _, err := buyer.query(ctx, "INSERT INTO rows (handle, blob) VALUES ('order', '"+want+"')"); err != nil {
			continue // it was told that its write failed
		}
		time.Sleep(thinkTime)
		if _, err := buyer.query(ctx, "BEGIN READ ONLY"); err != nil {
			return nil, err
		}
		got, err := buyer.query(ctx, "SELECT blob FROM rows WHERE handle = 'order'")
		if err == nil && got != want {
			broken = append(broken, fmt.Sprintf("the buyer wrote %q, was told that it is committed, and read %q", want, got))
		}
		if _, err := buyer.query(ctx, "ROLLBACK"); err != nil {
			return nil, err
		}
	}
	return broken, nil
}

// fallBehind has a replica apply the log more slowly for lagPeriod.
func (m *member) fallBehind(since time.Time) {
	for lag := usualLag; time.Since(since) < lagPeriod; lag += lagGrowth {
		m.setLag(lag)
		time.Sleep(lagStep)
	}
}
