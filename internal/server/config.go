package server

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"wayloft/internal/discovery"
	"wayloft/internal/settings"
	"wayloft/router"
)

// tomlSuffix is the suffix of configuration files in TOML; all others are in the platform's JSON format.
const tomlSuffix = ".toml"

// Config is the configuration of a router.
type Config struct {
	Name      string
	Listen    string           // address that accepts clients
	Discovery string           // address; empty: the members are those listed in the configuration
	Members   *discovery.List  // initial list
	Router    *router.Settings // settings of the decision module

	path                    string // empty if it was not read from a file
	seed                    uint64
	memoryBytes             int
	cores                   float64 // that the process may use; 0: as many as there are
	maxDescriptors          int
	maxSessions             int
	maxConnections          int                     // to members
	maxConnectionsPerMember int                     // 0: any number
	pools                   []settings.PoolSettings // nil: all clients use the platform's statement format
	checkUser               string                  // for health checks and for the platform's clients
	checkDatabase           string                  // for health checks and for the platform's clients
	runtime                 *settings.ConnectionSettings
	fleet                   *settings.Fleet   // nil: the router belongs to no fleet
	restartFields           map[string]string // raw values of the fields whose change takes a restart
	wallClock               func() time.Time  // nil: time.Now
}

// Load reads a configuration file. Its error names the file and the invalid field.
func Load(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	decode := decodeJSON
	if strings.HasSuffix(path, tomlSuffix) {
		decode = DecodeTOML
	}
	config, err := decode(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	config.path = path
	return config, nil
}

// onPlatform reports whether the platform runs the router. The platform sets its limits and the time at which it is killed.
func (c *Config) onPlatform() bool { return !strings.HasSuffix(c.path, tomlSuffix) }

// now returns the wall clock time.
func (c *Config) now() time.Time {
	if c.wallClock == nil {
		return time.Now()
	}
	return c.wallClock()
}

// parseSeed parses the seed for random decisions.
func parseSeed(text string) (uint64, error) {
	seed, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("seed: must be 64 bits in hexadecimal, not %q", text)
	}
	return seed, nil
}
