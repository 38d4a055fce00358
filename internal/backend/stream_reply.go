package backend

import (
	"slices"
	"strings"

	"wayloft/internal/decide/session"
	"wayloft/internal/pg"
	"wayloft/internal/request"
	"wayloft/router"
)

// deliverLocalReplies delivers the local replies at the head of the queue.
func (c *memberConn) deliverLocalReplies() {
	for len(c.expected) > 0 && c.expected[0].localReply != nil {
		reply := c.expected[0]
		c.expected = c.expected[1:]
		if c.job != nil && reply.forClient {
			message := pg.Message{Kind: session.ReplyKind(reply.kind), Text: reply.localTag, Raw: reply.localReply}
			c.job.request.Stream.Receive(message)
		}
	}
}

// popExpected removes and returns the first expected reply if it is a reply to one of the given kinds.
func (c *memberConn) popExpected(kinds ...pg.Kind) (reply expectedReply, ok bool) {
	if len(c.expected) == 0 {
		return reply, false
	}
	for _, kind := range kinds {
		if c.expected[0].kind == kind {
			reply = c.expected[0]
			c.expected = c.expected[1:]
			return reply, true
		}
	}
	return reply, false
}

// handleStreamMessage processes one message on a connection for streams. It returns false if the message violates the protocol.
func (c *memberConn) handleStreamMessage(m *pg.Message) bool {
	if c.parts.flushed {
		if handled, ok := c.skipDuplicate(m); handled {
			return ok
		}
	}
	switch m.Kind {
	case pg.AuthenticationOK, pg.Ignored:
		return true
	case pg.BackendKeyData:
		c.cancelKey = m.Key
		return true
	case pg.ParameterStatus:
		c.recordRouterParameter(m.Name, m.Text)
		if !isRouterParameter(m.Name) {
			c.recordClientParameter(m.Name, m.Text)
		}
		return true
	case pg.NoticeResponse:
		if c.job != nil && len(c.expected) > 0 && c.expected[0].forClient {
			c.job.request.Stream.Receive(*m)
		}
		return true
	case pg.NotificationResponse:
		c.passOnNotification(m)
		return true
	case pg.ErrorResponse:
		if !c.ready {
			return c.handleLoginError(m.Error)
		}
		return c.handleStreamError(m)
	case pg.ReadyForQuery:
		if !c.ready {
			return c.becomeReady()
		}
		return c.handleStreamReady(m)
	}
	return c.handleReply(m)
}

// passOnNotification passes on what another session has notified. It may come at any time, also while the session that listens is idle.
func (c *memberConn) passOnNotification(m *pg.Message) {
	switch {
	case c.job != nil:
		c.job.request.Stream.Receive(*m)
	case c.reservedFor != nil:
		c.reservedFor.DeliverMessages([]pg.Message{*m})
	}
}

// recordClientParameter records a parameter that is also passed on to clients. Those of a login are the values of a session that has set nothing.
func (c *memberConn) recordClientParameter(name, value string) {
	c.parameters, _, _ = c.parameters.Insert([]byte(name), value)
	if !c.ready {
		c.backend.parameters[c.pool] = c.parameters
	}
	c.reportParameters()
}

// reportParameters reports the parameters to the client of the request in progress. While its settings are being applied, some parameters still
// follow the settings of another client.
func (c *memberConn) reportParameters() {
	if c.job != nil && c.internalPending == 0 {
		c.job.request.Stream.Client.ServerParameters(c.parameters)
	}
}

// handleReply processes a message that is part of the first expected reply. It returns false if the message violates the protocol.
func (c *memberConn) handleReply(m *pg.Message) bool {
	if !c.ready || len(c.expected) == 0 {
		return false
	}
	reply, ok := c.matchExpected(m)
	if !ok {
		return false
	}
	if reply.forClient && c.job != nil {
		if m.Kind == pg.CopyInResponse {
			c.copyingIn = true
			c.setTurn(c.job, false)
		}
		c.job.request.Stream.Receive(*m)
	}
	c.deliverLocalReplies()
	c.awaitClientBehindFlush()
	return true
}

// matchExpected returns the first expected reply, and whether the message can be part of it. It removes the reply from the queue if the
// message completes it.
func (c *memberConn) matchExpected(m *pg.Message) (reply expectedReply, ok bool) {
	first := c.expected[0]
	if first.barrier && m.Kind != pg.EmptyQuery {
		return first, false
	}
	inResult := first.kind == pg.Query || first.kind == pg.Execute
	switch m.Kind {
	case pg.ParseComplete:
		return c.popExpected(pg.Parse)
	case pg.BindComplete:
		reply, ok = c.popExpected(pg.Bind)
		if ok {
			c.lastBound = reply.statement
		}
		return reply, ok
	case pg.CloseComplete:
		return c.popExpected(pg.Close)
	case pg.NoData:
		return c.popExpected(pg.Describe)
	case pg.PortalSuspended:
		return c.popExpected(pg.Execute)
	case pg.CommandComplete, pg.EmptyQuery:
		if m.Kind == pg.CommandComplete && (m.Text == discardAll || m.Text == deallocateAll) {
			c.prepared.Purge()
		}
		if first.kind == pg.Execute {
			return c.popExpected(pg.Execute)
		}
		c.completeQuery()
		return first, first.kind == pg.Query
	case pg.RowDescription:
		if first.kind == pg.Describe {
			return c.popExpected(pg.Describe)
		}
		return first, inResult
	case pg.ParameterDescription:
		return first, first.kind == pg.Describe
	case pg.DataRow, pg.CopyInResponse, pg.CopyOutResponse, pg.CopyData, pg.CopyDone:
		return first, inResult
	}
	return first, false
}

// completeQuery records that everything of the reply to a simple query was received except ReadyForQuery, if that reply is expected now.
func (c *memberConn) completeQuery() {
	if len(c.expected) > 0 && c.expected[0].kind == pg.Query {
		c.expected[0].completed = true
	}
}

// handleStreamReady processes a ReadyForQuery, which ends the replies to a barrier, an internal query or the client's messages.
func (c *memberConn) handleStreamReady(m *pg.Message) bool {
	reply, ok := c.popExpected(pg.Query, pg.Sync)
	if !ok || reply.kind == pg.Query && !reply.completed {
		return false
	}
	if reply.barrier {
		c.deliverLocalReplies()
		return true
	}
	c.backend.poolInput().ResponseEnded(c.id)
	if c.internalPending > 0 {
		c.internalPending--
		return c.finishInternalQuery(m)
	}
	j := c.job
	if j == nil {
		return false
	}
	stream := j.request.Stream
	c.transactionStatus = m.Status
	c.parts = unitParts{}
	stale := c.staleStatement
	c.staleStatement = nil
	if stale != nil && m.Status == session.StatusIdle {
		c.replay(stale)
		return true
	}
	if outcome, aboutMember := c.memberOutcome(); aboutMember {
		c.backend.endJob(j, outcome)
		return true
	}
	if c.readFromFormerPrimary() {
		c.endPinnedSession()
		return true
	}
	stream.Receive(*m)
	stream.Flush()
	stream.NextQuery()
	if c.job != j { // the client terminated its session
		return true
	}
	if m.Status == session.StatusIdle && c.nothingExpected() {
		c.backend.endJob(j, router.Succeeded)
	} else if c.nothingExpected() {
		c.setTurn(j, false)
	}
	return true
}

// readFromFormerPrimary reports whether a request that needs the primary has only read, on the connection reserved for its session, from a member
// that reports itself a replica with this response, of which the client has received nothing. The rows may be old.
func (c *memberConn) readFromFormerPrimary() bool {
	req := c.job.request
	if c.role != router.Replica || req.Stream.Reserved != request.BackendConn(c) || req.Stream.Started() {
		return false
	}
	return c.backend.options.PrimaryClasses[req.RequestClass] && onlyRead(req.Stream.Buffered())
}

// onlyRead reports whether all commands that a response completes are reads.
func onlyRead(response []pg.Message) bool {
	return !slices.ContainsFunc(response, func(m pg.Message) bool {
		command, _, _ := strings.Cut(m.Text, " ")
		return m.Kind == pg.CommandComplete && command != "SELECT" && command != "SHOW" && command != "FETCH" && command != "BEGIN"
	})
}

// endPinnedSession ends the session of the request in progress, whose response is discarded. The router learns the role that the member has
// reported.
func (c *memberConn) endPinnedSession() {
	client := c.job.request.Stream.Client
	c.backend.endJob(c.job, router.Succeeded)
	client.Terminate(request.ErrPinLost)
}

// writeInternalSync writes internal messages, followed by a Sync.
func (c *memberConn) writeInternalSync(out []byte) {
	c.expected = append(c.expected, expectedReply{kind: pg.Sync})
	c.internalPending++
	c.conn.Write(pg.AppendSync(out))
}

// finishInternalQuery continues after the ReadyForQuery that ends an internal query. The queued operations are sent once no internal
// query is pending.
func (c *memberConn) finishInternalQuery(m *pg.Message) bool {
	switch {
	case c.job == nil && c.unusable:
		c.drop()
	case c.job == nil:
		c.returnUnlessPending()
	case c.unusable: // the member's error about the settings or the BEGIN is delivered to the client
		if c.queryError == nil {
			c.queryError = c.job.request.Stream.Failure()
		}
		c.backend.endJob(c.job, router.ServerError)
	case c.internalPending == 0:
		c.job.request.Stream.Client.Session().SettingsApplied(true)
		c.reportParameters()
		c.transactionStatus = m.Status
		ops := c.queued
		c.queued = nil
		c.Send(ops)
	}
	return true
}
