package session

// Type bytes of server messages.
const (
	parseCompleteByte        = '1'
	bindCompleteByte         = '2'
	closeCompleteByte        = '3'
	noDataByte               = 'n'
	parameterDescriptionByte = 't'
)

// ConnectionLost records that the session's server connection has ended, or that its request did not get one. sent reports whether
// anything was sent to the member. The result reports whether the transaction may have committed nevertheless. The session then behaves
// as after a failed transaction.
func (s *Session) ConnectionLost(sent bool) (mayHaveCommitted bool) {
	mayHaveCommitted = sent && s.effect.atEnd
	if s.status != StatusIdle { // to the client the transaction is still open, so it must end it
		s.status = StatusFailed
	}
	s.current = settingsState{client: s.transactionStart.client, server: NoSettings}
	s.beginTransaction()
	s.prepared = s.confirmed
	clear(s.portals)
	s.expected, s.errorReceived = nil, false
	s.effect = unitEffect{}
	s.firstCommand, s.statementRan, s.deferred = nil, false, deferredBegin{}
	if sent {
		s.resetSticky()
	}
	return mayHaveCommitted
}
