package pgserver

import (
	"encoding/binary"
	"strings"

	"wayloft/internal/pg"
)

// textType is the OID of the type text.
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
		c.out = pg.AppendEmptyMessage(c.out, '3')
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

// failExtended fails a message of the extended protocol and skips messages up to the next Sync.
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
	c.out = pg.AppendEmptyMessage(c.out, '1')
}

func (c *connection) bind(m *pg.Message) {
	sql, ok := c.prepared[m.Name]
	if !ok {
		c.failExtended(pg.InvalidSQLStatementName, "prepared statement "+m.Name+" does not exist")
		return
	}
	c.portals[m.Portal] = portal{sql, bindValues(m.Tail)}
	c.out = pg.AppendEmptyMessage(c.out, '2')
}

func (c *connection) describeMessage(m *pg.Message) {
	sql := c.portals[m.Portal].sql
	if m.Target == 'S' {
		var ok bool
		if sql, ok = c.prepared[m.Name]; !ok {
			c.failExtended(pg.InvalidSQLStatementName, "prepared statement "+m.Name+" does not exist")
			return
		}
		c.out = appendParameterDescription(c.out, strings.Count(sql, "$"))
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

// bindValues decodes the parameter values of a Bind message as text; a NULL becomes an empty string.
func bindValues(tail []byte) (out []string) {
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

// appendParameterDescription appends a ParameterDescription of n parameters of type text.
func appendParameterDescription(out []byte, n int) []byte {
	body := binary.BigEndian.AppendUint16(nil, uint16(n))
	for range n {
		body = binary.BigEndian.AppendUint32(body, textType)
	}
	return append(out, message('t', string(body))...)
}

// columnNames returns the names of a statement's result columns; nil for none.
func columnNames(sql string) []string {
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
	names := columnNames(sql)
	if names == nil {
		c.out = pg.AppendEmptyMessage(c.out, 'n')
		return
	}
	c.out = appendRowDescription(c.out, names)
}

// appendRowDescription appends a RowDescription with columns of type text.
func appendRowDescription(out []byte, names []string) []byte {
	body := binary.BigEndian.AppendUint16(nil, uint16(len(names)))
	for _, n := range names {
		body = append(append(body, n...), 0)
		body = append(body, 0, 0, 0, 0, 0, 0, 0, 0, 0, textType, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0)
	}
	return append(out, message('T', string(body))...)
}

// writeRow writes a DataRow with one column, preceded by its RowDescription if simple is set.
func (c *connection) writeRow(simple bool, name string, value string) {
	if simple {
		c.out = appendRowDescription(c.out, []string{name})
	}
	body := binary.BigEndian.AppendUint32([]byte{0, 1}, uint32(len(value)))
	c.out = append(c.out, message('D', string(body)+value)...)
}

// writeTag writes CommandComplete with the given tag.
func (c *connection) writeTag(tag string) { c.out = pg.AppendCommandComplete(c.out, tag) }

// message encodes a protocol message with the given type byte.
func message(typ byte, body string) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{typ}, uint32(len(body)+4)), body...)
}
