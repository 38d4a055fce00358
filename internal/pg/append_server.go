package pg

import "encoding/binary"

// transactionStatusIdle is the transaction status that ReadyForQuery reports outside a transaction.
const transactionStatusIdle byte = 'I'

// defaultServerParameters are reported to clients, which rely on them, before the parameters of a member are known.
var defaultServerParameters = [...]Setting{
	{"server_version", "16.0"},
	{"client_encoding", "UTF8"},
	{"server_encoding", "UTF8"},
	{"standard_conforming_strings", "on"},
}

// AppendStartupResponse appends the response to a startup message, from authentication to ReadyForQuery. minorVersion is the minor protocol
// version that the client requested.
func AppendStartupResponse(out []byte, minorVersion int) []byte {
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

// AppendNegotiateProtocolVersion appends a NegotiateProtocolVersion message, which offers version 3.0 to a client that requested a later
// minor version.
func AppendNegotiateProtocolVersion(out []byte) []byte {
	return appendMessage(out, serverNegotiateProtocolVersion, func(out []byte) []byte {
		out = binary.BigEndian.AppendUint32(out, protocolMajorVersion<<16)
		return append(out, 0, 0, 0, 0) // no unrecognized protocol options
	})
}

// AppendAuthenticationOK appends an AuthenticationOk message, which reports successful authentication.
func AppendAuthenticationOK(out []byte) []byte {
	return appendMessage(out, serverAuthentication, func(out []byte) []byte { return append(out, 0, 0, 0, 0) })
}

// AppendParameterStatus appends a ParameterStatus message, which reports the value of a run-time parameter.
func AppendParameterStatus(out []byte, name, value string) []byte {
	return appendMessage(out, serverParameterStatus, func(out []byte) []byte {
		return appendCString(appendCString(out, name), value)
	})
}

// AppendBackendKeyData appends a BackendKeyData message with the key that a client needs for a CancelRequest.
func AppendBackendKeyData(out []byte, key CancelKey) []byte {
	return appendMessage(out, serverBackendKeyData, func(out []byte) []byte { return appendCancelKey(out, key) })
}

// AppendReadyForQuery appends a ReadyForQuery message with a transaction status: 'I', 'T' or 'E'.
func AppendReadyForQuery(out []byte, status byte) []byte {
	return appendMessage(out, serverReadyForQuery, func(out []byte) []byte { return append(out, status) })
}

// AppendReadyIdle appends a ReadyForQuery message that reports no open transaction.
func AppendReadyIdle(out []byte) []byte { return AppendReadyForQuery(out, transactionStatusIdle) }

// AppendCommandComplete appends a CommandComplete message with a command tag.
func AppendCommandComplete(out []byte, tag string) []byte {
	return appendMessage(out, serverCommandComplete, func(out []byte) []byte { return appendCString(out, tag) })
}

// AppendEmptyQuery appends an EmptyQueryResponse message.
func AppendEmptyQuery(out []byte) []byte { return AppendEmptyMessage(out, serverEmptyQueryResponse) }

// AppendError appends an ErrorResponse message with severity ERROR, or FATAL if the session ends with it.
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

// AppendTextRow appends a RowDescription for one text column and a DataRow with its value.
func AppendTextRow(out []byte, column, value string) []byte {
	out = appendMessage(out, serverRowDescription, func(out []byte) []byte {
		out = appendCString(append(out, 0, 1), column)
		out = append(out, 0, 0, 0, 0, 0, 0)       // no table OID, no attribute number
		out = append(out, 0, 0, 0, 25)            // type OID of text
		out = append(out, 0xff, 0xff)             // variable-length type
		out = append(out, 0xff, 0xff, 0xff, 0xff) // no type modifier
		return append(out, 0, 0)                  // text format
	})
	return appendMessage(out, serverDataRow, func(out []byte) []byte {
		out = append(out, 0, 1)
		out = binary.BigEndian.AppendUint32(out, uint32(len(value)))
		return append(out, value...)
	})
}
