package slowstart

import (
	"fmt"
	"math"
	"testing"

	"wayloft/internal/decide/random"
)

// simulateSaturatedRouters has routers send as much as their buckets allow, at time 1 and again from idleMs on. It returns the
// highest number of requests in any window, and the total.
func simulateSaturatedRouters(seed uint64, routers int, budget, idleMs float64) (maxInWindow, total int) {
	source := random.Source{Seed: seed}
	buckets := make([]Bucket, routers)
	rate := budget * size / window / float64(routers)
	var sent []float64
	for now := 1.0; now < idleMs+3*window; now += 10 {
		for n := range buckets {
			for (now == 1 || now >= idleMs) && buckets[n].Allows(now, rate, size, window, float64(routers), source.Next) {
				buckets[n].Spend(size)
				sent = append(sent, now)
			}
		}
	}
	for first, windowStart := range sent {
		end := first
		for end < len(sent) && sent[end] < windowStart+window {
			end++
		}
		maxInWindow = max(maxInWindow, end-first)
	}
	return maxInWindow, len(sent)
}

const window, size = 2000.0, 500.0

// With saturated routers, and after idle periods of any length, no window of any simulation exceeds its budget N plus the
// tolerance: N + 2 sqrt(N) + 2, or N + 3 sqrt(N) + 3 for N below 30. At most one simulation in twenty exceeds the narrow
// tolerance, which formerly applied to small budgets too. If requests are always waiting, the rate is used up to the extent
// that the margin for random variation permits.
func TestBucket_NoWindowExceedsItsBudget(t *testing.T) {
	const simulations = 20
	for _, routers := range []int{1, 7, 30, 300, 900} {
		for _, budget := range []float64{2, 5, 20, 29, 30, 60, 200} { // requests per window, of all routers together
			for _, idleMs := range []float64{0, 900, 20000} { // ms without requests before all routers send at once
				t.Run(fmt.Sprintf("%d routers, budget %.0f, idle for %.0f ms", routers, budget, idleMs), func(t *testing.T) {
					t.Parallel()
					narrowLimit, exceeded, sum := budget+2*math.Sqrt(budget)+2, 0, 0
					limit := narrowLimit
					if budget < 30 {
						limit = budget + 3*math.Sqrt(budget) + 3
					}
					for seed := uint64(1); seed <= simulations; seed++ {
						maxInWindow, total := simulateSaturatedRouters(seed, routers, budget, idleMs)
						if sum += total; float64(maxInWindow) > narrowLimit {
							exceeded++
						}
						if float64(maxInWindow) > limit {
							t.Errorf("seed %d: %d requests in a window, the limit is %.1f", seed, maxInWindow, limit)
						}
					}
					if exceeded > 1 {
						t.Errorf("%d of %d simulations exceeded the narrow limit %.1f", exceeded, simulations, narrowLimit)
					}
					minUtilization := 0.9 // of the rate
					if routers > 300 || budget > 20 && budget < 200 {
						minUtilization = 0.73 // here the tolerance is smallest relative to the random variation of many routers with few requests each
					}
					if mean := float64(sum) / simulations; idleMs == 0 && mean < 3*budget/(1+1/tokenLifetimesPerWindow)*minUtilization-1 {
						t.Errorf("only %.1f requests in three windows", mean)
					}
				})
			}
		}
	}
}

// The target mean leaves a margin for random variation with any number of routers, and is the whole budget if few routers share it.
func TestTargetMeanRequests_AllowsForRandomVariation(t *testing.T) {
	for _, c := range []struct{ budget, routers, lowest, highest float64 }{
		{2, 1, 2, 2}, {30, 1, 30, 30}, {200, 1, 200, 200}, {30, 7, 30, 30}, {200, 100, 200, 200},
		{29, 900, 26, 27}, {30, 900, 22, 24}, {200, 900, 177, 180}, {30, 1e6, 22, 24}, {0.01, 900, 0.01, 0.01},
	} {
		if got := targetMeanRequests(c.budget, c.routers); got < c.lowest || got > c.highest {
			t.Errorf("budget %v of %v routers: target mean %v, want %v to %v", c.budget, c.routers, got, c.lowest, c.highest)
		}
	}
}

// Unused tokens expire; later ones still accrue on schedule.
func TestBucket_TokensExpire(t *testing.T) {
	zero := func() float64 { return 0 }
	rate := 0.05 * (1 + 1/tokenLifetimesPerWindow) // one request in 10 s
	lifetime := window / tokenLifetimesPerWindow
	for _, c := range []struct {
		at   float64
		want bool
	}{{9900, false}, {10010, true}, {10000 + lifetime - 10, true}, {10000 + lifetime + 10, false}, {19900, false}, {20010, true}} {
		var bucket Bucket
		bucket.Allows(0, rate, size, window, 1, zero)
		if got := bucket.Allows(c.at, rate, size, window, 1, zero); got != c.want {
			t.Errorf("at %.0f ms: allowed %v", c.at, got)
		}
	}
	var bucket Bucket
	bucket.Allows(0, rate, size, window, 1, zero)
	if bucket.Allows(10010, rate, size, window, 1, zero); bucket.tokens < size {
		t.Fatal("no tokens after the time in which those of one request accrue")
	}
	if bucket.Spend(size); bucket.Allows(10010, rate, size, window, 1, zero) {
		t.Error("tokens could be spent twice")
	}
}
