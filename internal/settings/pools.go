package settings

import (
	"cmp"
	"errors"
	"fmt"

	"wayloft/internal/decide/connpool"
	"wayloft/internal/decide/session"
)

// Pool is a connection pool in a router's file. The clients of one user and database share its connections.
type Pool struct {
	User              string   `toml:"user"`
	Database          string   `toml:"database"`
	Mode              string   `toml:"form"`
	Read              string   `toml:"read"`  // request class of transactions that only read
	Write             string   `toml:"write"` // request class of all other transactions
	Group             int      `toml:"group"`
	PerMember         int      `toml:"connections_per_member"`
	Total             int      `toml:"connections"`
	MinIdle           int      `toml:"warm"`
	WaitTimeout       Duration `toml:"wait"`
	IdleTimeout       Duration `toml:"idle"`
	MaxAge            Duration `toml:"age"`
	MaxUses           int      `toml:"uses"`
	IdleInTransaction Duration `toml:"idle_in_transaction"`
	AllowSticky       *bool    `toml:"pins"`
	MaxStatements     int      `toml:"statements"`
	MaxSettings       Size     `toml:"settings"`
}

// PoolSettings is a pool as the frontend and the backend need it.
type PoolSettings struct {
	Name          string
	User          string
	Database      string
	StatementMode bool // one statement, labelled by a comment, is one request, as on the platform
	Policy        session.Policy
	Bounds        connpool.Bounds
	Group         int
}

// Modes of a pool.
const (
	modeTransaction = "transaction"
	modeSession     = "session"
	modePlatform    = "platform"
)

var poolModes = map[string]string{modeTransaction: modeTransaction, modeSession: modeSession, modePlatform: modePlatform}

// Defaults of a pool.
const (
	defaultMaxSettingsBytes = 8 << 10
	defaultMaxStatements    = 1000
)

func (p *Pool) name() string { return p.User + "/" + p.Database }

// checkPools checks the pools against the names of the request classes.
func checkPools(pools []Pool, classes map[string]bool) error {
	names := map[string]bool{}
	for n, pool := range pools {
		if pool.Database == "" || names[pool.name()] {
			return fmt.Errorf("pools[%d]: database: must be given, and once for a user", n)
		}
		names[pool.name()] = true
		if err := pool.check(classes); err != nil {
			return fmt.Errorf("pools[%d]: %s: %w", n, pool.name(), err)
		}
	}
	return nil
}

func (p *Pool) check(classes map[string]bool) error {
	if _, err := keyword(poolModes, "form", p.Mode, modeTransaction); err != nil {
		return err
	}
	for _, class := range []string{p.Read, p.Write} {
		if class != "" && !classes[class] {
			return fmt.Errorf("no txn type %q", class)
		}
	}
	if p.Mode != modePlatform && (p.PerMember <= 0 || p.WaitTimeout <= 0) {
		return errors.New("connections_per_member and wait must be more than 0")
	}
	if p.MinIdle > p.PerMember {
		return errors.New("warm: must not exceed connections_per_member")
	}
	return nil
}

// needsUnlabelledClass reports whether some pool, other than in platform mode, names no request class for its writes.
func needsUnlabelledClass(pools []Pool) bool {
	for _, pool := range pools {
		if pool.Mode != modePlatform && pool.Write == "" {
			return true
		}
	}
	return false
}

// PoolSettings returns the pools as the frontend and the backend need them, or nil if the file has none.
func (f *RouterFile) PoolSettings() []PoolSettings {
	var all []PoolSettings
	for _, pool := range f.Pools {
		all = append(all, pool.settings(f.serverIdleTimeoutMs()))
	}
	return all
}

func (p *Pool) settings(serverIdleTimeoutMs float64) PoolSettings {
	defaults := connpool.StatementBounds(serverIdleTimeoutMs)
	return PoolSettings{
		Name:          p.name(),
		User:          p.User,
		Database:      p.Database,
		StatementMode: p.Mode == modePlatform,
		Policy: session.Policy{
			ReadClass:        p.Read,
			WriteClass:       p.Write,
			AllowSticky:      p.AllowSticky == nil || *p.AllowSticky,
			AlwaysSticky:     p.Mode == modeSession,
			MaxSettingsBytes: cmp.Or(int(p.MaxSettings), defaultMaxSettingsBytes),
			MaxStatements:    cmp.Or(p.MaxStatements, defaultMaxStatements),
		},
		Bounds: connpool.Bounds{
			PerMember:                  p.PerMember,
			Total:                      p.Total,
			MinIdle:                    p.MinIdle,
			WaitTimeoutMs:              float64(p.WaitTimeout),
			IdleTimeoutMs:              cmp.Or(float64(p.IdleTimeout), defaults.IdleTimeoutMs),
			ReuseDelayMs:               defaults.ReuseDelayMs,
			MaxAgeMs:                   float64(p.MaxAge),
			MaxUses:                    p.MaxUses,
			IdleInTransactionTimeoutMs: float64(p.IdleInTransaction),
		},
		Group: p.Group,
	}
}
