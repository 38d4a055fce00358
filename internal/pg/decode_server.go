package pg

import "encoding/binary"

// Field types of an ErrorResponse.
const (
	errorFieldCode                 byte = 'C'
	errorFieldDetail               byte = 'D'
	errorFieldMessage              byte = 'M'
	errorFieldSeverity             byte = 'S'
	errorFieldNonLocalizedSeverity byte = 'V' // never localized, unlike 'S'
)

const cancelKeySize = 8 // bytes

// decodeServerMessage decodes a server message whose header passed checkHeader.
func decodeServerMessage(messageType byte, body []byte, extended bool) (Message, error) {
	if extended && messageType != serverRowDescription && messageType != serverErrorResponse {
		if message, known := extendedServerMessages[messageType]; known {
			return Message{Kind: message.kind}, nil
		}
	}
	switch messageType {
	case serverAuthentication:
		return decodeAuthentication(body)
	case serverBackendKeyData:
		return decodeBackendKeyData(body, extended), nil
	case serverNoticeResponse, serverNegotiateProtocolVersion:
		return Message{Kind: Ignored}, nil
	case serverParameterStatus:
		b := bodyReader{remaining: body}
		m := Message{Kind: ParameterStatus}
		m.Name = b.cString("name")
		m.Text = b.cString("value")
		return m, b.finish(messageType)
	case serverReadyForQuery:
		return Message{Kind: ReadyForQuery, Status: body[0]}, nil
	case serverRowDescription:
		return Message{Kind: RowDescription, ColumnCount: int(binary.BigEndian.Uint16(body))}, nil
	case serverDataRow:
		return decodeDataRow(body)
	case serverCommandComplete:
		b := bodyReader{remaining: body}
		m := Message{Kind: CommandComplete, Text: b.cString("tag")}
		return m, b.finish(messageType)
	case serverEmptyQueryResponse:
		return Message{Kind: EmptyQuery}, nil
	case serverErrorResponse:
		return decodeErrorResponse(body)
	}
	return Message{}, newDecodeError(headerPlace, ProtocolViolation, "unknown message type %q", messageType)
}

func decodeAuthentication(body []byte) (Message, error) {
	const authenticationOK = 0
	if binary.BigEndian.Uint32(body) != authenticationOK {
		return Message{}, newDecodeError("Authentication", FeatureNotSupported, "the server wants a password")
	}
	return Message{Kind: AuthenticationOK}, nil
}

// decodeBackendKeyData leaves the key zero if it is longer than a CancelKey, as keys of protocol 3.2 can be.
func decodeBackendKeyData(body []byte, extended bool) Message {
	m := Message{Kind: Ignored}
	if extended {
		m.Kind = BackendKeyData
	}
	if len(body) == cancelKeySize {
		m.Key = decodeCancelKey(body)
	}
	return m
}

func decodeDataRow(body []byte) (Message, error) {
	m := Message{Kind: DataRow, ColumnCount: int(binary.BigEndian.Uint16(body))}
	remaining := body[2:]
	for column := range m.ColumnCount {
		size, value, rest, ok := splitValue(remaining)
		if !ok {
			return Message{}, newMalformedMessageError(serverDataRow, "columns")
		}
		if column == 0 && size >= 0 {
			m.FirstColumn = value
		}
		remaining = rest
	}
	if len(remaining) > 0 {
		return Message{}, newMalformedMessageError(serverDataRow, "end")
	}
	return m, nil
}

func decodeErrorResponse(body []byte) (Message, error) {
	b := bodyReader{remaining: body}
	e := &Error{}
	for len(b.remaining) > 1 {
		field := b.byte("field type")
		value := b.cString("field value")
		switch field {
		case errorFieldCode:
			e.Code = value
		case errorFieldMessage:
			e.Text = value
		case errorFieldDetail:
			e.Detail = value
		}
	}
	if b.byte("terminator") != 0 {
		b.markInvalid("terminator")
	}
	if e.Code == "" {
		b.markInvalid("code")
	}
	return Message{Kind: ErrorResponse, Error: e}, b.finish(serverErrorResponse)
}
