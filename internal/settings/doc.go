// Package settings decodes the settings of routers and coordinator nodes: the platform's JSON (DecodePlatform), the TOML files of routers
// and coordinator nodes (ReadRouter, ReadCoordinator), and the policy that all routers of a fleet share (ReadPolicy, WritePolicy, Overlay).
// It translates their keys, keywords and units into the terms of the code and applies the defaults of the TOML files. Its errors name the
// line, key or field at fault. The package never opens a file and never decides anything about a request.
package settings
