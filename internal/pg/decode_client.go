package pg

import (
	"bytes"
	"encoding/binary"
)

const startupPlace = "startup message"

// maxStartupParameters limits the parameters of a startup message. Each costs far more than the few bytes that it may have.
const maxStartupParameters = 128

// decodeStartup decodes the first message on a client connection: a StartupMessage, CancelRequest or request for encryption.
func decodeStartup(body []byte) (Message, error) {
	if len(body) < 4 {
		return Message{}, newDecodeError(startupPlace, ProtocolViolation, "startup message without a version")
	}
	major, minor := binary.BigEndian.Uint16(body), binary.BigEndian.Uint16(body[2:])
	switch {
	case major == requestCodeMajor && (minor == sslRequestCodeMinor || minor == gssEncryptionCodeMinor):
		return Message{Kind: SSLRequest}, nil
	case major == requestCodeMajor && minor == cancelRequestCodeMinor:
		return decodeCancelRequest(body), nil
	case major != protocolMajorVersion:
		return Message{}, newDecodeError(startupPlace, FeatureNotSupported, "protocol version %d.%d", major, minor)
	}
	parameters := body[4:]
	if len(parameters) == 0 || parameters[len(parameters)-1] != 0 {
		return Message{}, newDecodeError(startupPlace, ProtocolViolation, "startup message without its end")
	}
	if fields := bytes.Count(parameters, []byte{0}); fields > 2*maxStartupParameters {
		return Message{}, newDecodeError(startupPlace, ProgramLimitExceeded, "startup message with more than %d parameters", maxStartupParameters)
	}
	return Message{Kind: Startup, MinorVersion: int(minor), Startup: decodeStartupParameters(parameters)}, nil
}

func decodeCancelRequest(body []byte) Message {
	m := Message{Kind: CancelRequest}
	if len(body) >= cancelRequestBodySize {
		m.Key = decodeCancelKey(body[4:])
	}
	return m
}

func decodeCancelKey(b []byte) CancelKey {
	return CancelKey{Process: binary.BigEndian.Uint32(b), Secret: binary.BigEndian.Uint32(b[4:])}
}

// decodeStartupParameters decodes the name and value pairs of a StartupMessage. It ignores an incomplete last pair.
func decodeStartupParameters(b []byte) (parameters StartupParameters) {
	for len(b) > 1 {
		name, rest, ok := splitCString(b)
		if !ok {
			return parameters
		}
		value, rest, ok := splitCString(rest)
		if !ok {
			return parameters
		}
		parameters = append(parameters, Setting{Name: name, Value: value})
		b = rest
	}
	return parameters
}

// decodeClientMessage decodes a client message whose header passed checkHeader. Of its body, only the text of a Query is decoded.
func decodeClientMessage(messageType byte, body []byte) (Message, error) {
	kind := clientKinds[messageType]
	if kind != Query {
		return Message{Kind: kind}, nil
	}
	text, rest, ok := splitCString(body)
	if !ok || len(rest) > 0 {
		return Message{}, newDecodeError("Query, text", ProtocolViolation, "query without its end")
	}
	return Message{Kind: Query, Text: text}, nil
}

// decodeExtendedClientMessage replaces decodeClientMessage after EnableExtended and also decodes the messages of the extended query
// protocol.
func decodeExtendedClientMessage(messageType byte, body []byte) (Message, error) {
	kind, extended := extendedClientKinds[messageType]
	if !extended {
		return decodeClientMessage(messageType, body)
	}
	m, b := Message{Kind: kind}, bodyReader{remaining: body}
	switch kind {
	case Parse:
		readParse(&m, &b)
	case Bind:
		readBind(&m, &b)
	case Execute:
		m.Portal = b.cString("portal")
		b.skip(4, "row limit")
	case Describe, Close:
		readDescribeTarget(&m, &b)
	case CopyData, CopyFail:
		return m, nil // any body is valid
	}
	return m, b.finish(messageType)
}

func readParse(m *Message, b *bodyReader) {
	m.Name = b.cString("statement name")
	m.Tail = b.remaining
	m.Text = b.cString("statement")
	parameters := b.uint16("number of parameter types")
	b.skip(4*parameters, "parameter types")
}

// readBind validates all counts and lengths, because a member closes the connection if they are inconsistent.
func readBind(m *Message, b *bodyReader) {
	m.Portal = b.cString("portal")
	m.Name = b.cString("statement name")
	m.Tail = b.remaining
	parameterFormats := b.uint16("number of parameter formats")
	b.skip(2*parameterFormats, "parameter formats")
	values := b.uint16("number of values")
	for range values {
		size, _, rest, ok := splitValue(b.remaining)
		if !ok || size < -1 {
			b.markInvalid("values")
			return
		}
		b.remaining = rest
	}
	resultFormats := b.uint16("number of result formats")
	b.skip(2*resultFormats, "result formats")
}

func readDescribeTarget(m *Message, b *bodyReader) {
	m.Target = b.byte("target")
	switch m.Target {
	case targetStatement:
		m.Name = b.cString("statement name")
	case targetPortal:
		m.Portal = b.cString("portal")
	default:
		b.markInvalid("target")
	}
}
