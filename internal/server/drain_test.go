//go:build debug

package server

import (
	"fmt"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"wayloft/internal/failpoint"
	"wayloft/internal/fakes"
	"wayloft/internal/pg"
)

// A deployment with short deadlines is told to end while its members hang, and its clients go on sending on each connection for as
// long as it is open: whatever was read has its answer before the process may be killed.
func TestDrainWithShortDeadlines(t *testing.T) {
	const longest = 300 * time.Millisecond
	addr, term, ended := startWith(t, []string{`"deadline":3000000`, `"deadline":300000`, `"target":500000`, `"target":200000`},
		"127.0.0.1:1", 256, member(t).Addr)
	var read, ignored atomic.Int64
	defer failpoint.Set("clients.query", func() { read.Add(1) })()
	defer failpoint.Set("clients.ignored", func() { ignored.Add(1) })()
	type result struct {
		asked, answered int
		last            time.Time
	}
	const clients = 12
	results := make(chan result, clients)
	going := make(chan bool, clients)
	for n := range clients {
		one := fakes.NewClient(t, addr, true)
		ahead := 1 + n%3 // requests that it has on their way at once
		go func() {
			var r result
			for {
				for ; r.asked < r.answered+ahead; r.asked++ {
					kind := []string{"look", "put"}[r.asked%2]
					one.Write(pg.AppendQuery(nil, fmt.Sprintf("/* id=%d-%d,c=%s,t=n,d=300,cluster=2 */ SELECT hang", n, r.asked, kind)))
				}
				if strings.HasSuffix(one.Answer(), "closed") {
					results <- r
					return
				}
				if r.answered, r.last = r.answered+1, time.Now(); r.answered == 1 {
					going <- true
				}
			}
		}()
	}
	for range clients {
		<-going
	}
	signalled := time.Now()
	term <- syscall.SIGTERM
	answered := 0
	for range clients {
		r := <-results
		answered += r.answered
		if after := r.last.Sub(signalled); after > longest+700*time.Millisecond {
			t.Errorf("the last answer came %v after the signal", after)
		}
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
	if read.Load() != int64(answered) || ignored.Load() > 0 {
		t.Errorf("%d requests were read, and %d answered; %d pieces were read and ignored", read.Load(), answered, ignored.Load())
	}
}
