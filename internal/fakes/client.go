package fakes

import (
	"net"
	"strings"
	"testing"
	"time"

	"wayloft/internal/pg"
)

// Client is a fake client with one connection.
type Client struct {
	t *testing.T
	net.Conn
	reader *pg.Reader
	Key    pg.CancelKey // the cancel key that the server sent
}

// NewClient connects and, if start is set, starts a session. The connection is closed when the test ends.
func NewClient(t *testing.T, addr string, start bool) *Client {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { closeSocket(c) })
	client := &Client{t: t, Conn: c, reader: pg.NewReader(true, maxMessageBytes)}
	client.reader.EnableExtended()
	if start {
		client.Send(string(pg.AppendStartup(nil, "api", "ledger")))
		if got := client.ReadResponse(); got != "ready" {
			t.Fatalf("startup response: %s", got)
		}
	}
	return client
}

// Send writes raw bytes and fails the test on a write error.
func (c *Client) Send(b string) {
	c.t.Helper()
	if _, err := c.Write([]byte(b)); err != nil {
		c.t.Fatal(err)
	}
}

// SendQuery sends a simple query.
func (c *Client) SendQuery(sql string) {
	c.t.Helper()
	c.Send(string(pg.AppendQuery(nil, sql)))
}

// ReadUntil reads up to the next message of a kind and returns it. It fails the test if the connection ends first.
func (c *Client) ReadUntil(kind pg.Kind) pg.Message {
	c.t.Helper()
	buffer := make([]byte, readBufferBytes)
	_ = c.SetReadDeadline(time.Now().Add(waitTimeout)) // it fails only on a closed connection, which the next read reports
	for {
		m, ok, err := c.reader.Next()
		if err != nil {
			c.t.Fatal(err)
		}
		if ok && m.Kind == kind {
			return m
		}
		if ok {
			continue
		}
		n, err := c.Read(buffer)
		if err != nil {
			c.t.Fatalf("no message of kind %d: %v", kind, err)
		}
		c.reader.Feed(buffer[:n])
	}
}

// ReadResponse reads up to ReadyForQuery or the end of the connection. It returns a textual summary of the response, such as "VALUE ok
// ready", "CODE ready", "empty ready" or "CODE closed".
func (c *Client) ReadResponse() string {
	var out []string
	buffer := make([]byte, readBufferBytes)
	_ = c.SetReadDeadline(time.Now().Add(waitTimeout)) // it fails only on a closed connection, which the next read reports
	for {
		m, ok, err := c.reader.Next()
		switch {
		case err != nil:
			return strings.Join(append(out, err.Error()), " ")
		case !ok:
			n, err := c.Read(buffer)
			if err != nil {
				return strings.Join(append(out, "closed"), " ")
			}
			c.reader.Feed(buffer[:n])
		case m.Kind == pg.BackendKeyData:
			c.Key = m.Key
		case m.Kind == pg.DataRow:
			out = append(out, string(m.FirstColumn))
		case m.Kind == pg.CommandComplete:
			out = append(out, "ok")
		case m.Kind == pg.EmptyQuery:
			out = append(out, "empty")
		case m.Kind == pg.ErrorResponse:
			out = append(out, m.Error.Code)
		case m.Kind == pg.ReadyForQuery:
			return strings.Join(append(out, "ready"), " ")
		}
	}
}
