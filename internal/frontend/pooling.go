package frontend

import (
	"cmp"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	decide "wayloft/internal/decide/session"
	"wayloft/internal/pg"
)

// Pool is the configuration shared by all clients of a user and database.
type Pool struct {
	Name, User, Database string // User "" matches any user
	StatementMode        bool   // statement-comment mode: each statement with a comment is a request
	Policy               decide.Policy
	Group                int
	DefaultClass         string // request class if no comment, setting or policy names one
	KnownParameters      func() *iradix.Tree[string]
}

// Pooling is the configuration of all pools. Without it all sessions are in statement-comment mode.
type Pooling struct {
	Pools             []*Pool
	Seed              uint64          // seed of generated request ids
	IdempotentClasses map[string]bool // request classes whose requests may run more than once
	PrimaryClasses    map[string]bool // request classes whose requests run on the primary
}

// SetPooling sets the pools. It must be called before the first client is accepted.
func (f *Frontend) SetPooling(pooling *Pooling) { f.pooling = pooling }

// findPool returns the pool for a client, or nil if there is none. A pool for the client's user takes precedence over one for any user.
func (p *Pooling) findPool(startup pg.StartupParameters) *Pool {
	user := startup.Get("user")
	database := cmp.Or(startup.Get("database"), user)
	for _, poolUser := range []string{user, ""} {
		for _, pool := range p.Pools {
			if pool.User == poolUser && pool.Database == database {
				return pool
			}
		}
	}
	return nil
}

// usesStatementMode reports whether a client's session is in statement-comment mode.
func (p *Pooling) usesStatementMode(startup pg.StartupParameters) bool {
	pool := p.findPool(startup)
	return pool != nil && pool.StatementMode
}
