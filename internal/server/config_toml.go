package server

import (
	"fmt"
	"os"
	"strconv"

	"wayloft/internal/discovery"
	"wayloft/internal/settings"
	"wayloft/router"
)

// loadTOML reads our own form; its error names the line and key at fault.
func loadTOML(path string) (*Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c, err := DecodeTOML(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	c.path = path
	return c, nil
}

// DecodeTOML decodes a configuration in the TOML form.
func DecodeTOML(text []byte) (*Config, error) {
	f, err := settings.Read(text)
	if err != nil {
		return nil, err
	}
	c := &Config{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, memory: int(f.Limits.Memory),
		sockets: f.Limits.Descriptors, sessions: f.Limits.Sessions, links: f.Limits.Connections, perMember: f.Limits.PerMember,
		pools: f.PoolSettings(), Members: &discovery.List{}}
	if f.Seed != "" {
		if c.seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
			return nil, fmt.Errorf("seed: must be 64 bits in hexadecimal, not %q", f.Seed)
		}
	}
	if c.Router, c.host, err = f.Settings(); err != nil {
		return nil, err
	}
	for _, m := range f.Members {
		c.Members.Entries = append(c.Members.Entries, discovery.Entry{ID: m.ID, Addr: m.Address, Zone: m.Zone, Group: m.Group,
			Started: router.Never})
	}
	c.user, c.database = f.Fleet.CheckUser, f.Fleet.CheckDatabase
	if len(f.Fleet.Coordinators) > 0 {
		c.fleet = &f.Fleet
	}
	c.texts = map[string]string{}
	return c, checkAddresses(c, c.Discovery != "")
}
