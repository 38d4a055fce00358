package hostile

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

var (
	seeds    = flag.Int("seeds", 1, "number of seeds for which each kind of hostile client is played")
	duration = flag.Duration("duration", 2*time.Second, "how long the hostile clients stay")
)

// Least limits that the platform names, with the most descriptors.
const (
	leastMemoryMiB  = 32
	mostDescriptors = 1024
)

// maxRuns limits the runs that go on at a time: each loads several cores.
const maxRuns = 3

var runSlots = make(chan struct{}, maxRuns)

// program is the path of the wayloft binary, linked as on the platform and without the race detector, which would multiply its memory.
var program string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	directory, err := os.MkdirTemp("", "wayloft-hostile-test-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }() // a leftover in the temporary directory does no harm
	program = filepath.Join(directory, "wayloft")
	if out, err := exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", program, "wayloft/cmd/wayloft").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// play lets each kind of hostile client loose on a router of each form, and fails the test for each target that is missed.
func play(t *testing.T, peers ...string) {
	for _, form := range []Form{Platform, Pool} {
		for _, peer := range Peers(form) {
			for _, name := range peers {
				if peer.Name == name {
					t.Run(fmt.Sprintf("%s, %s", form, name), func(t *testing.T) {
						t.Parallel()
						runSlots <- struct{}{}
						defer func() { <-runSlots }()
						playPeer(t, form, peer)
					})
				}
			}
		}
	}
}

func playPeer(t *testing.T, form Form, peer Peer) {
	for seed := range *seeds {
		run := Run{Program: program, Form: form, MemoryMiB: leastMemoryMiB, Descriptors: mostDescriptors, Peer: peer, Duration: *duration, Seed: int64(seed)}
		row, err := run.Measure(context.Background())
		if err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		for _, failure := range row.Failures() {
			t.Errorf("seed %d: %s", seed, failure)
		}
	}
}

// Guards against a client whose requests for encryption are answered one by one without a limit: others got no response.
func TestFlood_EncryptionRequests(t *testing.T) { play(t, "asks for encryption") }

// Guards against messages that need no member, whose answers are written one by one: others got no response.
func TestFlood_MessagesAnsweredLocally(t *testing.T) {
	play(t, "empty queries", "unsound statements", "syncs", "flushes")
}

// Guards against memory that grows with what a client sends at full speed.
func TestFlood_RequestsAndNoise(t *testing.T) {
	play(t, "large queries", "noise", "new names", "new ids", "new ids ahead", "new settings", "new statements", "binds, short fields")
}

// Guards against the cost of clients that connect, say one thing and leave, over and over.
func TestFlood_Connections(t *testing.T) { play(t, "reconnects", "cancels") }

// Guards against incomplete requests of hundreds of clients, whose buffers took several times the memory limit.
func TestCrowd_IncompleteRequests(t *testing.T) {
	play(t, "half a large request", "slow writers", "parts without a sync")
}

// Guards against messages of very many short fields.
func TestCrowd_ShortFields(t *testing.T) {
	play(t, "startup, short fields", "logins, short fields", "comment, short fields")
}

// Guards against requests that are sent on after their client has closed its connection, and ids that run twice when they come again.
func TestLeavers(t *testing.T) { play(t, "leaves, much unread", "same id again") }

// Guards against responses that clients don't read.
func TestCrowd_UnreadResponses(t *testing.T) { play(t, "never read") }
