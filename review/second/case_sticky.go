package main

import (
	"context"
	"fmt"
	"strings"
	"time"
)

func init() { cases["sticky"] = playSticky }

// playSticky: a buyer of a pool by session reads what only the primary may answer, while the primary is replaced and the log is applied
// more slowly.
func playSticky(ctx context.Context, b *bench) (broken []string, err error) {
	_, members, err := b.newCluster("m0", "m1")
	if err != nil {
		return nil, err
	}
	addr, err := freeAddress()
	if err != nil {
		return nil, err
	}
	var config strings.Builder
	fmt.Fprintf(&config, strings.Replace(poolConfig, `form = "transaction"`, `form = "session"`, 1), addr, "answers", "", 8)
	for _, m := range members {
		fmt.Fprintf(&config, "\n[[members]]\nid = %q\naddress = %q\n", m.name, m.addr)
	}
	if err := b.startRouter(ctx, "router-1", addr, "wayloft.toml", config.String()); err != nil {
		return nil, err
	}
	reader, err := b.connectServed(ctx, "reader", addr)
	if err != nil {
		return nil, err
	}
	defer reader.close()
	if b.trouble {
		members[0].setPrimary(false)
		time.Sleep(handOver)
		members[1].setPrimary(true)
		go members[0].fallBehind(time.Now())
		time.Sleep(2 * time.Second)
	}
	other, err := b.startPool(ctx, members, "answers", 8)
	if err != nil {
		return nil, err
	}
	writer, err := b.connectServed(ctx, "writer", other)
	if err != nil {
		return nil, err
	}
	defer writer.close()
	for n := range 8 {
		want := fmt.Sprintf("price-%d", n)
		if _, err := writer.query(ctx, "INSERT INTO rows (handle, blob) VALUES ('cleat', '"+want+"')"); err != nil {
			continue
		}
		time.Sleep(500 * time.Millisecond)
		if got, err := reader.query(ctx, "SELECT blob FROM rows WHERE handle = 'cleat'"); err == nil && got != want {
			broken = append(broken, fmt.Sprintf("%q was committed 500 ms before; a read of the type that goes to the primary gave %q", want, got))
		}
	}
	return broken, nil
}
