// Package settings decodes the settings of routers and coordinator nodes: the JSON form of the platform (Decode), the TOML files of
// routers and coordinator nodes (Read, ReadCoordinator), and the policy that all routers of a fleet share (ReadPolicy, WritePolicy,
// Overlay). It translates their keys, words and units into the terms of the code, fills in what a TOML file leaves out, and names the
// place of a mistake. The router, the discovery watcher, the simulator's adapter and the laboratory call it. It never opens a file,
// and never decides anything about a request.
package settings
