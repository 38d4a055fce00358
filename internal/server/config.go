package server

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fastjson"

	"wayloft/internal/discovery"
	"wayloft/internal/settings"
	"wayloft/router"
)

// Config is the configuration of a router.
type Config struct {
	path      string // empty: it was not read from a file
	Name      string
	Listen    string // address for clients
	Discovery string // address; empty: the members are those of the configuration
	seed      uint64
	memory    int // bytes
	sockets   int
	Members   *discovery.List
	Router    *router.Settings
	host      *settings.Runtime

	sessions, links int                     // most of each
	perMember       int                     // connections; 0: any number
	pools           []settings.PoolSettings // of clients; nil: they speak the platform's form
	user, database  string                  // of checks and of the platform's form
	fleet           *settings.Fleet         // its part in a fleet; nil: none
	texts           map[string]string       // what only a restart puts in force, as it is in the file
	wall            func() time.Time        // the machine's wall clock; nil: time.Now
}

// wallNow reads the wall clock.
func (c *Config) wallNow() time.Time {
	if c.wall == nil {
		return time.Now()
	}
	return c.wall()
}

const leastSockets = 2 * ownSockets // below it there is hardly room for sessions and members

// load reads the configuration; its error names the field at fault.
func Load(path string) (*Config, error) {
	if strings.HasSuffix(path, ".toml") {
		return loadTOML(path)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	v, err := fastjson.ParseBytes(text)
	if err != nil {
		return nil, fmt.Errorf("%s: not JSON: %w", path, err)
	}
	c, err := decode(v)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	c.path = path
	return c, nil
}

// differs names what is not the same in another configuration and takes a restart.
func (c *Config) differs(other *Config) []string {
	var names []string
	for _, name := range restarts {
		if c.texts[name] != other.texts[name] {
			names = append(names, name)
		}
	}
	return names
}

var restarts = []string{"name", "listen", "limits", "settings"}

func checkAddresses(c *Config, discovery bool) error {
	for _, addr := range []struct{ key, value string }{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if _, _, err := net.SplitHostPort(addr.value); err != nil && (discovery || addr.key == "listen") {
			return fmt.Errorf("%s: %w", addr.key, err)
		}
	}
	return nil
}

func decode(v *fastjson.Value) (*Config, error) {
	if v.Type() != fastjson.TypeObject {
		return nil, errors.New("must be an object")
	}
	f := &settings.Fields{Value: v}
	c := &Config{Name: f.Text("name"), Listen: f.Text("listen"), Discovery: f.Text("discovery")}
	seed := f.Text("seed")
	f.Object("limits", func(l *settings.Fields) {
		c.memory, c.sockets = int(l.Number("memory_mb")*(1<<20)), int(l.Number("sockets"))
		if l.Err == nil && c.sockets < leastSockets {
			l.Fail("sockets", fmt.Sprintf("%d at least", leastSockets))
		}
		if l.Err == nil && c.memory <= 0 {
			l.Fail("memory_mb", "more than 0")
		}
	})
	if f.Err != nil {
		return nil, f.Err
	}
	if err := checkAddresses(c, true); err != nil {
		return nil, err
	}
	each := (c.sockets - ownSockets) / 2 // a request takes a session and a connection to a member
	c.sessions, c.links = each, each
	c.user, c.database = "api", "ledger"
	var err error
	if c.seed, err = strconv.ParseUint(seed, 16, 64); err != nil {
		return nil, fmt.Errorf("seed: must be 64 bits in hexadecimal, not %q", seed)
	}
	if c.Members, err = discovery.DecodeList(v.Get("known")); err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	facts := v.Get("settings")
	if facts == nil || facts.Type() != fastjson.TypeObject {
		return nil, errors.New("settings: must be an object")
	}
	if c.Router, c.host, err = settings.Decode(facts); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if c.host.DialTimeoutMs <= 0 || c.host.ServerIdleTimeoutMs <= 0 {
		return nil, errors.New("settings: permissions.dialTimeout, permissions.idleClose: must be more than 0")
	}
	c.texts = map[string]string{}
	for _, name := range restarts {
		c.texts[name] = string(v.Get(name).MarshalTo(nil))
	}
	return c, nil
}
