package pg

import (
	"bytes"
	"encoding/binary"
)

// bodyReader reads the fields of a message's body one after the other. After a field that does not fit, invalid names it, and further
// fields are zero.
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

// cString reads a text that a zero byte ends.
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

// finish returns an error if a field did not fit, or if anything is left.
func (b *bodyReader) finish(messageType byte) error {
	if b.invalidField == "" && len(b.remaining) > 0 {
		b.markInvalid("end")
	}
	if b.invalidField != "" {
		return newMalformedMessageError(messageType, b.invalidField)
	}
	return nil
}

// splitCString splits a text off that a zero byte ends.
func splitCString(b []byte) (text string, rest []byte, ok bool) {
	end := bytes.IndexByte(b, 0)
	if end < 0 {
		return "", b, false
	}
	return string(b[:end]), b[end+1:], true
}

// splitValue splits a value off that its size precedes. A negative size stands for NULL.
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
