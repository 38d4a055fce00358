package backend

import "wayloft/internal/pg"

// encodeBarrier returns an empty query to be sent ahead of a unit if more of the previous response may still arrive, for instance a duplicate of
// it; else nothing. Whatever the member sends before the reply to the empty query belongs to an earlier response: without it, that would be
// taken for the response to the unit. encodeBarrier must be called before anything of the unit is encoded. An open unit gets no barrier, since
// a simple query would end it.
func (c *memberConn) encodeBarrier() []byte {
	if len(c.expected) > 0 || c.unsynced || !c.mayReceiveMore() {
		return nil
	}
	c.expected = append(c.expected, expectedReply{kind: pg.Query, barrier: true})
	return pg.AppendQuery(nil)
}

// mayReceiveMore reports whether more of the previous response may still arrive, or bytes have arrived that are not read yet.
func (c *memberConn) mayReceiveMore() bool {
	return c.backend.poolInput().Unsettled(c.id) || c.conn.Unread()
}
