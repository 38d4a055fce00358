package main

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"strings"
	"testing"

	"wayloft/internal/decide/policy"
	"wayloft/internal/fleet"
	"wayloft/internal/fleetpb"
)

// Routers that don't apply a version are listed with the reason. A router without a session is listed by name only if it had one before;
// otherwise it is only counted.
func TestMissingRouters(t *testing.T) {
	session := func(name string, applied, rejected, silent uint64, why string) *fleetpb.Session {
		return &fleetpb.Session{Name: name, Kind: "router", Policy: applied, Wont: rejected, SilentMs: silent, Why: why}
	}
	v := func(number uint64) uint64 { return policy.Version{Epoch: 9, Number: number}.Packed() }
	upToDate := session("r1", v(2), 0, 300, "")
	for _, c := range []struct {
		sessions []*fleetpb.Session
		known    string
		expected int
		want     string
	}{
		{[]*fleetpb.Session{upToDate}, "", 0, ""},
		{[]*fleetpb.Session{session("r1", v(3), 0, 0, "")}, "r1", 1, ""}, // a later version
		{[]*fleetpb.Session{session("r1", v(2), v(1), 5000, "")}, "", 0, ""},
		{nil, "", 0, "1 more (no session with the coordinator)"},
		{[]*fleetpb.Session{upToDate, {Name: "x", Kind: "other"}}, "", 3, "2 more (no session with the coordinator)"},
		{[]*fleetpb.Session{upToDate, session("r0", v(1), 0, 999, "")}, "", 0, "r0 (applies 9.1)"},
		{[]*fleetpb.Session{session("r0", 0, 0, 0, ""), upToDate}, "", 0, "r0 (applies none)"},
		{[]*fleetpb.Session{upToDate, session("r9", v(1), 0, 1000, "")}, "", 0, "r9 (silent)"},
		{[]*fleetpb.Session{upToDate, session("r9", v(1), v(2), 4000, "no a\nno b")}, "", 0, "r9 (couldn't: no a; no b)"},
		{[]*fleetpb.Session{upToDate, session("r9", v(1), v(1), 0, "no a")}, "", 0, "r9 (applies 9.1)"}, // it rejected another version
		{[]*fleetpb.Session{upToDate}, "r1 r7", 2, "r7 (silent)"},
	} {
		known := map[string]bool{}
		for _, name := range strings.Fields(c.known) {
			known[name] = true
		}
		all := routerPolicies(&fleetpb.State{State: &fleetpb.Update{Sessions: c.sessions}}, v(2), known)
		if got := missingRouters(all, c.expected); got != c.want {
			t.Errorf("%v, %s, %d: got %q, want %q", c.sessions, c.known, c.expected, got, c.want)
		}
	}
}

// An earlier version is either reconstructed exactly or reported as unavailable, however much of the history is kept.
func TestReconstructVersion(t *testing.T) {
	reconstructed, unavailable := 0, 0
	for seed := range uint64(300) {
		r := rand.New(rand.NewPCG(seed, 1))
		all := fleet.Policies{Document: policy.Document{}}
		var docs []policy.Document
		for number := uint64(1); number < 12; number++ {
			d := maps.Clone(all.Document)
			for range 1 + r.IntN(3) {
				field := fmt.Sprintf("tenants.t%d.rate", r.IntN(6))
				if d[field] = fmt.Sprint(r.IntN(4)); r.IntN(3) == 0 {
					delete(d, field)
				}
			}
			v := policy.Version{Epoch: 3, Number: number, Base: all.Version.Packed(), Hash: d.Hash()}
			all.History = append(all.History, policy.Change{Version: v, Difference: policy.Diff(all.Document, d)})
			all.Version, all.Document = v, d
			docs = append(docs, d)
		}
		cut := r.IntN(len(docs))
		all.History = all.History[cut:]
		for n, want := range docs {
			v, got, err := reconstructVersion(all, policy.Version{Epoch: 3, Number: uint64(n + 1)}.Packed())
			switch {
			case err != nil:
				if unavailable++; cut == 0 || n == len(docs)-1 {
					t.Fatalf("seed %d: number %d with the history from %d: %v", seed, n+1, cut+1, err)
				}
			case n < cut || v.Number != uint64(n+1) || !maps.Equal(got, want):
				t.Fatalf("seed %d: number %d with the history from %d: got %v, want %v", seed, n+1, cut+1, got, want)
			default:
				reconstructed++
			}
		}
	}
	if reconstructed == 0 || unavailable == 0 {
		t.Errorf("%d reconstructed, %d unavailable", reconstructed, unavailable)
	}
}
