package pg

import "encoding/binary"

const (
	maxStartupBytes = 10000 // as in PostgreSQL

	// Offsets in a message, in bytes.
	startupVersionEnd = lengthSize + 4
	firstValueSizeAt  = headerSize + 2 // of a row's first value, behind the number of columns
	firstValueAt      = firstValueSizeAt + 4
)

const headerPlace = "message header"

// checkHeader rejects a message by its first bytes if it can't be valid. Otherwise a connection with garbage would wait for bytes that
// never come, or never end. length is the message's length field. The header is checked before the body, so that the result does not
// depend on how much of the body has come.
func (r *Reader) checkHeader(unread []byte, length uint64) error {
	if length < lengthSize {
		return decodeError(headerPlace, ProtocolViolation, "message length %d is too small", length)
	}
	switch {
	case !r.started:
		return r.checkStartupHeader(unread, length)
	case r.fromServer:
		return r.checkServerHeader(unread, length+1)
	}
	if !r.knowsClientType(unread[0]) {
		return decodeError(headerPlace, ProtocolViolation, "unknown message type %q", unread[0])
	}
	return checkSize(length+1, uint64(r.maxMessage))
}

func checkSize(size, limit uint64) error {
	if size > limit {
		return decodeError(headerPlace, ProgramLimitExceeded, "message of %d bytes is longer than %d", size, limit)
	}
	return nil
}

func (r *Reader) checkStartupHeader(unread []byte, size uint64) error {
	if err := checkSize(size, min(uint64(r.maxMessage), maxStartupBytes)); err != nil {
		return err
	}
	if size < startupVersionEnd || len(unread) < startupVersionEnd {
		return nil
	}
	major := binary.BigEndian.Uint16(unread[lengthSize:])
	if major != protocolMajorVersion && major != requestMajorVersion {
		return decodeError(headerPlace, FeatureNotSupported, "protocol version %d", major)
	}
	return nil
}

func (r *Reader) knowsClientType(messageType byte) bool {
	if r.extended {
		if _, known := extendedClientKinds[messageType]; known {
			return true
		}
	}
	_, known := clientKinds[messageType]
	return known
}

func (r *Reader) serverSizes(messageType byte) (sizes bodySizes, known bool) {
	if r.extended {
		if message, known := extendedServerMessages[messageType]; known {
			return message.sizes, true
		}
	}
	sizes, known = serverBodySizes[messageType]
	return sizes, known
}

func (r *Reader) checkServerHeader(unread []byte, size uint64) error {
	messageType := unread[0]
	sizes, known := r.serverSizes(messageType)
	if !known {
		return decodeError(headerPlace, ProtocolViolation, "unknown message type %q", messageType)
	}
	if err := checkSize(size, uint64(r.maxMessage)); err != nil {
		return err
	}
	bodySize := size - headerSize
	if bodySize < sizes.min || bodySize > sizes.max {
		return decodeError(headerPlace, ProtocolViolation, "message of type %q can't have %d bytes", messageType, bodySize)
	}
	if messageType == serverDataRow && len(unread) >= firstValueAt {
		return checkFirstValue(unread, size)
	}
	return nil
}

// checkFirstValue rejects a row whose first value does not fit, before all of the row has come.
func checkFirstValue(unread []byte, size uint64) error {
	columns := binary.BigEndian.Uint16(unread[headerSize:])
	valueSize := int64(int32(binary.BigEndian.Uint32(unread[firstValueSizeAt:])))
	left := int64(size) - firstValueAt - max(0, valueSize)
	if columns > 0 && (left < 0 || columns == 1 && left > 0) {
		return decodeError("DataRow, first column", ProtocolViolation, "a value of %d bytes in a message of %d", valueSize, size)
	}
	return nil
}
