package server

import (
	"wayloft/internal/discovery"
	"wayloft/internal/settings"
	"wayloft/router"
)

// DecodeTOML decodes a configuration in TOML. Its error names the invalid line and key.
func DecodeTOML(text []byte) (*Config, error) {
	file, err := settings.ReadRouter(text)
	if err != nil {
		return nil, err
	}
	c := &Config{
		Name:                    file.Name,
		Listen:                  file.Listen,
		Discovery:               file.Discovery,
		Members:                 initialMembers(file.Members),
		memoryBytes:             int(file.Limits.Memory),
		maxDescriptors:          file.Limits.Descriptors,
		maxSessions:             file.Limits.Sessions,
		maxConnections:          file.Limits.Connections,
		maxConnectionsPerMember: file.Limits.PerMember,
		pools:                   file.PoolSettings(),
		checkUser:               file.Fleet.CheckUser,
		checkDatabase:           file.Fleet.CheckDatabase,
	}
	if file.Seed != "" {
		if c.seed, err = parseSeed(file.Seed); err != nil {
			return nil, err
		}
	}
	if c.Router, c.runtime, err = file.Settings(); err != nil {
		return nil, err
	}
	if len(file.Fleet.Coordinators) > 0 {
		c.fleet = &file.Fleet
	}
	if err := settings.CheckAddress("listen", c.Listen); err != nil {
		return nil, err
	}
	if c.Discovery != "" {
		if err := settings.CheckAddress("discovery", c.Discovery); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// initialMembers converts the members listed in the file to an endpoint list. Their start times are unknown.
func initialMembers(members []settings.Member) *discovery.List {
	list := &discovery.List{}
	for _, member := range members {
		list.Entries = append(list.Entries, discovery.Entry{
			ID:      member.ID,
			Addr:    member.Address,
			Zone:    member.Zone,
			Group:   member.Group,
			Started: router.Never,
		})
	}
	return list
}
