package pg

import "encoding/binary"

const (
	maxStartupBytes = 10000 // same limit as PostgreSQL's

	// Byte offsets from the start of a message.
	startupVersionEnd    = lengthSize + 4
	firstValueSizeOffset = headerSize + 2 // length of the first value of a DataRow, after the column count
	firstValueOffset     = firstValueSizeOffset + 4
)

const headerPlace = "message header"

// checkHeader rejects a message that its first bytes show to be invalid. Without this check, a connection that receives garbage could wait
// forever for a message that never completes. length is the value of the message's length field. The header is checked before the body, so
// that the result does not depend on how much of the body has been received.
func (r *Reader) checkHeader(unread []byte, length uint64) error {
	if length < lengthSize {
		return newDecodeError(headerPlace, ProtocolViolation, "message length %d is too small", length)
	}
	switch {
	case !r.startupDecoded:
		return r.checkStartupHeader(unread, length)
	case r.fromServer:
		return r.checkServerHeader(unread, length+1)
	}
	if !r.isKnownClientType(unread[0]) {
		return newDecodeError(headerPlace, ProtocolViolation, "unknown message type %q", unread[0])
	}
	return checkMessageSize(length+1, uint64(r.maxMessageBytes))
}

func checkMessageSize(size, limit uint64) error {
	if size > limit {
		return newDecodeError(headerPlace, ProgramLimitExceeded, "message of %d bytes is longer than %d", size, limit)
	}
	return nil
}

func (r *Reader) checkStartupHeader(unread []byte, size uint64) error {
	if err := checkMessageSize(size, min(uint64(r.maxMessageBytes), maxStartupBytes)); err != nil {
		return err
	}
	if size < startupVersionEnd || len(unread) < startupVersionEnd {
		return nil
	}
	major := binary.BigEndian.Uint16(unread[lengthSize:])
	if major != protocolMajorVersion && major != requestCodeMajor {
		return newDecodeError(headerPlace, FeatureNotSupported, "protocol version %d", major)
	}
	return nil
}

func (r *Reader) isKnownClientType(messageType byte) bool {
	if r.extended {
		if _, known := extendedClientKinds[messageType]; known {
			return true
		}
	}
	_, known := clientKinds[messageType]
	return known
}

func (r *Reader) serverBodySizeLimits(messageType byte) (sizes bodySizeRange, known bool) {
	if r.extended {
		if message, known := extendedServerMessages[messageType]; known {
			return message.sizes, true
		}
	}
	sizes, known = serverBodySizeRanges[messageType]
	return sizes, known
}

func (r *Reader) checkServerHeader(unread []byte, size uint64) error {
	messageType := unread[0]
	sizes, known := r.serverBodySizeLimits(messageType)
	if !known {
		return newDecodeError(headerPlace, ProtocolViolation, "unknown message type %q", messageType)
	}
	if err := checkMessageSize(size, uint64(r.maxMessageBytes)); err != nil {
		return err
	}
	bodySize := size - headerSize
	if bodySize < sizes.min || bodySize > sizes.max {
		return newDecodeError(headerPlace, ProtocolViolation, "message of type %q can't have %d bytes", messageType, bodySize)
	}
	if messageType == serverDataRow && len(unread) >= firstValueOffset {
		return checkFirstValue(unread, size)
	}
	return nil
}

// checkFirstValue rejects a DataRow whose first value does not match the message length, before the whole message has been received.
func checkFirstValue(unread []byte, size uint64) error {
	columns := binary.BigEndian.Uint16(unread[headerSize:])
	valueSize := int64(int32(binary.BigEndian.Uint32(unread[firstValueSizeOffset:])))
	remaining := int64(size) - firstValueOffset - max(0, valueSize)
	if columns > 0 && (remaining < 0 || columns == 1 && remaining > 0) {
		return newDecodeError("DataRow, first column", ProtocolViolation, "a value of %d bytes in a message of %d", valueSize, size)
	}
	return nil
}
