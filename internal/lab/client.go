package lab

import (
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"wayloft/internal/pg"
)

const (
	responseTimeout = 30 * time.Second // far longer than any response takes
	maxMessageBytes = 64 << 20
	readBufferBytes = 4 << 10
	clientUser      = "api"
	clientDatabase  = "ledger"
)

// Client is a client's connection to a router or a member. It is used by one goroutine.
type Client struct {
	connection net.Conn
	reader     *pg.Reader
	buffer     []byte
}

// Connect connects a client and waits until it may send queries. The parameters, names with values, go with the startup message. An error
// of the other side is a *pg.Error.
func Connect(address string, parameters ...pg.Setting) (*Client, error) {
	connection, err := net.DialTimeout("tcp", address, responseTimeout)
	if err != nil {
		return nil, err
	}
	c := &Client{connection: connection, reader: pg.NewReader(true, maxMessageBytes), buffer: make([]byte, readBufferBytes)}
	c.reader.EnableExtended()
	failure, err := c.Send(pg.AppendStartup(nil, clientUser, clientDatabase, parameters...), 1)
	if err == nil && failure != nil {
		err = failure
	}
	if err != nil {
		c.Close()
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	return c, nil
}

// Close closes the connection. Nothing depends on whether that succeeds.
func (c *Client) Close() {
	if err := c.connection.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		logrus.WithError(err).Debug("client connection not closed")
	}
}

// Send sends messages and reads up to the end of their response, which has so many ReadyForQuery. It gives the first error that the response
// has, or nil. Its own error means that there was no complete response.
func (c *Client) Send(messages []byte, ready int) (failure *pg.Error, err error) {
	if err := c.connection.SetDeadline(time.Now().Add(responseTimeout)); err != nil {
		return nil, err
	}
	if _, err := c.connection.Write(messages); err != nil {
		return nil, err
	}
	for ready > 0 {
		message, err := c.next()
		if err != nil {
			return failure, err
		}
		switch {
		case message.Kind == pg.ErrorResponse && failure == nil:
			failure = message.Error
		case message.Kind == pg.ReadyForQuery:
			ready--
		}
	}
	return failure, nil
}

// next reads a message. What it has of bytes is valid until the next call.
func (c *Client) next() (pg.Message, error) {
	for {
		message, complete, err := c.reader.Next()
		if complete || err != nil {
			return message, err
		}
		count, err := c.connection.Read(c.buffer)
		if err != nil {
			return pg.Message{}, err
		}
		c.reader.Feed(c.buffer[:count])
	}
}
