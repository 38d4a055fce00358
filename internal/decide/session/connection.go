package session

import "wayloft/internal/pg"

// settingsState is what a transaction that fails takes back.
type settingsState struct {
	client Settings // what the client has set
	server Settings // what its connection has
}

// with returns the state after a SET or RESET on the connection.
func (s settingsState) with(startup Settings, settings ...pg.Setting) settingsState {
	return settingsState{client: s.client.with(startup, settings...), server: s.server.with(NoSettings, settings...)}
}

// Settings returns the settings that the session's connection should have.
func (s *Session) Settings() Settings { return s.current.client }

// ServerSettings returns the settings that the session's connection has.
func (s *Session) ServerSettings() Settings { return s.current.server }

// AttachConnection has the session go on with a connection that has these settings.
func (s *Session) AttachConnection(serverSettings Settings) {
	s.current.server = serverSettings
	s.transactionStart.server = serverSettings
}

// SettingsStatements returns the statements that bring the settings of the session's connection to the session's own.
func (s *Session) SettingsStatements() []string {
	if s.policy.SeededDefects.SkipSettings {
		return nil
	}
	return settingsStatements(s.current.server, s.current.client)
}

// SettingsApplied records that the session's connection has the settings that it should have. beforeTransaction says whether they were set
// before the transaction began on the connection: a rollback then keeps them.
func (s *Session) SettingsApplied(beforeTransaction bool) {
	s.current.server = s.current.client
	if beforeTransaction {
		s.transactionStart.server = s.current.client
	}
}

// setClientSettings sets the client's settings without a member. No transaction takes them back.
func (s *Session) setClientSettings(settings Settings) {
	s.current.client = settings
	s.transactionStart.client = settings
}
