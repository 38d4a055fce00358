package fakes

import (
	"encoding/binary"
	"net"
	"strings"
	"sync"
	"testing"

	"wayloft/internal/pg"
)

// Reply is a member's response to a query or a startup message.
type Reply struct {
	Bytes []byte
	Close bool // close the connection after sending Bytes
}

// Member is a fake member that responds to queries with the result of a function.
type Member struct {
	Addr   string
	Empty  func() *Reply // responds to empty queries; nil: with EmptyQueryResponse, as a server does
	listen net.Listener

	greeting *Reply
	answer   func(sql string) *Reply
	mu       sync.Mutex
	accepted int
	queries  []string
}

// NewMember starts a member that stops when the test ends. greeting is its response to a startup message; nil accepts the login. answer
// returns the response to a query; a nil Reply sends none.
func NewMember(t *testing.T, greeting *Reply, answer func(sql string) *Reply) *Member {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	m := &Member{Addr: l.Addr().String(), listen: l, greeting: greeting, answer: answer}
	t.Cleanup(func() { closeSocket(l) })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { closeSocket(c) })
			go m.serve(c)
		}
	}()
	return m
}

func (m *Member) serve(c net.Conn) {
	reader := pg.NewReader(false, maxMessageBytes)
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := c.Read(buffer)
		if err != nil {
			closeSocket(c)
			return
		}
		reader.Feed(buffer[:n])
		for {
			msg, ok, err := reader.Next()
			if err != nil || msg.Kind == pg.Terminate {
				closeSocket(c)
				return
			}
			if !ok {
				break
			}
			reply := m.reply(msg)
			if reply == nil {
				continue
			}
			_, _ = c.Write(reply.Bytes) // if the peer has disconnected, the next read reports it
			if reply.Close {
				closeSocket(c)
				return
			}
		}
	}
}

// reply records a message and returns the response to it.
func (m *Member) reply(msg pg.Message) *Reply {
	m.mu.Lock()
	if msg.Kind == pg.Startup {
		m.accepted++
	} else {
		m.queries = append(m.queries, msg.Text)
	}
	m.mu.Unlock()
	switch {
	case msg.Kind != pg.Startup:
		if msg.Text == "" && m.Empty == nil {
			return &Reply{Bytes: pg.AppendReadyIdle(pg.AppendEmptyQuery(nil))}
		} else if msg.Text == "" {
			return m.Empty()
		}
		return m.answer(msg.Text)
	case m.greeting != nil:
		return m.greeting
	}
	return &Reply{Bytes: pg.AppendStartupResponse(nil, 0)}
}

// Stop stops listening. Open connections are not affected.
func (m *Member) Stop() { closeSocket(m.listen) }

// Received returns the number of startup messages and the queries that the member has received.
func (m *Member) Received() (accepted int, queries []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.accepted, append([]string(nil), m.queries...)
}

// message encodes a protocol message with the given type byte.
func message(typ byte, body string) []byte {
	return append(binary.BigEndian.AppendUint32([]byte{typ}, uint32(len(body)+4)), body...)
}

// ParameterStatus encodes a ParameterStatus message.
func ParameterStatus(name, value string) []byte { return message('S', name+"\x00"+value+"\x00") }

// Rows encodes a complete result of one row with one column.
func Rows(value string) []byte {
	cell := string(binary.BigEndian.AppendUint32(nil, uint32(len(value)))) + value
	return append(append(message('T', "\x00\x01blob\x00"+strings.Repeat("\x00", 18)), message('D', "\x00\x01"+cell)...),
		message('C', "SELECT 1\x00")...)
}

// RowReply returns a reply with a value, the member's role and its position.
func RowReply(value, role, position string) *Reply {
	out := append(Rows(value), ParameterStatus("rank", role)...)
	return &Reply{Bytes: pg.AppendReadyIdle(append(out, ParameterStatus("as_of", position)...))}
}

// ErrorReply returns a reply with an ErrorResponse of the given SQLSTATE.
func ErrorReply(code string) *Reply {
	return &Reply{Bytes: pg.AppendReadyIdle(pg.AppendError(nil, &pg.Error{Code: code, Text: "no"}, false))}
}
