package frontend

import (
	"crypto/rand"
	"encoding/binary"
	"strings"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	decide "wayloft/internal/decide/session"
	"wayloft/internal/pg"
)

// defaultParameters are the server parameters that a client receives before any member has reported its own. All sessions share them, since
// a copy for each would be most of the memory of an idle session.
var defaultParameters = func() *iradix.Tree[string] {
	tree := iradix.New[string]()
	for name, value := range map[string]string{
		"server_version":              "16.0",
		"server_encoding":             "UTF8",
		"client_encoding":             "UTF8",
		"standard_conforming_strings": "on",
		"integer_datetimes":           "on",
		"DateStyle":                   "ISO, MDY",
		"TimeZone":                    "UTC",
	} {
		tree, _, _ = tree.Insert([]byte(name), value)
	}
	return tree
}()

// startPooled handles the startup message of a session in transaction pooling mode.
func (s *session) startPooled(m pg.Message) {
	pool := s.frontend.pooling.findPool(m.Startup)
	if pool == nil {
		s.frontend.ProtocolErrors++
		s.finishWithError(errUnknownPool)
		return
	}
	settings, startupError := decide.StartupSettings(m.Startup)
	if startupError != nil {
		s.frontend.ProtocolErrors++
		s.finishWithError(startupError)
		return
	}
	p := &pooledSession{session: s, pool: pool, decisions: decide.New(pool.Policy, settings)}
	p.reportedParameters = withSettings(p.defaultParameters(), p.defaultParameters(), decide.NoSettings, settings)
	s.pooled, s.sentQuery = p, true
	s.reader.EnableExtended()
	p.cancelKey = s.frontend.newCancelKey()
	s.frontend.cancelKeys[p.cancelKey] = p
	s.write(p.greeting(m.MinorVersion))
}

// defaultParameters returns the parameters of a session that has set nothing.
func (p *pooledSession) defaultParameters() *iradix.Tree[string] {
	if known := p.pool.KnownParameters(); known.Len() > 0 {
		return known
	}
	return defaultParameters
}

// withSettings returns the parameters after a change of a client's settings that no member has reported. A parameter whose setting is no longer
// set has its default.
func withSettings(parameters, defaults *iradix.Tree[string], before, after decide.Settings) *iradix.Tree[string] {
	if before.ID() == after.ID() {
		return parameters
	}
	changed := parameters
	parameters.Root().Walk(func(name []byte, previous string) bool {
		key := strings.ToLower(string(name))
		oldText, _ := before.Get(key)
		newText, set := after.Get(key)
		value, known := defaults.Get(name)
		if set {
			value, known = pg.Unquote(newText), true
		}
		if oldText != newText && known && value != previous {
			changed, _, _ = changed.Insert(name, value)
		}
		return false
	})
	return changed
}

// greeting returns the response to the startup message.
func (p *pooledSession) greeting(minorVersion int) []byte {
	var out []byte
	if minorVersion > 0 {
		out = pg.AppendNegotiateProtocolVersion(out)
	}
	out = pg.AppendAuthenticationOK(out)
	p.reportedParameters.Root().Walk(func(name []byte, value string) bool {
		out = pg.AppendParameterStatus(out, string(name), value)
		return false
	})
	return pg.AppendReadyIdle(pg.AppendBackendKeyData(out, p.cancelKey))
}

// newCancelKey returns a random key that no session uses.
func (f *Frontend) newCancelKey() pg.CancelKey {
	for {
		var random [8]byte
		_, _ = rand.Read(random[:]) // crypto/rand never returns an error
		key := pg.CancelKey{
			Process: binary.BigEndian.Uint32(random[:]) >> 1, // positive as a signed integer, as clients expect of a process id
			Secret:  binary.BigEndian.Uint32(random[4:]),
		}
		if key != (pg.CancelKey{}) && f.cancelKeys[key] == nil {
			return key
		}
	}
}
