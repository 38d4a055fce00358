package leaseclient

import (
	"math"
	"slices"

	"wayloft/internal/decide/lease"
)

// MaxTokenQuery is how many leases one question asks about at most.
const MaxTokenQuery = 256

const nameBytes = 16 << 10 // of names that one question carries; a longer name goes alone

// LearnToken has the coordinator asked where a lease's fencing tokens stand, unless that is known.
func (a *Client) LearnToken(duty string) {
	if !a.receiver.Learned(duty) && a.stands[duty] == nil && len(a.stands) < mostKnown {
		a.stands[duty] = &retry{at: a.now}
	}
}

// stand asks where leases stand: all at once that are due, as many as one question carries. Guards against a start that asks once a
// lease: of many processes together that is more than a coordinator answers.
func (a *Client) stand() {
	var duties []string
	for duty, r := range a.stands {
		if r.at <= a.now {
			duties = append(duties, duty)
		}
	}
	if len(duties) == 0 {
		return
	}
	slices.Sort(duties)
	bytes := 0
	for n, duty := range duties {
		if bytes += len(duty); n == MaxTokenQuery || n > 0 && bytes > nameBytes {
			duties = duties[:n]
			break
		}
	}
	for _, duty := range duties {
		a.stands[duty].at = math.Inf(1)
	}
	a.number++
	a.asked[a.number] = asked{duties: duties}
	a.out = append(a.out, Decision{Action: QueryTokens, Request: a.number, Leases: slices.Clone(duties)})
}

// TokensLearned conveys the coordinator's answer to a Stand: fencing tokens of its leases, in their order. Those past the answer's end are asked again; an
// answer of more than was asked is none.
func (a *Client) TokensLearned(number uint64, fences []lease.Token) {
	if of, known := a.asked[number]; known && of.kind == "" {
		delete(a.asked, number)
		a.stood(of.duties, fences)
	}
}

// stood takes in where the first of some leases stand. The others are put off together: each by itself would be a question of its own.
func (a *Client) stood(duties []string, fences []lease.Token) {
	if len(fences) > len(duties) {
		fences = nil
	}
	for i, fence := range fences {
		a.receiver.TokenLearned(duties[i], fence)
		delete(a.stands, duties[i])
	}
	var off retry
	duties = duties[len(fences):]
	for _, duty := range duties {
		off.wait = math.Max(off.wait, a.stands[duty].wait)
	}
	if len(duties) > 0 {
		a.again(&off)
	}
	for _, duty := range duties {
		*a.stands[duty] = off
	}
}
