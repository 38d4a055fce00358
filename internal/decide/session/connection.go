package session

import "wayloft/internal/pg"

// settingsState is the part of the session state that a rollback restores.
type settingsState struct {
	client Settings // set by the client
	server Settings // in effect on its server connection
}

// with returns the state after a SET or RESET on the server connection.
func (s settingsState) with(startup Settings, settings ...pg.Setting) settingsState {
	return settingsState{client: s.client.with(startup, settings...), server: s.server.with(NoSettings, settings...)}
}

// Settings returns the settings that the session's server connection should have.
func (s *Session) Settings() Settings { return s.current.client }

// ServerSettings returns the settings that the session's server connection has.
func (s *Session) ServerSettings() Settings { return s.current.server }

// AttachConnection records that the session continues on a server connection with the given settings.
func (s *Session) AttachConnection(serverSettings Settings) {
	s.current.server = serverSettings
	s.transactionStart.server = serverSettings
}

// SettingsStatements returns the statements that change the settings of the server connection to those of the session.
func (s *Session) SettingsStatements() []string {
	if s.policy.SeededDefects.SkipSettings {
		return nil
	}
	return settingsStatements(s.current.server, s.current.client)
}

// SettingsApplied records that the server connection now has the settings of the session. beforeTransaction reports whether they were
// set before the transaction began on the connection, in which case a rollback keeps them.
func (s *Session) SettingsApplied(beforeTransaction bool) {
	s.current.server = s.current.client
	if beforeTransaction {
		s.transactionStart.server = s.current.client
	}
}

// setClientSettings sets the client's settings without involving a member. A rollback does not restore the previous ones.
func (s *Session) setClientSettings(settings Settings) {
	s.current.client = settings
	s.transactionStart.client = settings
}
