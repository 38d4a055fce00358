package server

import (
	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"wayloft/internal/backend"
	"wayloft/internal/decide/connpool"
	"wayloft/internal/decide/memory"
	"wayloft/internal/decide/session"
	"wayloft/internal/eventloop"
	"wayloft/internal/frontend"
	"wayloft/internal/settings"
	"wayloft/router"
)

// Fractions of the configured memory, as divisors.
const (
	messageDivisor        = 32 // one message from a client or a member
	responseBudgetDivisor = 6  // all responses together, at most
)

// maxMessageBytes returns the size of the longest message that a client or a member may send.
func (c *Config) maxMessageBytes() int { return c.memoryBytes / messageDivisor }

// queuesStatements reports whether statements may have to wait for a connection because there are fewer connections than sessions. On
// the platform there is a connection for each session.
func (c *Config) queuesStatements() bool { return c.maxSessions > c.maxConnections }

// primaryClasses returns for each request class whether it needs the primary.
func (c *Config) primaryClasses() map[string]bool {
	classes := map[string]bool{}
	for name, class := range c.Router.RequestClasses {
		classes[name] = class.Level == router.Write || class.Level == router.Fresh
	}
	return classes
}

// idempotentClasses returns for each request class whether its requests may run more than once.
func (c *Config) idempotentClasses() map[string]bool {
	classes := map[string]bool{}
	for name, class := range c.Router.RequestClasses {
		classes[name] = class.Effect == router.Idempotent
	}
	return classes
}

// newFrontend builds the frontend. knownParameters returns the server parameters that a pool's members have reported.
func newFrontend(driver *eventloop.Driver, config *Config, account *memory.Account, knownParameters func(pool string) *iradix.Tree[string]) *frontend.Frontend {
	f := frontend.New(driver, config.maxSessions, account, config.maxMessageBytes())
	if config.pools == nil {
		return f
	}
	pooling := &frontend.Pooling{
		Seed:              config.seed,
		IdempotentClasses: config.idempotentClasses(),
		PrimaryClasses:    config.primaryClasses(),
	}
	for _, pool := range config.pools {
		pooling.Pools = append(pooling.Pools, &frontend.Pool{
			Name:            pool.Name,
			User:            pool.User,
			Database:        pool.Database,
			StatementMode:   pool.StatementMode,
			Policy:          pool.Policy,
			Group:           pool.Group,
			DefaultClass:    settings.UnlabelledClass,
			KnownParameters: func() *iradix.Tree[string] { return knownParameters(pool.Name) },
		})
	}
	f.SetPooling(pooling)
	return f
}

// knownParameters returns the server parameters that a pool's members have reported.
func (s *server) knownParameters(pool string) *iradix.Tree[string] {
	return s.backend.KnownParameters(pool)
}

// newBackend builds the backend with its connection pool.
func newBackend(driver *eventloop.Driver, config *Config, account *memory.Account) *backend.Backend {
	options := backend.Options{
		DialTimeoutMs:     config.runtime.DialTimeoutMs,
		HealthReports:     config.runtime.HealthReports,
		MaxResponse:       config.maxMessageBytes(),
		ResponseBudget:    min(account.Limit(), config.memoryBytes/responseBudgetDivisor),
		Memory:            account,
		QueueStatements:   config.queuesStatements(),
		KeepRemoved:       config.Router.SoftRemoval,
		MaxPrepared:       session.MaxPreparedPerConnection,
		Logins:            logins(config),
		PrimaryClasses:    config.primaryClasses(),
		IdempotentClasses: config.idempotentClasses(),
	}
	pool := connpool.New(connpool.Settings{
		MaxTotal:     config.maxConnections,
		MaxPerMember: config.maxConnectionsPerMember,
		Seed:         config.seed,
		Pools:        poolBounds(config),
	})
	return backend.New(driver, options, pool)
}

// logins returns the user and database with which each pool's connections log in.
func logins(config *Config) map[string]backend.Login {
	all := map[string]backend.Login{
		backend.StatementPool: {User: config.checkUser, Database: config.checkDatabase},
	}
	for _, pool := range config.pools {
		all[pool.Name] = backend.Login{User: pool.User, Database: pool.Database}
	}
	return all
}

func poolBounds(config *Config) map[string]connpool.Bounds {
	statements := connpool.StatementBounds(config.runtime.ServerIdleTimeoutMs)
	if config.queuesStatements() {
		statements.WaitTimeoutMs = config.runtime.DialTimeoutMs
	}
	bounds := map[string]connpool.Bounds{
		backend.StatementPool: statements,
		backend.CancelPool:    connpool.CancelBounds(config.runtime.DialTimeoutMs),
	}
	for _, pool := range config.pools {
		bounds[pool.Name] = pool.Bounds
	}
	return bounds
}
