package leaseclient

import (
	"math"
	"slices"

	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/leasestate"
)

// MaxTokenQuery is the maximum number of leases in one token query.
const MaxTokenQuery = 256

const (
	maxQueryBytes          = 16 << 10 // of lease names in one query; a longer name is queried alone
	reportIntervalTimeouts = 4.0      // session timeouts between two reports of a lease's higher token to a coordinator that doesn't know it
)

// Check decides whether an order from a lease holder is accepted. While the receiver hasn't learned the lease's token it accepts none, and
// queries the coordinator for the token. Check also returns the highest token known.
func (c *Client) Check(scope lease.Scope, holder string, token lease.Token) (lease.Verdict, lease.Token) {
	verdict, highest := c.receiver.Check(scope, holder, token)
	switch verdict {
	case lease.NotLearned:
		c.LearnToken(scope.Lease)
	case lease.Stale:
		c.RejectedOperations++
	}
	return verdict, highest
}

// CloseScope discards what is known of a scope that no longer exists.
func (c *Client) CloseScope(scope lease.Scope) { c.receiver.CloseScope(scope) }

// LearnToken schedules a query for a lease's latest token, unless the receiver has learned it.
func (c *Client) LearnToken(name string) {
	if !c.receiver.Learned(name) && c.tokenQueries[name] == nil && len(c.tokenQueries) < maxTracked {
		c.tokenQueries[name] = &backoff{dueAt: c.now}
	}
}

// queryTokens queries the tokens of all leases that are due, as many as fit into one query. It guards against one query per lease at
// startup: many processes that start together would send more than a coordinator can answer.
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

// queryBatchSize returns how many of the first names fit into one query; at least one.
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

// TokensLearned handles the coordinator's response to a token query: the tokens of its leases, in the same order. If the response is shorter
// than the query, the remaining leases are queried again; if it is longer, it counts as empty.
func (c *Client) TokensLearned(number uint64, tokens []lease.Token) {
	if request, found := c.pending[number]; found && request.kind == tokenQuery {
		delete(c.pending, number)
		c.handleTokens(request.leases, tokens)
	}
}

// handleTokens learns the tokens of the first leases. The others are retried at one common time; retried at different times, each would need
// a query of its own.
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

// reportHigherToken reports a token that this receiver has seen to the coordinator, if the coordinator's latest state of the lease has a lower
// one, or has the same one with another holder.
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
	// Session is that of the process that acted under the token, not of this one.
	entry := leasestate.Entry{Kind: leasestate.ReportToken, Lease: latest.Name, Token: highest, Session: holder}
	c.proposeRequest(pendingRequest{kind: leasestate.ReportToken}, entry)
}
