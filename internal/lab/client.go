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
	responseTimeout = 30 * time.Second // an upper bound far above any expected response time
	maxMessageBytes = 64 << 20
	readBufferBytes = 4 << 10
	clientUser      = "api"
	clientDatabase  = "ledger"
)

// Client is a client connection to a router or a member. It is not safe for concurrent use.
type Client struct {
	connection net.Conn
	reader     *pg.Reader
	buffer     []byte
}

// Connect opens a session and waits until it is ready for queries. The parameters are sent in the startup message. An ErrorResponse from the
// peer is returned as a *pg.Error.
func Connect(address string, parameters ...pg.Setting) (*Client, error) {
	return ConnectWithin(address, responseTimeout, parameters...)
}

// ConnectWithin is Connect with a timeout for the connection and for the response to the startup message.
func ConnectWithin(address string, timeout time.Duration, parameters ...pg.Setting) (*Client, error) {
	connection, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, err
	}
	c := &Client{connection: connection, reader: pg.NewReader(true, maxMessageBytes), buffer: make([]byte, readBufferBytes)}
	c.reader.EnableExtended()
	failure, err := c.SendWithin(pg.AppendStartup(nil, clientUser, clientDatabase, parameters...), 1, timeout)
	if err == nil && failure != nil {
		err = failure
	}
	if err != nil {
		c.Close()
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	return c, nil
}

// Close closes the connection. A failure to close is only logged.
func (c *Client) Close() {
	if err := c.connection.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		logrus.WithError(err).Debug("failed to close the client connection")
	}
}

// Send writes messages and reads the response until it has received the given number of ReadyForQuery messages. failure is the first
// ErrorResponse, or nil. A non-nil err means that the response was incomplete.
func (c *Client) Send(messages []byte, ready int) (failure *pg.Error, err error) {
	return c.SendWithin(messages, ready, responseTimeout)
}

// SendWithin is Send with a timeout for the whole response.
func (c *Client) SendWithin(messages []byte, ready int, timeout time.Duration) (failure *pg.Error, err error) {
	if err := c.connection.SetDeadline(time.Now().Add(timeout)); err != nil {
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

// next reads a message. Byte slices in the message are valid until the next call.
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
