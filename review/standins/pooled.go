package main

import (
	"os"
	"path/filepath"
)

// startPooled starts members, and a router with the shipped configuration for pools.
func startPooled(r *run, listen *string, members ...*dbServer) (*process, error) {
	var addresses []string
	for _, m := range members {
		if err := m.listen(); err != nil {
			return nil, err
		}
		addresses = append(addresses, m.addr())
	}
	var err error
	if *listen, err = freeAddress(); err != nil {
		return nil, err
	}
	text, err := shippedConfig(r.root, *listen, addresses...)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(r.dir, "wayloft.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	router, err := startRouter(r.root, r.dir, path, *listen)
	if err == nil {
		r.rec.line("router at %s, pid %d; members %v", *listen, router.pid(), addresses)
	}
	return router, err
}
