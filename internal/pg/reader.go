package pg

import "encoding/binary"

const (
	lengthSize = 4
	headerSize = 1 + lengthSize // type byte and length field; the length includes itself but not the type byte

	maxEagerBytes      = 1 << 17 // of a server's message, allocated before they arrive
	maxIdleBufferBytes = 1 << 10 // larger buffers are released when they become empty
)

// Reader decodes messages from a byte stream that arrives in chunks of any size.
type Reader struct {
	buffer          []byte
	offset          int // of the first byte in buffer that has not been decoded
	maxMessageBytes int
	fromServer      bool
	startupDecoded  bool // the startup message, which has no type byte, has been decoded; always true if fromServer
	extended        bool // EnableExtended was called
	discarding      bool // the message at the front is being discarded
	discardBytes    int  // bytes of it that are still to come
	discardedType   byte
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
	if r.discardBytes > 0 {
		discarded := min(r.discardBytes, len(b))
		r.discardBytes -= discarded
		b = b[discarded:]
	}
	growth := r.growth(len(b))
	unread := r.buffer[r.offset:]
	if growth > 0 {
		r.buffer = make([]byte, 0, cap(r.buffer)+growth)
	}
	r.buffer = append(append(r.buffer[:0], unread...), b...)
	r.offset = 0
}

// Cap returns the number of bytes that the buffer takes.
func (r *Reader) Cap() int { return cap(r.buffer) }

// Growth returns by how many bytes the buffer would grow if n bytes were fed. It doubles at least, but not beyond the message at its front; for
// a message of a server, unless it is huge, it takes all of it at once.
func (r *Reader) Growth(n int) int { return r.growth(n - min(n, r.discardBytes)) }

func (r *Reader) growth(n int) int {
	need := len(r.buffer) - r.offset + n
	if need <= cap(r.buffer) {
		return 0
	}
	atLeast := 2 * cap(r.buffer)
	if r.fromServer {
		atLeast = max(atLeast, maxEagerBytes)
	}
	return max(need, min(atLeast, r.frontSize())) - cap(r.buffer)
}

// frontSize returns the size of the message at the front of the buffer, or 0 if its header is incomplete or invalid.
func (r *Reader) frontSize() int {
	unread, prefixSize := r.buffer[r.offset:], r.prefixSize()
	if len(unread) < prefixSize {
		return 0
	}
	length := uint64(binary.BigEndian.Uint32(unread[prefixSize-lengthSize:]))
	if r.checkHeader(unread, length) != nil {
		return 0
	}
	return int(length) + prefixSize - lengthSize
}

// prefixSize returns the size of the header of the next message.
func (r *Reader) prefixSize() int {
	if !r.startupDecoded {
		return lengthSize
	}
	return headerSize
}

// DiscardMessage makes the Reader drop the rest of the incomplete message at the front of the buffer as it arrives, for want of memory. Next
// returns the message without its content once it is complete. It reports false, and does nothing, if there is no such message or the
// startup message is incomplete.
func (r *Reader) DiscardMessage() bool {
	size := r.frontSize()
	if !r.startupDecoded || size <= r.Buffered() {
		return false
	}
	r.discarding, r.discardBytes, r.discardedType = true, size-r.Buffered(), r.buffer[r.offset]
	r.buffer, r.offset = nil, 0
	return true
}

// Buffered returns the number of bytes that have not been decoded yet. A message that is being discarded counts as one.
func (r *Reader) Buffered() int {
	if r.discarding {
		return len(r.buffer) - r.offset + 1
	}
	return len(r.buffer) - r.offset
}

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
	if r.discarding {
		return r.nextDiscarded()
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

// nextDiscarded returns the message that was discarded, once its last byte has arrived.
func (r *Reader) nextDiscarded() (m Message, ok bool, err error) {
	if r.discardBytes > 0 {
		return Message{}, false, nil
	}
	r.discarding = false
	kind := clientKinds[r.discardedType]
	if extended, known := extendedClientKinds[r.discardedType]; known && r.extended {
		kind = extended
	}
	return Message{Kind: kind, Discarded: true}, true, nil
}

// nextRawMessage returns the bytes of the next complete message, or nil if more bytes are needed.
func (r *Reader) nextRawMessage() ([]byte, error) {
	prefixSize, unread := r.prefixSize(), r.buffer[r.offset:]
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
