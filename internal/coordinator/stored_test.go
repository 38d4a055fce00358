package coordinator

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"wayloft/internal/decide/leasestate"
	"wayloft/internal/decide/policy"
	"wayloft/internal/decide/raftnode"
	"wayloft/internal/storage"
)

// storedDataDir holds data directories that commit dd13dd4 wrote. Later versions must open them for as long as such data may exist.
const storedDataDir = "testdata/stored-dd13dd4"

// storedNodes are the nodes whose data directories are in storedDataDir.
var storedNodes = []string{"c1", "c2", "c3"}

// unpackStored unpacks a node's stored data directory into a temporary directory.
func unpackStored(t *testing.T, node string) (dir string) {
	t.Helper()
	packed, err := os.Open(filepath.Join(storedDataDir, node+".db.gz"))
	if err != nil {
		t.Fatal(err)
	}
	defer closeAndCheck(t, packed)
	unpacked, err := gzip.NewReader(packed)
	if err != nil {
		t.Fatal(err)
	}
	database, err := io.ReadAll(unpacked)
	if err != nil {
		t.Fatal(err)
	}
	dir = t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "state.db"), database, 0o600); err != nil {
		t.Fatal(err)
	}
	return dir
}

func fixedID() uint64 { return 7 }

// readStored opens a node's stored data directory and reads it.
func readStored(t *testing.T, node string) (storage.Identity, raftnode.Stored, *raftnode.KnownIncarnations) {
	t.Helper()
	store, err := storage.Open(unpackStored(t, node), "lab", node, fixedID)
	if err != nil {
		t.Fatal(err)
	}
	defer closeAndCheck(t, store)
	stored, incarnations, err := ReadStored(store)
	if err != nil {
		t.Fatal(err)
	}
	return store.Identity, stored, incarnations
}

// compareGolden compares a text with a golden file.
func compareGolden(t *testing.T, path, got string) {
	t.Helper()
	golden, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(golden) {
		t.Errorf("%s: got\n%s\nwant\n%s", path, got, golden)
	}
}

// describeState lists the contents of the replicated state machine.
func describeState(out *strings.Builder, state *leasestate.State) {
	fmt.Fprintf(out, "epoch %d index %d time_ms %d refused %d\n", state.Epoch(), state.Index(), state.Now(), state.RejectedOperations())
	for _, name := range state.Sessions() {
		s, _ := state.Session(name)
		fmt.Fprintf(out, "session %s kind %s incarnation %d length_ms %d heard_ms %d address %s policy %s refused %d rejected %s why %q\n", name, s.Role,
			s.Incarnation, s.Timeout, s.LastHeartbeat, s.Address, policy.FormatPacked(s.Policy), s.RejectedOperations, policy.FormatPacked(s.RejectedPolicy), s.Reason)
	}
	for _, name := range state.Leases() {
		d, _ := state.Lease(name)
		fmt.Fprintf(out, "lease %s holder %q token %d.%d since_ms %d queue %q barred %d.%d open %d %q ended %d %q\n", name, d.Holder, d.Token.Epoch,
			d.Token.Count, d.Since, d.Queue, d.ReportedToken.Epoch, d.ReportedToken.Count, d.OpenOrder.Number, d.OpenOrder.Text, d.CompletedOrder.Number, d.CompletedOrder.Text)
		for _, step := range d.Steps {
			fmt.Fprintf(out, "  step %d.%d %q\n", step.Token.Epoch, step.Token.Count, step.Text)
		}
	}
	events, all := state.EventsSince(0)
	fmt.Fprintf(out, "events %d all %t\n", len(events), all)
	for _, e := range events {
		fmt.Fprintf(out, "  event %d session %q ended %t lease %q token %d.%d why %q policy %s\n", e.Index, e.Session, e.Ended, e.Lease, e.Token.Epoch,
			e.Token.Count, e.Reason, policy.FormatPacked(e.Policy))
	}
	describePolicy(out, state.Policy())
}

func describePolicy(out *strings.Builder, history *policy.History) {
	describeVersion(out, "policy", history.Version)
	for _, field := range slices.Sorted(maps.Keys(history.Document)) {
		fmt.Fprintf(out, "  field %s = %s\n", field, history.Document[field])
	}
	fmt.Fprintf(out, "policy barred %s\n", policy.FormatPacked(history.ForeignVersion))
	for _, change := range history.Changes {
		describeVersion(out, "history", change.Version)
		for _, field := range slices.Sorted(maps.Keys(change.Difference.Set)) {
			fmt.Fprintf(out, "  set %s = %s\n", field, change.Difference.Set[field])
		}
		fmt.Fprintf(out, "  removed %q\n", change.Difference.Removed)
	}
}

func describeVersion(out *strings.Builder, what string, v policy.Version) {
	fmt.Fprintf(out, "%s %d.%d hash %x base %s size %d author %q reason %q\n", what, v.Epoch, v.Number, v.Hash, policy.FormatPacked(v.Base), v.Size, v.Author,
		v.Reason)
}

// logRecord is the encoding of an entry in the log. It duplicates the production type to pin the CBOR keys.
type logRecord struct {
	Proposer    uint64   `cbor:"1,keyasint"`
	Request     uint64   `cbor:"2,keyasint"`
	Entry       []byte   `cbor:"3,keyasint"`
	AlsoAnswers []uint64 `cbor:"4,keyasint,omitempty"`
}

// describeEntry lists one entry of the log, and checks that encoding the decoded entry gives the same bytes.
func describeEntry(t *testing.T, out *strings.Builder, entry *raftpb.Entry) {
	t.Helper()
	fmt.Fprintf(out, "entry %d term %d %s", entry.GetIndex(), entry.GetTerm(), entry.GetType())
	defer out.WriteByte('\n')
	if entry.GetType() != raftpb.EntryNormal || len(entry.GetData()) == 0 {
		fmt.Fprintf(out, " %x", entry.GetData())
		return
	}
	var record logRecord
	if err := cbor.Unmarshal(entry.GetData(), &record); err != nil {
		t.Fatalf("entry %d: %v", entry.GetIndex(), err)
	}
	e, err := leasestate.Decode(record.Entry)
	if err != nil {
		t.Fatalf("entry %d: %v", entry.GetIndex(), err)
	}
	if !bytes.Equal(leasestate.Encode(e), record.Entry) {
		t.Errorf("entry %d: encoded again as %x, want %x", entry.GetIndex(), leasestate.Encode(e), record.Entry)
	}
	fmt.Fprintf(out, " by %d number %d also %d kind %s", record.Proposer, record.Request, record.AlsoAnswers, e.Kind)
	fmt.Fprintf(out, " passed_ms %d session %q incarnation %d lease %q token %d.%d", e.Elapsed, e.Session, e.Incarnation, e.Lease, e.Token.Epoch, e.Token.Count)
	for _, n := range e.Heartbeats {
		fmt.Fprintf(out, " heard %s %d refused %d policy %s", n.Session, n.Incarnation, n.RejectedOperations, policy.FormatPacked(n.Policy))
	}
}

// describeStored lists the contents of a node's data directory.
func describeStored(t *testing.T, node string) string {
	t.Helper()
	identity, stored, incarnations := readStored(t, node)
	out := &strings.Builder{}
	fmt.Fprintf(out, "fleet %s node %s directory %016x starts %016x\n", identity.Fleet, identity.Name, identity.StorageID, identity.Incarnations)
	fmt.Fprintf(out, "term %d vote %d commit %d\n", stored.HardState.GetTerm(), stored.HardState.GetVote(), stored.HardState.GetCommit())
	for _, name := range slices.Sorted(maps.Keys(incarnations.Known)) {
		fmt.Fprintf(out, "met %s directory %016x start %016x\n", name, incarnations.Known[name].StorageID, incarnations.Known[name].Incarnation)
	}
	meta := stored.Snapshot.GetMetadata()
	fmt.Fprintf(out, "snapshot index %d term %d voters %d learners %d\n", meta.GetIndex(), meta.GetTerm(), meta.GetConfState().GetVoters(),
		meta.GetConfState().GetLearners())
	peers, state, err := raftnode.DecodeSnapshot("lab", stored.Snapshot)
	if err != nil {
		t.Fatal(err)
	}
	for _, id := range slices.Sorted(maps.Keys(peers)) {
		fmt.Fprintf(out, "peer %d id %d name %s address %s\n", id, peers[id].ID, peers[id].Name, peers[id].Addr)
	}
	describeState(out, state)
	for _, entry := range stored.Entries {
		describeEntry(t, out, entry)
	}
	return out.String()
}

// The data directories that the earlier version wrote are read with all their contents.
func TestStoredNode_IsRead(t *testing.T) {
	for _, node := range storedNodes {
		compareGolden(t, filepath.Join(storedDataDir, node+".golden"), describeStored(t, node))
	}
}

// storedImage is the encoding of a snapshot. It duplicates the production type to pin the CBOR keys.
type storedImage struct {
	Format       uint64                   `cbor:"1,keyasint"`
	Peers        map[uint64]raftnode.Peer `cbor:"2,keyasint"`
	State        []byte                   `cbor:"3,keyasint"`
	RemovedPeers []uint64                 `cbor:"4,keyasint"`
}

// The snapshot, the hard state and the known incarnations of a stored node are encoded again as they were stored: the earlier version can
// read what this one writes, and decoding loses nothing.
func TestStoredNode_EncodesAsStored(t *testing.T) {
	for _, node := range storedNodes {
		store, err := storage.Open(unpackStored(t, node), "lab", node, fixedID)
		if err != nil {
			t.Fatal(err)
		}
		_, values, err := store.Read()
		if err != nil {
			t.Fatal(err)
		}
		read, incarnations, err := ReadStored(store)
		if err != nil {
			t.Fatal(err)
		}
		closeAndCheck(t, store)
		_, state, err := raftnode.DecodeSnapshot("lab", read.Snapshot)
		if err != nil {
			t.Fatal(err)
		}
		var image storedImage
		if err := cbor.Unmarshal(read.Snapshot.GetData(), &image); err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(state.Snapshot(), image.State) {
			t.Errorf("%s: state machine snapshot: encoded as\n%x\nwant\n%x", node, state.Snapshot(), image.State)
		}
		if again := raftnode.EncodeSnapshot(image.Peers, image.RemovedPeers, state); !bytes.Equal(again, read.Snapshot.GetData()) {
			t.Errorf("%s: snapshot: encoded as\n%x\nwant\n%x", node, again, read.Snapshot.GetData())
		}
		hard, err := proto.Marshal(read.HardState)
		if err != nil || !bytes.Equal(hard, values["hard"]) {
			t.Errorf("%s: hard state: encoded as %x, want %x: %v", node, hard, values["hard"], err)
		}
		known, err := cbor.Marshal(incarnations.Known)
		if err != nil || len(known) != len(values["met"]) { // only the length: the order of a map is not fixed
			t.Errorf("%s: known incarnations: encoded as %x, want %x: %v", node, known, values["met"], err)
		}
	}
}

// A node opened from a data directory of the earlier version applies the entries that were committed there.
func TestStoredNode_AppliesWhatWasCommitted(t *testing.T) {
	for _, node := range storedNodes {
		c, err := Open(Settings{Fleet: "lab", Name: node, Dir: unpackStored(t, node), TickMs: 10, SnapshotInterval: 100})
		if err != nil {
			t.Fatal(err)
		}
		c.executeDecisions()
		if c.err != nil {
			t.Error(c.err)
		}
		out := &strings.Builder{}
		describeState(out, c.node.State())
		fmt.Fprintf(out, "applied %d\n", c.node.Applied())
		closeAndCheck(t, c.store)
		compareGolden(t, filepath.Join(storedDataDir, node+".applied.golden"), out.String())
	}
}

// A data directory of the earlier version fails to open if one bit of any named value is flipped.
func TestStoredNode_CorruptedIsRejected(t *testing.T) {
	for _, node := range storedNodes {
		store, err := storage.Open(unpackStored(t, node), "lab", node, fixedID)
		if err != nil {
			t.Fatal(err)
		}
		_, values, err := store.Read()
		if err != nil {
			t.Fatal(err)
		}
		closeAndCheck(t, store)
		for name, value := range values {
			dir := unpackStored(t, node)
			path := filepath.Join(dir, "state.db")
			database, err := os.ReadFile(path)
			if err != nil {
				t.Fatal(err)
			}
			corrupted := slices.Clone(value)
			corrupted[len(corrupted)/2] ^= 1
			if err := os.WriteFile(path, bytes.ReplaceAll(database, value, corrupted), 0o600); err != nil {
				t.Fatal(err)
			}
			c, err := Open(Settings{Fleet: "lab", Name: node, Dir: dir, TickMs: 10, SnapshotInterval: 100})
			if err == nil {
				closeAndCheck(t, c.store)
				t.Errorf("%s: opened although a bit of %s is flipped", node, name)
			}
		}
	}
}
