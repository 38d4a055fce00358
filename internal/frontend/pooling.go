package frontend

import (
	"cmp"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	decide "wayloft/internal/decide/session"
	"wayloft/internal/pg"
)

// Pool is what the clients of a user and database share.
type Pool struct {
	Name, User, Database string // User "": any
	StatementMode        bool   // statement-comment mode: each statement with a comment is a request
	Policy               decide.Policy
	Group                int
	DefaultClass         string // request class if neither a comment nor a setting nor the policy names one
	KnownParameters      func() *iradix.Tree[string]
}

// Pooling is what a Frontend needs for pools. Without it all sessions are in statement-comment mode.
type Pooling struct {
	Pools             []*Pool
	Seed              uint64          // of the request ids that are generated
	IdempotentClasses map[string]bool // request classes that may run again
	PrimaryClasses    map[string]bool // request classes that change something
}

// SetPooling sets the pools. It must be called before the first client is accepted.
func (f *Frontend) SetPooling(pooling *Pooling) { f.pooling = pooling }

// findPool returns the pool for a client, nil if there is none. A pool for its user comes before a pool for any user.
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
