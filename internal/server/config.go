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

// tomlSuffix is the end of the names of files in the TOML form; all others are in the platform's form, JSON.
const tomlSuffix = ".toml"

// Config is the configuration of a router.
type Config struct {
	Name      string
	Listen    string           // address for clients
	Discovery string           // address; empty: the members are those of the configuration
	Members   *discovery.List  // at the start
	Router    *router.Settings // of the decision module

	path                    string // empty: it was not read from a file
	seed                    uint64
	memoryBytes             int
	maxDescriptors          int
	maxSessions             int
	maxConnections          int                     // to members
	maxConnectionsPerMember int                     // 0: any number
	pools                   []settings.PoolSettings // nil: all clients use the platform's form
	checkUser               string                  // of health checks, and of the platform's form
	checkDatabase           string                  // of health checks, and of the platform's form
	runtime                 *settings.Runtime
	fleet                   *settings.Fleet   // nil: the router takes no part in a fleet
	restartFields           map[string]string // the text of the fields that take a restart
	wallClock               func() time.Time  // nil: time.Now
}

// Load reads a configuration file. Its error names the file and the field at fault.
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

// onPlatform reports whether the platform starts the router, and sets its limits and when it is killed.
func (c *Config) onPlatform() bool { return !strings.HasSuffix(c.path, tomlSuffix) }

// now reads the wall clock.
func (c *Config) now() time.Time {
	if c.wallClock == nil {
		return time.Now()
	}
	return c.wallClock()
}

// parseSeed decodes the seed of random decisions.
func parseSeed(text string) (uint64, error) {
	seed, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return 0, fmt.Errorf("seed: must be 64 bits in hexadecimal, not %q", text)
	}
	return seed, nil
}
