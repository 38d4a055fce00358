package pg

import "encoding/binary"

const (
	lengthSize = 4
	headerSize = 1 + lengthSize // the type byte and the length, which counts itself

	maxIdleBufferBytes = 1 << 14 // a larger buffer is released once it is empty
)

// Reader decodes messages from bytes that come in any split.
type Reader struct {
	buffer          []byte
	offset          int // of the first byte that is not decoded
	maxMessageBytes int
	fromServer      bool
	startupDecoded  bool // the startup message, which has no type byte, was decoded
	extended        bool
	err             error
}

// NewReader returns a reader of what a server or a client sends. No message may be longer than maxMessage bytes.
func NewReader(fromServer bool, maxMessage int) *Reader {
	return &Reader{maxMessageBytes: maxMessage, fromServer: fromServer, startupDecoded: fromServer}
}

// EnableExtended has the reader tell the messages of the extended protocol and of COPY apart, and set Raw in each message.
func (r *Reader) EnableExtended() { r.extended = true }

// Feed appends bytes to be decoded.
func (r *Reader) Feed(b []byte) {
	if r.offset > 0 {
		r.buffer = append(r.buffer[:0], r.buffer[r.offset:]...)
		r.offset = 0
	}
	r.buffer = append(r.buffer, b...)
}

// Buffered returns the number of bytes that were fed and not decoded yet.
func (r *Reader) Buffered() int { return len(r.buffer) - r.offset }

// Shrink releases the buffer if it is empty.
func (r *Reader) Shrink() {
	if r.Buffered() == 0 {
		r.buffer, r.offset = nil, 0
	}
}

// Next decodes the next message; ok is false if more bytes are needed. Its errors are of type *DecodeError. After an error the boundaries
// of messages are unknown: each further call returns the same one.
func (r *Reader) Next() (m Message, ok bool, err error) {
	if r.err != nil {
		return Message{}, false, r.err
	}
	raw, err := r.nextRawMessage()
	if err == nil && raw != nil {
		err = r.decode(raw, &m)
	}
	if err != nil {
		r.err = err
		return Message{}, false, err
	}
	return m, raw != nil, nil
}

// nextRawMessage returns the next whole message, nil if more bytes are needed.
func (r *Reader) nextRawMessage() ([]byte, error) {
	prefixSize := headerSize
	if !r.startupDecoded {
		prefixSize = lengthSize
	}
	unread := r.buffer[r.offset:]
	if len(unread) < prefixSize {
		if len(unread) == 0 && cap(r.buffer) > maxIdleBufferBytes {
			r.Shrink()
		}
		return nil, nil
	}
	length := uint64(binary.BigEndian.Uint32(unread[prefixSize-lengthSize:]))
	if err := r.checkHeader(unread, length); err != nil {
		return nil, err
	}
	size := length + uint64(prefixSize-lengthSize)
	if uint64(len(unread)) < size {
		return nil, nil
	}
	r.offset += int(size)
	return unread[:size:size], nil
}

func (r *Reader) decode(raw []byte, m *Message) (err error) {
	switch {
	case !r.startupDecoded:
		*m, err = decodeStartup(raw[lengthSize:])
		r.startupDecoded = err == nil && m.Kind == Startup
	case r.fromServer:
		*m, err = decodeServerMessage(raw[0], raw[headerSize:], r.extended)
	case r.extended:
		*m, err = decodeExtendedClientMessage(raw[0], raw[headerSize:])
	default:
		*m, err = decodeClientMessage(raw[0], raw[headerSize:])
	}
	if r.extended || m.Kind == RowDescription || m.Kind == DataRow || m.Kind == CommandComplete {
		m.Raw = raw
	}
	return err
}
