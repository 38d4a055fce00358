package server

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"wayloft/internal/pg"
)

// transcriptClient is a client that records all that it sends and receives.
type transcriptClient struct {
	t    *testing.T
	conn net.Conn
	out  *strings.Builder
	key  []byte // the body of its BackendKeyData
}

// newTranscriptClient connects and records the messages up to the first ReadyForQuery.
func newTranscriptClient(t *testing.T, out *strings.Builder, addr, name string, startup []byte) *transcriptClient {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeSocket(conn) })
	fmt.Fprintf(out, "\nclient: %s\n", name)
	c := &transcriptClient{t: t, conn: conn, out: out}
	c.send(startup, 1)
	return c
}

// send sends bytes and then reads as read does.
func (c *transcriptClient) send(b []byte, ready int) {
	c.t.Helper()
	fmt.Fprintf(c.out, "> %.200q\n", b)
	if _, err := c.conn.Write(b); err != nil {
		c.t.Fatal(err)
	}
	c.read(ready)
}

// read records messages until a number of ReadyForQuery or CopyInResponse messages have arrived, or the connection has ended.
func (c *transcriptClient) read(ready int) {
	c.t.Helper()
	for ready > 0 {
		kind, body, err := c.message()
		if err != nil {
			fmt.Fprintf(c.out, "< end\n")
			return
		}
		switch kind {
		case 'K':
			c.key, body = body, []byte("KEY")
		case 'Z', 'G':
			ready--
		}
		fmt.Fprintf(c.out, "< %c %.400q\n", kind, body)
	}
}

func (c *transcriptClient) message() (kind byte, body []byte, err error) {
	if err := c.conn.SetReadDeadline(time.Now().Add(20 * time.Second)); err != nil {
		return 0, nil, err
	}
	var header [5]byte
	if _, err := io.ReadFull(c.conn, header[:]); err != nil {
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.t.Fatal("no message before the read deadline")
		}
		return 0, nil, err
	}
	body = make([]byte, int(header[1])<<24+int(header[2])<<16+int(header[3])<<8+int(header[4])-4)
	_, err = io.ReadFull(c.conn, body)
	return header[0], body, err
}

func transcriptQueries(queries ...string) (out []byte) {
	for _, sql := range queries {
		out = pg.AppendQuery(out, sql)
	}
	return out
}

func transcriptParse(out []byte, name, sql string) []byte {
	return pg.AppendParse(out, name, []byte(sql+"\x00\x00\x00"))
}

func transcriptBind(out []byte, portal, name, value string) []byte {
	tail := []byte{0, 0, 0, 0, 0, 0}
	if value != "" {
		tail = append([]byte{0, 0, 0, 1, 0, 0, 0, byte(len(value))}, value...)
		tail = append(tail, 0, 0)
	}
	return pg.AppendBind(out, portal, name, tail)
}

const transcriptSelect = "SELECT blob FROM rows WHERE handle = $1"

// cancelTranscript sends cancel requests until a client's statement has ended, and records what the client receives.
func cancelTranscript(t *testing.T, addr string, c *transcriptClient) {
	t.Helper()
	done := make(chan bool)
	go func() {
		defer close(done)
		c.read(1)
	}()
	for {
		cancel, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := cancel.Write(append([]byte("\x00\x00\x00\x10\x04\xd2\x16\x2e"), c.key...)); err != nil {
			t.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, cancel)
		closeSocket(cancel)
		select {
		case <-done:
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
}
