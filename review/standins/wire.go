package main

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"strings"
)

// Codes of the messages without a type byte that a client may send first.
const (
	protocolVersion3 = 3 << 16
	sslRequestCode   = 80877103
	gssRequestCode   = 80877104
)

const maxMessageBytes = 8 << 20

// message is one message of PostgreSQL's protocol, version 3.
type message struct {
	kind byte
	body []byte
}

func appendMessage(out []byte, kind byte, body []byte) []byte {
	out = append(out, kind)
	out = binary.BigEndian.AppendUint32(out, uint32(len(body)+4))
	return append(out, body...)
}

func readMessage(r *bufio.Reader) (message, error) {
	var header [5]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return message{}, err
	}
	size := binary.BigEndian.Uint32(header[1:])
	if size < 4 || size > maxMessageBytes {
		return message{}, fmt.Errorf("message %q has the length %d", header[0], size)
	}
	body := make([]byte, size-4)
	if _, err := io.ReadFull(r, body); err != nil {
		return message{}, err
	}
	return message{header[0], body}, nil
}

// readStartup reads the first message of a client and returns its code.
func readStartup(r *bufio.Reader) (code uint32, err error) {
	var header [8]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return 0, err
	}
	size := binary.BigEndian.Uint32(header[:])
	if size < 8 || size > maxMessageBytes {
		return 0, errors.New("startup message has a wrong length")
	}
	if _, err := r.Discard(int(size - 8)); err != nil {
		return 0, err
	}
	return binary.BigEndian.Uint32(header[4:]), nil
}

func startupMessage(user, database string) []byte {
	body := binary.BigEndian.AppendUint32(nil, protocolVersion3)
	for _, text := range []string{"user", user, "database", database} {
		body = append(append(body, text...), 0)
	}
	body = append(body, 0)
	out := binary.BigEndian.AppendUint32(nil, uint32(len(body)+4))
	return append(out, body...)
}

func cString(texts ...string) []byte {
	var out []byte
	for _, text := range texts {
		out = append(append(out, text...), 0)
	}
	return out
}

// cutCString returns the text up to the first zero byte, and what follows it.
func cutCString(body []byte) (text string, rest []byte) {
	before, after, _ := strings.Cut(string(body), "\x00")
	return before, []byte(after)
}

// Messages of a client.

func queryMessage(sql string) []byte { return appendMessage(nil, 'Q', cString(sql)) }

// executeMessages returns Parse, Bind and Execute of a statement without parameters, in the unnamed statement and portal.
func executeMessages(sql string) []byte {
	out := appendMessage(nil, 'P', append(cString("", sql), 0, 0))
	out = appendMessage(out, 'B', append(cString("", ""), 0, 0, 0, 0, 0, 0))
	return appendMessage(out, 'E', append(cString(""), 0, 0, 0, 0))
}

// Messages of a server.

const textType = 25

func appendRowDescription(out []byte, column string) []byte {
	body := binary.BigEndian.AppendUint16(nil, 1)
	body = append(append(body, column...), 0)
	body = append(body, 0, 0, 0, 0, 0, 0, 0, 0, 0, textType, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0)
	return appendMessage(out, 'T', body)
}

func appendDataRow(out []byte, value string) []byte {
	body := binary.BigEndian.AppendUint16(nil, 1)
	body = binary.BigEndian.AppendUint32(body, uint32(len(value)))
	return appendMessage(out, 'D', append(body, value...))
}

// firstColumn returns the first value of a DataRow.
func firstColumn(body []byte) string {
	if len(body) < 6 {
		return ""
	}
	size := binary.BigEndian.Uint32(body[2:])
	if uint64(size) > uint64(len(body)-6) {
		return ""
	}
	return string(body[6 : 6+size])
}

func appendComplete(out []byte, tag string) []byte { return appendMessage(out, 'C', cString(tag)) }

func appendReady(out []byte, status byte) []byte { return appendMessage(out, 'Z', []byte{status}) }

func appendParameter(out []byte, name, value string) []byte {
	return appendMessage(out, 'S', cString(name, value))
}

func appendError(out []byte, code, text string) []byte {
	body := cString("SERROR", "VERROR", "C"+code, "M"+text)
	return appendMessage(out, 'E', append(body, 0))
}

// errorCode returns the code and the text of an ErrorResponse.
func errorCode(body []byte) (code, text string) {
	for _, field := range strings.Split(string(body), "\x00") {
		switch {
		case strings.HasPrefix(field, "C"):
			code = field[1:]
		case strings.HasPrefix(field, "M"):
			text = field[1:]
		}
	}
	return code, text
}
