// Command second runs the cases of the second review: each starts the router by the deploy file's run line, with stand-ins for clients,
// members and discovery in this process, and judges what clients and members see.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotRun   = 2
	longestCase  = 110 * time.Second
	troubleOff   = "0"
	recordEnvKey = "RECORD"
)

// caseFunc runs a case. It returns what broke the rule, or nothing if the rule held.
type caseFunc func(ctx context.Context, b *bench) (broken []string, err error)

var cases = map[string]caseFunc{}

func main() {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review2 CASE")
		os.Exit(exitNotRun)
	}
	os.Exit(run(cases[os.Args[1]]))
}

func run(play caseFunc) int {
	ctx, cancel := context.WithTimeout(context.Background(), longestCase)
	defer cancel()
	b, err := newBench(ctx, os.Getenv("TROUBLE") != troubleOff)
	if err != nil {
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitNotRun
	}
	defer b.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		b.close()
		os.Exit(exitNotRun)
	}()
	broken, err := play(ctx, b)
	switch {
	case err != nil:
		b.record("result", "could not run: %v", err)
		return exitNotRun
	case len(broken) > 0:
		for _, text := range broken {
			b.record("result", "BROKEN: %s", text)
		}
		return exitBroken
	}
	b.record("result", "held")
	return exitHeld
}
