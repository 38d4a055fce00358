package fakes

import (
	"errors"
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
	buffer []byte
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
	client := &Client{t: t, Conn: c, reader: pg.NewReader(true, maxMessageBytes), buffer: make([]byte, readBufferBytes)}
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
	for {
		m, err := c.next()
		if err != nil {
			c.t.Fatalf("no message of kind %d: %v", kind, err)
		}
		if m.Kind == kind {
			return m
		}
	}
}

// ReadTypes reads up to the next message of a kind. It returns the type byte of each message, with the first value of a row behind it, such
// as "1 2 D=VALUE C". It fails the test if the connection ends first.
func (c *Client) ReadTypes(last pg.Kind) string {
	c.t.Helper()
	var out []string
	for {
		m, err := c.next()
		if err != nil {
			c.t.Fatalf("no message of kind %d behind %q: %v", last, out, err)
		}
		word := string(m.Raw[:1])
		if m.Kind == pg.DataRow {
			word += "=" + string(m.FirstColumn)
		}
		out = append(out, word)
		if m.Kind == last {
			return strings.Join(out, " ")
		}
	}
}

// errEnded means that the connection has ended, or that no message arrived in time.
var errEnded = errors.New("closed")

// next reads the next message.
func (c *Client) next() (pg.Message, error) {
	for {
		m, complete, err := c.reader.Next()
		if complete || err != nil {
			return m, err
		}
		_ = c.SetReadDeadline(time.Now().Add(waitTimeout)) // it fails only on a closed connection, which the read reports
		n, err := c.Read(c.buffer)
		if err != nil {
			return m, errEnded
		}
		c.reader.Feed(c.buffer[:n])
	}
}

// ReadResponse reads up to ReadyForQuery or the end of the connection. It returns a textual summary of the response, such as "VALUE ok
// ready", "CODE ready", "empty ready" or "CODE closed".
func (c *Client) ReadResponse() string {
	var out []string
	for {
		m, err := c.next()
		switch {
		case err != nil:
			return strings.Join(append(out, err.Error()), " ")
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
