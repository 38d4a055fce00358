// Command standins plays the cases of the review: clients, servers and the platform around the project's own router, which runs as a
// process of its own. It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// run is what a case needs to be played.
type run struct {
	root    string // folder of the repository
	dir     string // temporary folder
	rec     *record
	trouble bool // play the disruption
}

// cases returns an error if a case could not run.
var cases = map[string]func(*run) error{
	"1": badClient,
	"2": leavingClient,
	"3": secondCopies,
}

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	longestRun = 110 * time.Second
)

func main() { os.Exit(play()) }

func play() int {
	name := flag.String("case", "", "number of the case")
	root := flag.String("root", ".", "folder of the repository")
	path := flag.String("record", "record.txt", "file for the record")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	played, known := cases[*name]
	if !known {
		return notRun(fmt.Errorf("no case %q", *name))
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return notRun(err)
	}
	defer func() { _ = os.RemoveAll(dir) }() // a leftover folder does no harm
	rec, err := openRecord(*path)
	if err != nil {
		return notRun(err)
	}
	defer stopAll()
	if err = playWithin(longestRun, func() error { return played(&run{*root, dir, rec, *trouble}) }); err != nil {
		rec.line("could not run: %v", err)
	}
	if closeErr := rec.close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return notRun(err)
	}
	fmt.Printf("case %s, trouble %v: the rule was broken %d times\n", *name, *trouble, len(rec.breaks))
	if len(rec.breaks) > 0 {
		fmt.Println("first:", rec.breaks[0])
		return exitBroken
	}
	return exitHeld
}

// playWithin plays a case, and gives up after some time or at a signal.
func playWithin(limit time.Duration, played func() error) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	done := make(chan error, 1)
	go func() { done <- played() }()
	select {
	case err := <-done:
		return err
	case sig := <-signals:
		return fmt.Errorf("ended by a signal: %v", sig)
	case <-time.After(limit):
		return fmt.Errorf("not done after %v", limit)
	}
}

func notRun(err error) int {
	fmt.Fprintln(os.Stderr, "could not run:", err)
	return exitNotRun
}
