package pg

import (
	"bytes"
	"encoding/binary"
)

// bodyReader reads the fields of a message's body one after the other. After a field that does not fit, invalid names it, and further
// fields are zero.
type bodyReader struct {
	rest    []byte
	invalid string
}

func (b *bodyReader) fail(field string) {
	if b.invalid == "" {
		b.invalid = field
	}
	b.rest = nil
}

func (b *bodyReader) byte(field string) byte {
	if len(b.rest) == 0 {
		b.fail(field)
		return 0
	}
	first := b.rest[0]
	b.rest = b.rest[1:]
	return first
}

func (b *bodyReader) uint16(field string) int {
	if len(b.rest) < 2 {
		b.fail(field)
		return 0
	}
	n := int(binary.BigEndian.Uint16(b.rest))
	b.rest = b.rest[2:]
	return n
}

// cString reads a text that a zero byte ends.
func (b *bodyReader) cString(field string) string {
	text, rest, ok := cutCString(b.rest)
	if !ok {
		b.fail(field)
		return ""
	}
	b.rest = rest
	return text
}

func (b *bodyReader) skip(n int, field string) {
	if len(b.rest) < n {
		b.fail(field)
		return
	}
	b.rest = b.rest[n:]
}

// finish returns an error if a field did not fit, or if anything is left.
func (b *bodyReader) finish(messageType byte) error {
	if b.invalid == "" && len(b.rest) > 0 {
		b.fail("end")
	}
	if b.invalid != "" {
		return malformed(messageType, b.invalid)
	}
	return nil
}

// cutCString splits a text off that a zero byte ends.
func cutCString(b []byte) (text string, rest []byte, ok bool) {
	end := bytes.IndexByte(b, 0)
	if end < 0 {
		return "", b, false
	}
	return string(b[:end]), b[end+1:], true
}

// cutValue splits a value off that its size precedes. A negative size stands for NULL.
func cutValue(b []byte) (size int, value, rest []byte, ok bool) {
	if len(b) < 4 {
		return 0, nil, nil, false
	}
	size = int(int32(binary.BigEndian.Uint32(b)))
	b = b[4:]
	if size > len(b) {
		return size, nil, nil, false
	}
	valueEnd := max(0, size)
	return size, b[:valueEnd], b[valueEnd:], true
}
