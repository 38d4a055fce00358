package pg

import "encoding/binary"

// transactionStatusIdle is the status of ReadyForQuery outside a transaction.
const transactionStatusIdle byte = 'I'

// defaultServerParameters are what clients rely on before the first member is known.
var defaultServerParameters = [...]Setting{
	{"server_version", "16.0"},
	{"client_encoding", "UTF8"},
	{"server_encoding", "UTF8"},
	{"standard_conforming_strings", "on"},
}

// AppendGreeting appends all that follows a startup message with a minor protocol version, up to ReadyForQuery.
func AppendGreeting(out []byte, minorVersion int) []byte {
	if minorVersion > 0 {
		out = AppendNegotiateProtocolVersion(out)
	}
	out = AppendAuthenticationOK(out)
	for _, parameter := range defaultServerParameters {
		out = AppendParameterStatus(out, parameter.Name, parameter.Value)
	}
	out = AppendBackendKeyData(out, CancelKey{})
	return AppendReadyIdle(out)
}

// AppendNegotiateProtocolVersion appends the response to a client that asks for a minor version above 3.0.
func AppendNegotiateProtocolVersion(out []byte) []byte {
	return appendMessage(out, serverNegotiateProtocolVersion, func(out []byte) []byte {
		out = binary.BigEndian.AppendUint32(out, protocolMajorVersion<<16)
		return append(out, 0, 0, 0, 0) // no unknown options
	})
}

// AppendAuthenticationOK appends the message that accepts a client.
func AppendAuthenticationOK(out []byte) []byte {
	return appendMessage(out, serverAuthentication, func(out []byte) []byte { return append(out, 0, 0, 0, 0) })
}

// AppendParameterStatus appends the report of a setting.
func AppendParameterStatus(out []byte, name, value string) []byte {
	return appendMessage(out, serverParameterStatus, func(out []byte) []byte {
		return appendCString(appendCString(out, name), value)
	})
}

// AppendBackendKeyData appends the key by which a client can cancel its requests.
func AppendBackendKeyData(out []byte, key CancelKey) []byte {
	return appendMessage(out, serverBackendKeyData, func(out []byte) []byte { return appendCancelKey(out, key) })
}

// AppendReadyForQuery appends a ReadyForQuery message with a transaction status.
func AppendReadyForQuery(out []byte, status byte) []byte {
	return appendMessage(out, serverReadyForQuery, func(out []byte) []byte { return append(out, status) })
}

// AppendReadyIdle appends a ReadyForQuery message outside a transaction.
func AppendReadyIdle(out []byte) []byte { return AppendReadyForQuery(out, transactionStatusIdle) }

// AppendCommandComplete appends the end of a command's response.
func AppendCommandComplete(out []byte, tag string) []byte {
	return appendMessage(out, serverCommandComplete, func(out []byte) []byte { return appendCString(out, tag) })
}

// AppendEmptyQuery appends the response to an empty query.
func AppendEmptyQuery(out []byte) []byte { return AppendBodyless(out, serverEmptyQueryResponse) }

// AppendError appends an ErrorResponse. A fatal one ends the session.
func AppendError(out []byte, e *Error, fatal bool) []byte {
	severity := "ERROR"
	if fatal {
		severity = "FATAL"
	}
	return appendMessage(out, serverErrorResponse, func(out []byte) []byte {
		out = appendCString(append(out, errorFieldSeverity), severity)
		out = appendCString(append(out, errorFieldNonLocalizedSeverity), severity)
		out = appendCString(append(out, errorFieldCode), e.Code)
		out = appendCString(append(out, errorFieldMessage), e.Text)
		if e.Detail != "" {
			out = appendCString(append(out, errorFieldDetail), e.Detail)
		}
		return append(out, 0)
	})
}

// AppendTextRow appends a row of one text column, and its description.
func AppendTextRow(out []byte, column, value string) []byte {
	out = appendMessage(out, serverRowDescription, func(out []byte) []byte {
		out = appendCString(append(out, 0, 1), column)
		out = append(out, 0, 0, 0, 0, 0, 0)       // no table, no column number
		out = append(out, 0, 0, 0, 25)            // type text
		out = append(out, 0xff, 0xff)             // of variable size
		out = append(out, 0xff, 0xff, 0xff, 0xff) // no type modifier
		return append(out, 0, 0)                  // text format
	})
	return appendMessage(out, serverDataRow, func(out []byte) []byte {
		out = append(out, 0, 1)
		out = binary.BigEndian.AppendUint32(out, uint32(len(value)))
		return append(out, value...)
	})
}
