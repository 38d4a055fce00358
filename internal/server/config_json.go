package server

import (
	"errors"
	"fmt"

	"github.com/valyala/fastjson"

	"wayloft/internal/discovery"
	"wayloft/internal/settings"
)

// minDescriptors is the lowest descriptor limit that is accepted. It leaves room for only a few sessions and member connections.
const minDescriptors = 2 * reservedDescriptors

const bytesPerMB = 1 << 20

// User and database of the platform's clients and of health checks.
const (
	platformUser     = "api"
	platformDatabase = "ledger"
)

// restartKeys are the keys of the platform's JSON format whose change takes a restart.
var restartKeys = []string{"name", "listen", "limits", "settings"}

// decodeJSON decodes a configuration in the platform's JSON format. Its error names the invalid field.
func decodeJSON(text []byte) (*Config, error) {
	document, err := fastjson.ParseBytes(text)
	if err != nil {
		return nil, fmt.Errorf("not JSON: %w", err)
	}
	if document.Type() != fastjson.TypeObject {
		return nil, errors.New("must be an object")
	}
	c := &Config{checkUser: platformUser, checkDatabase: platformDatabase}
	if err := c.decodeProcess(document); err != nil {
		return nil, err
	}
	if c.Members, err = discovery.DecodeList(document.Get("known")); err != nil {
		return nil, fmt.Errorf("known: %w", err)
	}
	if err := c.decodeSettings(document.Get("settings")); err != nil {
		return nil, err
	}
	c.restartFields = map[string]string{}
	for _, key := range restartKeys {
		c.restartFields[key] = string(document.Get(key).MarshalTo(nil))
	}
	return c, nil
}

// decodeProcess decodes the name, addresses, limits and seed.
func (c *Config) decodeProcess(document *fastjson.Value) error {
	fields := &settings.Fields{Value: document}
	c.Name, c.Listen, c.Discovery = fields.Text("name"), fields.Text("listen"), fields.Text("discovery")
	seed := fields.Text("seed")
	fields.Object("limits", c.decodeLimits)
	if fields.Err != nil {
		return fields.Err
	}
	if err := settings.CheckAddress("listen", c.Listen); err != nil {
		return err
	}
	if err := settings.CheckAddress("discovery", c.Discovery); err != nil {
		return err
	}
	var err error
	c.seed, err = parseSeed(seed)
	return err
}

// decodeLimits decodes the memory and descriptor limits. A request takes two descriptors: one for its client session and one for its
// connection to a member.
func (c *Config) decodeLimits(limits *settings.Fields) {
	c.memoryBytes = int(limits.Number("memory_mb") * bytesPerMB)
	c.maxDescriptors = int(limits.Number("sockets"))
	c.cores = limits.OptionalNumber("cores")
	if limits.Err == nil && c.maxDescriptors < minDescriptors {
		limits.Fail("sockets", fmt.Sprintf("at least %d", minDescriptors))
	}
	if limits.Err == nil && c.memoryBytes <= 0 {
		limits.Fail("memory_mb", "more than 0")
	}
	c.maxSessions = (c.maxDescriptors - reservedDescriptors) / 2
	c.maxConnections = c.maxSessions
}

// decodeSettings decodes the settings of the decision module and of the router's I/O.
func (c *Config) decodeSettings(object *fastjson.Value) error {
	if object == nil || object.Type() != fastjson.TypeObject {
		return errors.New("settings: must be an object")
	}
	var err error
	if c.Router, c.runtime, err = settings.DecodePlatform(object); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if c.runtime.DialTimeoutMs <= 0 || c.runtime.ServerIdleTimeoutMs <= 0 {
		return errors.New("settings: permissions.dialTimeout, permissions.idleClose: must be more than 0")
	}
	return nil
}

// changedRestartFields returns the keys whose values differ in another configuration and take effect only at a restart.
func (c *Config) changedRestartFields(other *Config) []string {
	var changed []string
	for _, key := range restartKeys {
		if c.restartFields[key] != other.restartFields[key] {
			changed = append(changed, key)
		}
	}
	return changed
}
