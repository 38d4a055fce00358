package main

import (
	"bufio"
	"net"
	"time"
)

const answerTimeout = 15 * time.Second

// client is a client's connection to the router.
type client struct {
	conn net.Conn
	in   *bufio.Reader
}

// answer is what a client got for one query.
type answer struct {
	value  string // of the first row
	rows   int
	tag    string // of CommandComplete
	code   string // of ErrorResponse
	text   string
	status byte // transaction status in ReadyForQuery
}

// served reports whether the answer has the form that means that the request was served.
func (a answer) served() bool { return a.code == "" && a.tag != "" }

func dialClient(addr string) (*client, error) {
	conn, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &client{conn: conn, in: bufio.NewReader(conn)}
	if err := c.send(startupMessage("api", "ledger")); err != nil {
		c.drop()
		return nil, err
	}
	if _, err := c.readAnswer('Z'); err != nil {
		c.drop()
		return nil, err
	}
	return c, nil
}

func (c *client) send(b []byte) error {
	_, err := c.conn.Write(b)
	return err
}

// readAnswer reads up to and including a message of the given type, or up to ReadyForQuery.
func (c *client) readAnswer(last byte) (a answer, err error) {
	if err := c.conn.SetReadDeadline(time.Now().Add(answerTimeout)); err != nil {
		return a, err
	}
	for {
		m, err := readMessage(c.in)
		if err != nil {
			return a, err
		}
		switch m.kind {
		case 'D':
			a.rows++
			if a.rows == 1 {
				a.value = firstColumn(m.body)
			}
		case 'C':
			a.tag, _ = cutCString(m.body)
		case 'E':
			a.code, a.text = errorCode(m.body)
		case 'Z':
			a.status = m.body[0]
		}
		if m.kind == last || m.kind == 'Z' {
			return a, nil
		}
	}
}

func (c *client) query(sql string) (answer, error) {
	if err := c.send(queryMessage(sql)); err != nil {
		return answer{}, err
	}
	return c.readAnswer('Z')
}

// terminate ends the session as a driver does.
func (c *client) terminate() {
	_ = c.send(appendMessage(nil, 'X', nil)) // the connection ends in any case
	c.drop()
}

// drop closes the connection without a word.
func (c *client) drop() { _ = c.conn.Close() }
