package pg

import (
	"bytes"
	"encoding/binary"
)

// bodyReader reads the fields of a message body in sequence. If a field does not fit into the remaining bytes, invalidField is set to its
// name, and all later reads return zero values.
type bodyReader struct {
	remaining    []byte
	invalidField string
}

func (b *bodyReader) markInvalid(field string) {
	if b.invalidField == "" {
		b.invalidField = field
	}
	b.remaining = nil
}

func (b *bodyReader) byte(field string) byte {
	if len(b.remaining) == 0 {
		b.markInvalid(field)
		return 0
	}
	first := b.remaining[0]
	b.remaining = b.remaining[1:]
	return first
}

func (b *bodyReader) uint16(field string) int {
	if len(b.remaining) < 2 {
		b.markInvalid(field)
		return 0
	}
	n := int(binary.BigEndian.Uint16(b.remaining))
	b.remaining = b.remaining[2:]
	return n
}

// cString reads a null-terminated string.
func (b *bodyReader) cString(field string) string {
	text, rest, ok := splitCString(b.remaining)
	if !ok {
		b.markInvalid(field)
		return ""
	}
	b.remaining = rest
	return text
}

func (b *bodyReader) skip(n int, field string) {
	if len(b.remaining) < n {
		b.markInvalid(field)
		return
	}
	b.remaining = b.remaining[n:]
}

// finish returns an error if a field was invalid or if bytes remain after the last field.
func (b *bodyReader) finish(messageType byte) error {
	if b.invalidField == "" && len(b.remaining) > 0 {
		b.markInvalid("end")
	}
	if b.invalidField != "" {
		return newMalformedMessageError(messageType, b.invalidField)
	}
	return nil
}

// splitCString splits a leading null-terminated string off b.
func splitCString(b []byte) (text string, rest []byte, ok bool) {
	end := bytes.IndexByte(b, 0)
	if end < 0 {
		return "", b, false
	}
	return string(b[:end]), b[end+1:], true
}

// splitValue splits a leading length-prefixed value off b. A negative size encodes NULL.
func splitValue(b []byte) (size int, value, rest []byte, ok bool) {
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
