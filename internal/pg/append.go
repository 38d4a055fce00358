package pg

import "encoding/binary"

// appendMessage appends a message with its length. appendBody appends the body and may be nil if there is none. With noMessageType, as in
// startup messages, no type byte is written.
func appendMessage(out []byte, messageType byte, appendBody func([]byte) []byte) []byte {
	if messageType != noMessageType {
		out = append(out, messageType)
	}
	lengthOffset := len(out)
	out = append(out, 0, 0, 0, 0)
	if appendBody != nil {
		out = appendBody(out)
	}
	binary.BigEndian.PutUint32(out[lengthOffset:], uint32(len(out)-lengthOffset))
	return out
}

// appendCString appends a null-terminated string.
func appendCString(out []byte, text string) []byte { return append(append(out, text...), 0) }

func appendCancelKey(out []byte, key CancelKey) []byte {
	out = binary.BigEndian.AppendUint32(out, key.Process)
	return binary.BigEndian.AppendUint32(out, key.Secret)
}

// AppendEmptyMessage appends a message that consists of its type and length only.
func AppendEmptyMessage(out []byte, messageType byte) []byte {
	return appendMessage(out, messageType, nil)
}

// AppendCopyData appends a CopyData message, which has the same format in both directions.
func AppendCopyData(out []byte, data string) []byte {
	return appendMessage(out, clientCopyData, func(out []byte) []byte { return append(out, data...) })
}
