package pg

import "encoding/binary"

const (
	lengthSize = 4
	headerSize = 1 + lengthSize // type byte and length field; the length includes itself but not the type byte

	maxIdleBufferBytes = 1 << 14 // larger buffers are released when they become empty
)

// Reader decodes messages from a byte stream that arrives in chunks of any size.
type Reader struct {
	buffer          []byte
	offset          int // of the first byte in buffer that has not been decoded
	maxMessageBytes int
	fromServer      bool
	startupDecoded  bool // the startup message, which has no type byte, has been decoded; always true if fromServer
	extended        bool // EnableExtended was called
	err             error
}

// NewReader returns a Reader for messages from a server or from a client. Messages longer than maxMessage bytes are rejected.
func NewReader(fromServer bool, maxMessage int) *Reader {
	return &Reader{maxMessageBytes: maxMessage, fromServer: fromServer, startupDecoded: fromServer}
}

// EnableExtended makes the Reader decode the individual messages of the extended query protocol and of COPY, and set Raw in every message.
func (r *Reader) EnableExtended() { r.extended = true }

// Feed appends received bytes to the buffer. It invalidates Raw, Tail and FirstColumn of messages returned earlier.
func (r *Reader) Feed(b []byte) {
	if r.offset > 0 {
		r.buffer = append(r.buffer[:0], r.buffer[r.offset:]...)
		r.offset = 0
	}
	r.buffer = append(r.buffer, b...)
}

// Buffered returns the number of bytes that have not been decoded yet.
func (r *Reader) Buffered() int { return len(r.buffer) - r.offset }

// Shrink releases the buffer's memory if all bytes have been decoded.
func (r *Reader) Shrink() {
	if r.Buffered() == 0 {
		r.buffer, r.offset = nil, 0
	}
}

// Next decodes the next message; ok is false if more bytes are needed. Errors are of type *DecodeError. Message boundaries are unknown
// after an error, so all further calls return the same error.
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

// nextRawMessage returns the bytes of the next complete message, or nil if more bytes are needed.
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
