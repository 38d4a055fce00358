package pgserver

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"

	"wayloft/internal/pg"
)

// binaryHeaderBytes is the size of the binary COPY header, in bytes.
const binaryHeaderBytes = 19

// copyData collects the data of a COPY FROM STDIN.
type copyData struct {
	binary bool
	data   []byte
	simple bool // started by the simple query protocol
}

func (c *connection) copy(lower string, simple bool) {
	if strings.Contains(lower, "to stdout") {
		c.out = append(c.out, message('H', "\x00\x00\x02\x00\x00\x00\x00")...)
		for n := range 3 {
			c.out = append(c.out, message('d', fmt.Sprintf("h%d\tv%d\n", n, n))...)
		}
		c.out = pg.AppendEmptyMessage(c.out, 'c')
		c.writeTag("COPY 3")
		return
	}
	if !c.server.isPrimary() {
		c.writePosition(c.server.applied())
		c.fail(pg.ReadOnlySQLTransaction, "cannot execute COPY FROM in a read-only transaction")
		return
	}
	c.copying = &copyData{binary: strings.Contains(lower, "binary"), simple: simple}
	format := "\x00\x00\x02\x00\x00\x00\x00"
	if c.copying.binary {
		format = "\x01\x00\x02\x00\x01\x00\x01"
	}
	c.out = append(c.out, message('G', format)...)
}

func (c *connection) copyIn(m *pg.Message) {
	switch m.Kind {
	case pg.CopyData:
		c.copying.data = append(c.copying.data, m.Raw[5:]...)
		return
	case pg.Flush, pg.Sync: // ignored during COPY IN, as in the protocol
		return
	}
	done := c.copying
	c.copying = nil
	if m.Kind != pg.CopyDone {
		c.fail("57014", "COPY from stdin failed")
	} else {
		rows := done.rows()
		c.writes = append(c.writes, rows...)
		c.writeTag("COPY " + strconv.Itoa(len(rows)))
	}
	if done.simple {
		c.writeReady()
	} else {
		c.skipToSync = c.failed
	}
}

// rows parses the collected data as text or binary rows.
func (c *copyData) rows() (out [][2]string) {
	if !c.binary {
		for _, line := range strings.Split(strings.TrimRight(string(c.data), "\n"), "\n") {
			handle, blob, _ := strings.Cut(line, "\t")
			out = append(out, [2]string{handle, blob})
		}
		return out
	}
	b := c.data
	if len(b) < binaryHeaderBytes {
		return nil
	}
	for b = b[binaryHeaderBytes:]; len(b) >= 2 && int16(binary.BigEndian.Uint16(b)) > 0; {
		fields := int(binary.BigEndian.Uint16(b))
		b = b[2:]
		var row [2]string
		for n := range fields {
			size := int(int32(binary.BigEndian.Uint32(b)))
			b = b[4:]
			if size > 0 {
				if n < 2 {
					row[n] = string(b[:size])
				}
				b = b[size:]
			}
		}
		out = append(out, row)
	}
	return out
}
