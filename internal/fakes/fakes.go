// Package fakes has the other ends for tests: a member and a client that speak the protocol as they are told to.
// It owns their sockets, on loopback; it must never be part of the program.
package fakes

import (
	"encoding/binary"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"wayloft/internal/pg"
)

// Reply is what a member does with a query.
type Reply struct {
	Bytes []byte
	Close bool // the connection, afterwards
}

// Member answers queries by a function; a nil reply leaves them without any.
type Member struct {
	Addr   string
	Empty  func() *Reply // answers empty queries; nil: as any server does
	listen net.Listener

	greet    *Reply
	answer   func(sql string) *Reply
	mu       sync.Mutex
	accepted int
	asked    []string
}

// NewMember starts one that greets and answers as told. A greet of nil greets as usual.
func NewMember(t *testing.T, greet *Reply, answer func(sql string) *Reply) *Member {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := &Member{Addr: l.Addr().String(), listen: l, greet: greet, answer: answer}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go m.serve(c)
		}
	}()
	return m
}

func (m *Member) serve(c net.Conn) {
	r := pg.NewReader(false, 1<<20)
	buf := make([]byte, 1<<16)
	for {
		n, err := c.Read(buf)
		if err != nil {
			c.Close()
			return
		}
		r.Feed(buf[:n])
		for {
			msg, ok, err := r.Next()
			if err != nil || msg.Kind == pg.Terminate {
				c.Close()
				return
			}
			if !ok {
				break
			}
			reply := m.hear(msg)
			if reply == nil {
				continue
			}
			c.Write(reply.Bytes)
			if reply.Close {
				c.Close()
				return
			}
		}
	}
}

func (m *Member) hear(msg pg.Message) *Reply {
	m.mu.Lock()
	if msg.Kind == pg.Startup {
		m.accepted++
	} else {
		m.asked = append(m.asked, msg.Text)
	}
	m.mu.Unlock()
	switch {
	case msg.Kind != pg.Startup:
		if msg.Text == "" && m.Empty == nil {
			return &Reply{Bytes: pg.AppendReady(pg.AppendEmpty(nil))}
		} else if msg.Text == "" {
			return m.Empty()
		}
		return m.answer(msg.Text)
	case m.greet != nil:
		return m.greet
	}
	return &Reply{Bytes: pg.AppendGreeting(nil, 0)}
}

// Stop has it listen no more.
func (m *Member) Stop() { m.listen.Close() }

// Seen tells how many connections it has let in, and what it was asked.
func (m *Member) Seen() (accepted int, asked []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.accepted, append([]string(nil), m.asked...)
}

func message(typ byte, body string) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{typ}, uint32(len(body)+4)), body...)
}

// Param is a ParameterStatus.
func Param(name, value string) []byte { return message('S', name+"\x00"+value+"\x00") }

// Rows is one row of one column, whole.
func Rows(value string) []byte {
	cell := string(binary.BigEndian.AppendUint32(nil, uint32(len(value)))) + value
	return append(append(message('T', "\x00\x01blob\x00"+strings.Repeat("\x00", 18)), message('D', "\x00\x01"+cell)...),
		message('C', "SELECT 1\x00")...)
}

// Row answers with a value, a role and a position.
func Row(value, role, position string) *Reply {
	out := append(Rows(value), Param("rank", role)...)
	return &Reply{Bytes: pg.AppendReady(append(out, Param("as_of", position)...))}
}

// Fail answers with an error.
func Fail(code string) *Reply {
	return &Reply{Bytes: pg.AppendReady(pg.AppendError(nil, &pg.Error{Code: code, Text: "no"}, false))}
}

// Client is one session of a client.
type Client struct {
	t *testing.T
	net.Conn
	in  *pg.Reader
	Key pg.Key // that its server gave it
}

// NewClient connects, and starts a session if asked to.
func NewClient(t *testing.T, addr string, start bool) *Client {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	one := &Client{t: t, Conn: c, in: pg.NewReader(true, 1<<20)}
	one.in.Widen()
	if start {
		one.Send(string(pg.AppendStartup(nil, "api", "ledger")))
		if got := one.Answer(); got != "ready" {
			t.Fatalf("greeting: %s", got)
		}
	}
	return one
}

// Send writes bytes.
func (c *Client) Send(b string) {
	c.t.Helper()
	if _, err := c.Write([]byte(b)); err != nil {
		c.t.Fatal(err)
	}
}

// Ask sends a query.
func (c *Client) Ask(sql string) { c.t.Helper(); c.Send(string(pg.AppendQuery(nil, sql))) }

// Answer reads up to ReadyForQuery or the end: "ok VALUE ready", "CODE ready", "empty ready", "CODE closed" ...
func (c *Client) Answer() string {
	var out []string
	buf := make([]byte, 1<<16)
	c.SetReadDeadline(time.Now().Add(20 * time.Second))
	for {
		m, ok, err := c.in.Next()
		switch {
		case err != nil:
			return strings.Join(append(out, err.Error()), " ")
		case !ok:
			n, err := c.Read(buf)
			if err != nil {
				return strings.Join(append(out, "closed"), " ")
			}
			c.in.Feed(buf[:n])
		case m.Kind == pg.KeyData:
			c.Key = m.Key
		case m.Kind == pg.Row:
			out = append(out, string(m.Cell))
		case m.Kind == pg.Complete:
			out = append(out, "ok")
		case m.Kind == pg.Empty:
			out = append(out, "empty")
		case m.Kind == pg.Failure:
			out = append(out, m.Failure.Code)
		case m.Kind == pg.Ready:
			return strings.Join(append(out, "ready"), " ")
		}
	}
}

// Until waits until something holds, and fails the test if it never does.
func Until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for late := time.Now().Add(20 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(late) {
			t.Fatalf("never came true: %s", what)
		}
	}
}
