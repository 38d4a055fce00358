package pgserver

import (
	"encoding/binary"
	"strings"

	"wayloft/internal/pg"
)

// textType is the object id of the type text.
const textType = 25

func (c *connection) handleMessage(m *pg.Message) {
	if c.copying != nil {
		c.copyIn(m)
		return
	}
	if c.skipToSync && m.Kind != pg.Sync {
		return
	}
	switch m.Kind {
	case pg.Query:
		c.simpleQuery(m)
	case pg.Sync:
		c.skipToSync = false
		c.writeReady()
	case pg.Parse:
		c.parse(m)
	case pg.Bind:
		c.bind(m)
	case pg.Describe:
		c.describeMessage(m)
	case pg.Execute:
		c.execute(m)
	case pg.Close:
		if m.Target == 'S' {
			delete(c.prepared, m.Name)
		} else {
			delete(c.portals, m.Portal)
		}
		c.out = pg.AppendBodyless(c.out, '3')
	}
}

func (c *connection) simpleQuery(m *pg.Message) {
	texts := pg.SplitStatements(m.Text)
	if len(texts) == 0 {
		c.out = pg.AppendEmptyQuery(c.out)
	}
	for _, text := range texts {
		if c.runStatement(text, nil, true); c.failed {
			break
		}
		if c.copying != nil {
			return
		}
	}
	c.writeReady()
}

// failExtended answers with an error to a message of the extended protocol.
func (c *connection) failExtended(code, text string) {
	c.fail(code, text)
	c.skipToSync = true
}

func (c *connection) parse(m *pg.Message) {
	if _, taken := c.prepared[m.Name]; taken && m.Name != "" {
		c.failExtended(pg.DuplicatePreparedStatement, "prepared statement "+m.Name+" already exists")
		return
	}
	c.server.mu.Lock()
	c.server.parses++
	c.server.mu.Unlock()
	c.prepared[m.Name] = m.Text
	c.out = pg.AppendBodyless(c.out, '1')
}

func (c *connection) bind(m *pg.Message) {
	sql, ok := c.prepared[m.Name]
	if !ok {
		c.failExtended(pg.InvalidSQLStatementName, "prepared statement "+m.Name+" does not exist")
		return
	}
	c.portals[m.Portal] = portal{sql, values(m.Tail)}
	c.out = pg.AppendBodyless(c.out, '2')
}

func (c *connection) describeMessage(m *pg.Message) {
	sql := c.portals[m.Portal].sql
	if m.Target == 'S' {
		var ok bool
		if sql, ok = c.prepared[m.Name]; !ok {
			c.failExtended(pg.InvalidSQLStatementName, "prepared statement "+m.Name+" does not exist")
			return
		}
		c.out = parameters(c.out, strings.Count(sql, "$"))
	}
	c.describeStatement(sql)
}

func (c *connection) execute(m *pg.Message) {
	p, ok := c.portals[m.Portal]
	if !ok {
		c.fail(pg.InvalidCursorName, "portal does not exist")
	} else {
		c.runStatement(p.sql, p.args, false)
	}
	c.skipToSync = c.failed
}

// values reads the parameters of a Bind message, each as text.
func values(tail []byte) (out []string) {
	n := int(binary.BigEndian.Uint16(tail))
	tail = tail[2+2*n:]
	n, tail = int(binary.BigEndian.Uint16(tail)), tail[2:]
	for range n {
		size := int(int32(binary.BigEndian.Uint32(tail)))
		tail = tail[4:]
		if size < 0 {
			out = append(out, "")
			continue
		}
		out, tail = append(out, string(tail[:size])), tail[size:]
	}
	return out
}

// parameters appends the types of n parameters.
func parameters(out []byte, n int) []byte {
	body := binary.BigEndian.AppendUint16(nil, uint16(n))
	for range n {
		body = binary.BigEndian.AppendUint32(body, textType)
	}
	return append(out, message('t', string(body))...)
}

// columns returns the names of the columns that a statement returns; nil for none.
func columns(sql string) []string {
	l := strings.ToLower(strings.Join(strings.Fields(sql), " "))
	if end := strings.Index(l, "*/ "); strings.HasPrefix(l, "/*") && end >= 0 {
		l = l[end+3:]
	}
	switch {
	case strings.HasPrefix(l, `select "handle", "blob" from`):
		return []string{"handle", "blob"}
	case strings.HasPrefix(l, "select"), strings.HasPrefix(l, "show"), strings.Contains(l, "returning"), strings.HasPrefix(l, "execute"):
		return []string{"blob"}
	}
	return nil
}

func (c *connection) describeStatement(sql string) {
	names := columns(sql)
	if names == nil {
		c.out = pg.AppendBodyless(c.out, 'n')
		return
	}
	c.out = describe(c.out, names)
}

// describe appends a row description.
func describe(out []byte, names []string) []byte {
	body := binary.BigEndian.AppendUint16(nil, uint16(len(names)))
	for _, n := range names {
		body = append(append(body, n...), 0)
		body = append(body, 0, 0, 0, 0, 0, 0, 0, 0, 0, textType, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0)
	}
	return append(out, message('T', string(body))...)
}

// writeRow answers with a row of one column; in the simple protocol its description goes first.
func (c *connection) writeRow(simple bool, name string, value string) {
	if simple {
		c.out = describe(c.out, []string{name})
	}
	body := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value)))
	c.out = append(c.out, message('D', string(body)+value)...)
}

// writeTag answers that a command is complete.
func (c *connection) writeTag(tag string) { c.out = pg.AppendCommandComplete(c.out, tag) }

// message encodes a message of the protocol.
func message(typ byte, body string) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{typ}, uint32(len(body)+4)), body...)
}
