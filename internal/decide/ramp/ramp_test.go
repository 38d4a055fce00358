package ramp

import (
	"math"
	"testing"

	"wayloft/internal/decide/chance"
)

// play has routers spend all that they may, after a time in which none came; it tells the most in a window, and all.
func play(seed uint64, routers int, budget, quiet float64) (most, all int) {
	draw := chance.Source{Seed: seed}
	buckets := make([]Bucket, routers)
	rate := budget * size / window / float64(routers)
	var sent []float64
	for now := 1.0; now < quiet+3*window; now += 10 {
		for n := range buckets {
			for (now == 1 || now >= quiet) && buckets[n].Bears(now, rate, size, window, draw.Next) {
				buckets[n].Spend(size)
				sent = append(sent, now)
			}
		}
	}
	for n, from := range sent {
		upTo := n
		for upTo < len(sent) && sent[upTo] < from+window {
			upTo++
		}
		most = max(most, upTo-n)
	}
	return most, len(sent)
}

const window, size = 2000.0, 500.0

// Whenever txns come, and however long none came before, a window sees its budget, and no more than chance explains: two
// roots and two are passed in one play of twenty at the most, though each play spends all that there is. One that
// always asks gets its rate.
func TestNoWindowSeesMoreThanItsBudget(t *testing.T) {
	for _, routers := range []int{1, 7, 300} {
		for _, budget := range []float64{2, 20, 200} { // txns in a window, by all
			for _, quiet := range []float64{0, 900, 20000} { // ms without a txn before all come at once
				over, sum := 0, 0
				for seed := uint64(1); seed <= 20; seed++ {
					most, all := play(seed, routers, budget, quiet)
					if sum += all; float64(most) > budget+2*math.Sqrt(budget)+2 {
						over++
					}
				}
				if over > 1 {
					t.Errorf("%d routers, budget %.0f, quiet for %.0f: %d of 20 plays went over", routers, budget, quiet, over)
				}
				if mean := float64(sum) / 20; quiet == 0 && mean < 3*budget/(1+1/lapse)*0.9-1 {
					t.Errorf("%d routers, %.0f in a window: only %.1f in three", routers, budget, mean)
				}
			}
		}
	}
}

// A share that nobody came for is gone; the next comes in its time.
func TestAShareLapses(t *testing.T) {
	none := func() float64 { return 0 }
	rate := 0.05 * (1 + 1/lapse) // one in 10 s
	lasts := window / lapse
	for _, c := range []struct {
		at   float64
		want bool
	}{{9900, false}, {10010, true}, {10000 + lasts - 10, true}, {10000 + lasts + 10, false}, {19900, false}, {20010, true}} {
		var b Bucket
		b.Bears(0, rate, size, window, none)
		if got := b.Bears(c.at, rate, size, window, none); got != c.want {
			t.Errorf("at %.0f: %v", c.at, got)
		}
	}
	var b Bucket
	b.Bears(0, rate, size, window, none)
	if b.Bears(10010, rate, size, window, none); b.level < size {
		t.Fatal("none has come")
	}
	if b.Spend(size); b.Bears(10010, rate, size, window, none) {
		t.Error("it is there twice")
	}
}
