package rpc

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"

	"wayloft/internal/decide/leaseclient"
	"wayloft/internal/decide/leasestate"
	"wayloft/internal/decide/policy"
	"wayloft/internal/decide/switchover"
	"wayloft/internal/fleetpb"
)

// Compressed content is restored by Decompress, which rejects content above the size limit and malformed input.
func TestCompress_RoundTripAndLimits(t *testing.T) {
	long := bytes.Repeat([]byte("tenants.acme.rate"), 20000)
	compressed := Compress(long)
	if got, err := Decompress(compressed, len(long)); err != nil || !bytes.Equal(got, long) || len(compressed) > len(long)/100 {
		t.Error(len(got), len(compressed), err)
	}
	if got, err := Decompress(compressed, len(long)/2); err == nil {
		t.Error(len(got), "bytes decompressed despite the size limit")
	}
	noise := make([]byte, policy.MaxHistoryBytes) // the largest content that is compressed, incompressible
	if _, err := rand.NewChaCha8([32]byte{1}).Read(noise); err != nil {
		t.Fatal(err)
	}
	for _, n := range []int{1, policy.MaxDocumentBytes - 1, policy.MaxDocumentBytes, policy.MaxHistoryBytes} {
		if got, err := Decompress(Compress(noise[:n]), max(n, policy.MaxDocumentBytes)); err != nil || !bytes.Equal(got, noise[:n]) {
			t.Errorf("%d bytes: got %d, %v", n, len(got), err)
		}
	}
	for _, bad := range [][]byte{[]byte("not compressed at all"), compressed[:len(compressed)/2]} {
		if _, err := Decompress(bad, 1<<20); err == nil {
			t.Errorf("accepted %d malformed bytes", len(bad))
		}
	}
}

func TestPolicy_RoundTripAndRejections(t *testing.T) {
	version := policy.Version{Epoch: 3, Number: 4, Hash: [32]byte{5}, Base: 6, Size: 7, Author: "a", Reason: "r"}
	sent := policy.Difference{Set: map[string]string{"over_share_value": "0.2"}, Removed: []string{"tenants.a.rate"}}
	got, received, err := DecodePolicy(EncodePolicy(version, &sent))
	if err != nil || got != version || received.Set["over_share_value"] != "0.2" || len(received.Removed) != 1 {
		t.Error(got, received, err)
	}
	if _, received, err := DecodePolicy(EncodePolicy(version, nil)); received != nil || err != nil {
		t.Error(received, err)
	}
	for name, message := range map[string]*fleetpb.Policy{
		"nil message accepted":         nil,
		"short hash accepted":          {Hash: []byte{1}},
		"number out of range accepted": {Hash: make([]byte, 32), Number: 1 << 40},
		"invalid difference accepted":  {Hash: make([]byte, 32), Told: true, Difference: []byte{0xff}},
	} {
		if _, _, err := DecodePolicy(message); err == nil {
			t.Error(name)
		}
	}
}

// Checks the size of the first update of a watch in a fleet of 610 routers and 164 groups with two leases each. Sessions are two thirds of
// it, and a router that places no orders doesn't need them. At a budget of 6 KB/s the rest must arrive within a few seconds.
func TestUpdate_SizeForAFleet(t *testing.T) {
	state := leasestate.New("f")
	index := uint64(0)
	apply := func(entry leasestate.Entry) {
		index++
		if result := state.Apply(index, entry); !result.Held {
			t.Fatal(entry, result)
		}
	}
	session := func(name string, incarnation, policy uint64) leasestate.Entry {
		return leasestate.Entry{Kind: leasestate.OpenSession, Session: name, Incarnation: incarnation, Timeout: 2000, Role: "router",
			Address: "10.20.30.40:7101", Policy: policy}
	}
	for n := range 610 {
		name := fmt.Sprintf("router-%03d", n)
		apply(session(name, 1764547200000, 94000000<<32))
		if n < 328 {
			apply(leasestate.Entry{Kind: leasestate.AcquireLease, Session: name, Incarnation: 1764547200000, Lease: switchover.LeaseName(n)})
		}
	}
	size := func(since uint64, withoutSessions bool) int {
		update, _ := leaseclient.Changes(state, since, withoutSessions)
		return proto.Size(EncodeUpdate(update))
	}
	full, leasesOnly := size(0, false), size(0, true)
	apply(session("router-007", 1764547300000, 0))
	restart, restartLeasesOnly := size(index-1, false), size(index-1, true)
	t.Logf("full: %d bytes with sessions, %d without; restart: %d, %d", full, leasesOnly, restart, restartLeasesOnly)
	if leasesOnly > 3*6<<10 || full < 2*leasesOnly || restartLeasesOnly > restart {
		t.Errorf("full: %d bytes with sessions, %d without; restart: %d, %d", full, leasesOnly, restart, restartLeasesOnly)
	}
}
