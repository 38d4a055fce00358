package main

import (
	"fmt"
	"os"
	"strconv"

	"wayloft/internal/discovery"
	"wayloft/internal/settings"
	"wayloft/router"
)

// loadTOML reads our own form; its error names the line and key at fault.
func loadTOML(path string) (*config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c, err := decodeTOML(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	c.path = path
	return c, nil
}

func decodeTOML(text []byte) (*config, error) {
	f, err := settings.Read(text)
	if err != nil {
		return nil, err
	}
	c := &config{name: f.Name, listen: f.Listen, discovery: f.Discovery, memory: int(f.Limits.Memory),
		sockets: f.Limits.Descriptors, sessions: f.Limits.Sessions, links: f.Limits.Connections, perMember: f.Limits.PerMember,
		pools: f.PoolSettings(), known: &discovery.List{}}
	if f.Seed != "" {
		if c.seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
			return nil, fmt.Errorf("seed: must be 64 bits in hexadecimal, not %q", f.Seed)
		}
	}
	if c.set, c.host, err = f.Settings(); err != nil {
		return nil, err
	}
	for _, m := range f.Members {
		c.known.Entries = append(c.known.Entries, discovery.Entry{ID: m.ID, Addr: m.Address, Zone: m.Zone, Group: m.Group,
			Started: router.Never})
	}
	c.user, c.database = f.Fleet.CheckUser, f.Fleet.CheckDatabase
	if len(f.Fleet.Coordinators) > 0 {
		c.fleet = &f.Fleet
	}
	c.texts = map[string]string{}
	return c, checkAddresses(c, c.discovery != "")
}
