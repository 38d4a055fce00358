package leaseclient

import (
	"math"
	"slices"

	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/leasestate"
)

// MaxTokenQuery is how many leases one query for tokens names at most.
const MaxTokenQuery = 256

const (
	maxQueryBytes          = 16 << 10 // of names in one query; a longer name goes alone
	reportIntervalTimeouts = 4.0      // session timeouts between two reports to the coordinator of a token that it doesn't know
)

// Check decides on another process's act. Of a lease whose token this receiver doesn't know it accepts none, and asks the coordinator. It
// also returns the highest token known.
func (c *Client) Check(scope lease.Scope, holder string, token lease.Token) (lease.Verdict, lease.Token) {
	verdict, highest := c.receiver.Check(scope, holder, token)
	switch verdict {
	case lease.NotLearned:
		c.LearnToken(scope.Lease)
	case lease.Stale:
		c.RejectedActs++
	}
	return verdict, highest
}

// CloseScope drops what is known of a scope that is gone.
func (c *Client) CloseScope(scope lease.Scope) { c.receiver.CloseScope(scope) }

// LearnToken has the coordinator asked for a lease's latest token, unless that is known.
func (c *Client) LearnToken(name string) {
	if !c.receiver.Learned(name) && c.tokenQueries[name] == nil && len(c.tokenQueries) < maxTracked {
		c.tokenQueries[name] = &backoff{dueAt: c.now}
	}
}

// queryTokens asks for the tokens of all leases that are due, as many as one query carries. Guards against a start that asks once for
// each lease: of many processes together that is more than a coordinator answers.
func (c *Client) queryTokens() {
	var due []string
	for name, query := range c.tokenQueries {
		if query.dueAt <= c.now {
			due = append(due, name)
		}
	}
	if len(due) == 0 {
		return
	}
	slices.Sort(due)
	queried := due[:queryBatchSize(due)]
	for _, name := range queried {
		c.tokenQueries[name].dueAt = math.Inf(1)
	}
	number := c.addPending(pendingRequest{kind: tokenQuery, leases: queried})
	c.decide(Decision{Action: QueryTokens, Request: number, Leases: slices.Clone(queried)})
}

// queryBatchSize returns how many of the names fit into one query; at least one.
func queryBatchSize(names []string) int {
	bytes := 0
	for n, name := range names {
		bytes += len(name)
		if n == MaxTokenQuery || n > 0 && bytes > maxQueryBytes {
			return n
		}
	}
	return len(names)
}

// TokensLearned takes in the coordinator's answer to a query: tokens of its leases, in their order. Leases past the answer's end are asked
// for again; an answer with more tokens than were asked for counts as none.
func (c *Client) TokensLearned(number uint64, tokens []lease.Token) {
	if request, found := c.pending[number]; found && request.kind == tokenQuery {
		delete(c.pending, number)
		c.handleTokens(request.leases, tokens)
	}
}

// handleTokens learns the tokens of the first leases. The others are put off together: each by itself would be a query of its own.
func (c *Client) handleTokens(names []string, tokens []lease.Token) {
	if len(tokens) > len(names) {
		tokens = nil
	}
	for i, token := range tokens {
		c.receiver.TokenLearned(names[i], token)
		delete(c.tokenQueries, names[i])
	}
	unanswered := names[len(tokens):]
	if len(unanswered) == 0 {
		return
	}
	var common backoff
	for _, name := range unanswered {
		common.delayMs = math.Max(common.delayMs, c.tokenQueries[name].delayMs)
	}
	c.retryLater(&common)
	for _, name := range unanswered {
		*c.tokenQueries[name] = common
	}
}

// reportHigherToken reports to the coordinator a token that this receiver has seen and the coordinator, by what its watch says of the lease,
// doesn't know or has granted to another.
func (c *Client) reportHigherToken(latest Lease) {
	highest, holder := c.receiver.Highest(latest.Name)
	order := highest.Compare(latest.Token)
	sameHolder := holder == "" || latest.Holder == "" || holder == latest.Holder
	if order < 0 || order == 0 && sameHolder {
		return
	}
	reportedAt, reported := c.reportedAt[latest.Name]
	if reported && c.now-reportedAt < reportIntervalTimeouts*c.settings.SessionTimeout || !c.sessionOpen {
		return
	}
	c.reportedAt[latest.Name] = c.now
	// The session is that of the process that acted under the token.
	entry := leasestate.Entry{Kind: leasestate.ReportToken, Lease: latest.Name, Token: highest, Session: holder}
	c.proposeRequest(pendingRequest{kind: leasestate.ReportToken}, entry)
}
