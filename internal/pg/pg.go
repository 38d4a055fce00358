// Package pg reads and writes version 3 of PostgreSQL's protocol: simple and extended queries, COPY, cancels. It owns
// the bytes: each message is cut from any split of its input, decoded once to a small typed value and encoded once;
// and the lexing of statements, as far as sessions need it. It must never open a socket, keep more than its bound, or
// know what a statement is for.
package pg

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"slices"
)

// Codes that an ErrorResponse carries.
const (
	ProtocolViolation               = "08P01"
	FeatureNotSupported             = "0A000"
	InvalidParameterValue           = "22023"
	ProgramLimitExceeded            = "54000"
	TooManyConnections              = "53300"
	CannotConnectNow                = "57P03"
	ReadOnlySQLTransaction          = "25006"
	SnapshotTooOld                  = "72000"
	DuplicateObject                 = "42710"
	IdleSessionTimeout              = "57P05"
	TransactionResolutionUnknown    = "08007" // whether it took effect is not known
	ConnectionFailure               = "08006" // the connection ended, and it took no effect
	SerializationFailure            = "40001" // it took no effect, and the transaction may run again
	InFailedSQLTransaction          = "25P02" // the transaction has failed, only its end will do
	IdleInTransactionSessionTimeout = "25P03" // a transaction was left open too long
	QueryCanceled                   = "57014"
	AdminShutdown                   = "57P01"
	InvalidCatalogName              = "3D000"
	InvalidSQLStatementName         = "26000"
	InvalidCursorName               = "34000"
	DuplicatePreparedStatement      = "42P05" // a prepared statement has this name
)

// Error is what an ErrorResponse says.
type Error struct{ Code, Text, Detail string }

func (e *Error) Error() string { return e.Code + ": " + e.Text }

// IsStatementError tells whether the statement itself is at fault: what it says, not who was asked.
func (e *Error) IsStatementError() bool {
	return e.Code == ProtocolViolation || len(e.Code) == 5 && slices.Contains([]string{"0A", "21", "22", "23", "42", "54"}, e.Code[:2])
}

func fail(code, format string, args ...any) *Error {
	return &Error{Code: code, Text: fmt.Sprintf(format, args...)}
}

// Kind tells one message from another.
type Kind int

const (
	Startup    Kind = iota
	SSLRequest      // for TLS or GSSAPI, before the startup message
	CancelRequest
	Query
	Terminate
	ExtendedQuery // belongs to the extended protocol
	FunctionCall
	Sync
	AuthenticationOK
	Ignored // a notice, key data
	ParameterStatus
	ReadyForQuery
	RowDescription
	DataRow
	CommandComplete
	EmptyQuery
	ErrorResponse

	// What follows is told apart only by a reader that is widened.
	Parse
	Bind
	Describe
	Execute
	Close // of a statement or a portal
	Flush
	CopyData
	CopyDone
	CopyFail
	ParseComplete
	BindComplete
	CloseComplete
	NoData
	PortalSuspended
	ParameterDescription
	CopyInResponse
	CopyOutResponse
	NoticeResponse
	NotificationResponse
	BackendKeyData // of the server, for a cancel
)

// Message is one message of either side; only the fields of its kind are set.
type Message struct {
	Kind         Kind
	Text         string // Query, Parse: the statement; Parameter: the value; Complete: the tag
	Name         string // Parameter; Parse, Bind, Describe, CloseName: the statement
	Portal       string // Bind, Describe, Execute, CloseName
	Target       byte   // Describe, CloseName: S for a statement, P for a portal
	Status       byte   // Ready: I outside a transaction, T inside, E inside one that has failed
	Tail         []byte // Parse: from its statement on; Bind: from its parameters' formats on; void like Raw
	Startup      StartupParameters
	Key          CancelKey // Cancel, KeyData
	MinorVersion int       // Startup: the minor version
	ColumnCount  int       // Columns, Row
	FirstColumn  []byte    // Row: its first column; void once the reader is fed again
	Raw          []byte    // Columns, Row, Complete, and all that a widened reader gives: as it came; void once it is fed again
	Error        *Error
}

// CancelKey names one session to the server that gave it, so that it may be cancelled.
type CancelKey struct{ Process, Secret uint32 }

// StartupParameters are the parameters of a startup message, in their order: name, value.
type StartupParameters [][2]string

// Get finds a parameter.
func (p StartupParameters) Get(name string) string {
	for _, one := range p {
		if one[0] == name {
			return one[1]
		}
	}
	return ""
}

// Reader cuts messages out of bytes that come in any split.
type Reader struct {
	buf    []byte
	off    int
	max    int
	server bool // what it reads comes from a server
	begun  bool // the startup message is through
	wide   bool // it tells all messages of the protocol apart
	err    error
}

// EnableExtended has the reader give extended queries, COPY and the like from now on, each with its bytes.
func (r *Reader) EnableExtended() { r.wide = true }

// Shrink gives room back that waits for nothing.
func (r *Reader) Shrink() {
	if r.Buffered() == 0 {
		r.buf, r.off = nil, 0
	}
}

// NewReader reads what a client sends, or a server; no message may be longer than max.
func NewReader(server bool, max int) *Reader { return &Reader{max: max, server: server, begun: server} }

// Feed takes in bytes.
func (r *Reader) Feed(b []byte) {
	if r.off > 0 {
		r.buf = append(r.buf[:0], r.buf[r.off:]...)
		r.off = 0
	}
	r.buf = append(r.buf, b...)
}

// Buffered tells how many bytes wait for the rest of their message, or to be read.
func (r *Reader) Buffered() int { return len(r.buf) - r.off }

// Next decodes the next message; ok is false where it is not whole yet. After an error framing is lost.
func (r *Reader) Next() (m Message, ok bool, err error) {
	if r.err != nil {
		return m, false, r.err
	}
	head := 5
	if !r.begun {
		head = 4
	}
	rest := r.buf[r.off:]
	if len(rest) < head {
		if len(rest) == 0 && cap(r.buf) > 1<<14 {
			r.buf, r.off = nil, 0 // a long message is no reason to keep its room
		}
		return m, false, nil
	}
	size := uint64(binary.BigEndian.Uint32(rest[head-4:])) + uint64(head-4)
	if r.err = r.judge(rest, head, size); r.err != nil {
		return m, false, r.err
	}
	if uint64(len(rest)) < size {
		return m, false, nil
	}
	r.off += int(size)
	raw := rest[:size:size]
	switch {
	case !r.begun:
		m, err = r.startup(raw[4:])
	case r.server:
		m, err = fromServer(raw[0], raw[5:], r.wide)
	case r.wide:
		m, err = fromWideClient(raw[0], raw[5:])
	default:
		m, err = fromClient(raw[0], raw[5:])
	}
	if err != nil {
		r.err = err
		return m, false, err
	}
	if r.wide || m.Kind == RowDescription || m.Kind == DataRow || m.Kind == CommandComplete {
		m.Raw = raw
	}
	return m, true, nil
}

var fromClients = map[byte]Kind{'Q': Query, 'X': Terminate, 'S': Sync, 'F': FunctionCall, 'P': ExtendedQuery, 'B': ExtendedQuery,
	'D': ExtendedQuery, 'E': ExtendedQuery, 'C': ExtendedQuery, 'H': ExtendedQuery}

// Bodies of a server's messages: the least and the most bytes. A row is as long as any message may be.
var fromServers = map[byte]struct{ least, most uint64 }{'R': {4, 4}, 'K': {8, 260}, 'N': {1, 1 << 13}, 'v': {8, 1 << 13},
	'S': {2, 1 << 13}, 'Z': {1, 1}, 'T': {2, 1 << 13}, 'D': {2, 1 << 32}, 'C': {1, 1 << 7}, 'I': {0, 0}, 'E': {1, 1 << 13}}

// What else a widened reader knows; a member's answers are as long as any message may be.
var (
	wideClients = map[byte]Kind{'P': Parse, 'B': Bind, 'D': Describe, 'E': Execute, 'C': Close, 'H': Flush,
		'd': CopyData, 'c': CopyDone, 'f': CopyFail}
	wideServers = map[byte]struct {
		kind        Kind
		least, most uint64
	}{'1': {ParseComplete, 0, 0}, '2': {BindComplete, 0, 0}, '3': {CloseComplete, 0, 0}, 'n': {NoData, 0, 0}, 's': {PortalSuspended, 0, 0},
		't': {ParameterDescription, 2, 1 << 20}, 'G': {CopyInResponse, 3, 1 << 16}, 'H': {CopyOutResponse, 3, 1 << 16}, 'd': {CopyData, 0, 1 << 32},
		'c': {CopyDone, 0, 0}, 'A': {NotificationResponse, 6, 1 << 16}, 'T': {RowDescription, 2, 1 << 20}, 'N': {NoticeResponse, 1, 1 << 16},
		'E': {ErrorResponse, 1, 1 << 16}}
)

const (
	mostStartup  = 10000 // bytes, as PostgreSQL has it
	startupStart = 8     // bytes up to the version
)

// judge tells from the first bytes of a message whether it can be one. Guards against waiting for bytes that never
// come, or never end, where noise looks like the head of a message.
func (r *Reader) judge(rest []byte, head int, size uint64) error {
	body, most := size-uint64(head), uint64(r.max)
	if !r.begun {
		most = min(most, mostStartup)
	}
	limits, known := fromServers[rest[0]]
	_, isClients := fromClients[rest[0]]
	if r.wide {
		if w, more := wideServers[rest[0]]; more {
			known, limits.least, limits.most = true, w.least, w.most
		}
		_, more := wideClients[rest[0]]
		isClients = isClients || more
	}
	switch { // first what the head tells, so that each split of the bytes gives the same
	case size < uint64(head):
		return fail(ProtocolViolation, "message length %d is too small", size-uint64(head-4))
	case r.begun && !r.server && !isClients, r.server && !known:
		return fail(ProtocolViolation, "unknown message type %q", rest[0])
	case size > most:
		return fail(ProgramLimitExceeded, "message of %d bytes is longer than %d", size, most)
	case r.server && (body < limits.least || body > limits.most):
		return fail(ProtocolViolation, "message of type %q can't have %d bytes", rest[0], body)
	case !r.begun && len(rest) >= startupStart:
		if major := binary.BigEndian.Uint16(rest[4:]); size >= startupStart && major != 3 && major != 1234 {
			return fail(FeatureNotSupported, "protocol version %d", major)
		}
	case r.server && rest[0] == 'D' && len(rest) >= head+6: // its first value must fit
		count, cell := binary.BigEndian.Uint16(rest[head:]), int64(int32(binary.BigEndian.Uint32(rest[head+2:])))
		if left := int64(body) - 6 - max(0, cell); count > 0 && (left < 0 || count == 1 && left > 0) {
			return fail(ProtocolViolation, "a value of %d bytes in a message of %d", cell, size)
		}
	}
	return nil
}

func (r *Reader) startup(body []byte) (Message, error) {
	if len(body) < 4 {
		return Message{}, fail(ProtocolViolation, "startup message without a version")
	}
	major, minor := binary.BigEndian.Uint16(body), binary.BigEndian.Uint16(body[2:])
	switch {
	case major == 1234 && (minor == 5679 || minor == 5680):
		return Message{Kind: SSLRequest}, nil
	case major == 1234 && minor == 5678:
		m := Message{Kind: CancelRequest}
		if len(body) >= 12 {
			m.Key = CancelKey{binary.BigEndian.Uint32(body[4:]), binary.BigEndian.Uint32(body[8:])}
		}
		return m, nil
	case major != 3:
		return Message{}, fail(FeatureNotSupported, "protocol version %d.%d", major, minor)
	}
	if body = body[4:]; len(body) == 0 || body[len(body)-1] != 0 {
		return Message{}, fail(ProtocolViolation, "startup message without its end")
	}
	m := Message{Kind: Startup, MinorVersion: int(minor)}
	for len(body) > 1 {
		name, rest, ok := cut(body)
		value, rest, also := cut(rest)
		if !ok || !also {
			break // as before this was read, a broken end does no harm
		}
		m.Startup, body = append(m.Startup, [2]string{name, value}), rest
	}
	r.begun = true
	return m, nil
}

// fromClient decodes a message whose type judge has let pass.
func fromClient(typ byte, body []byte) (Message, error) {
	kind := fromClients[typ]
	if kind != Query {
		return Message{Kind: kind}, nil
	}
	text, rest, ok := cut(body)
	if !ok || len(rest) > 0 {
		return Message{}, fail(ProtocolViolation, "query without its end")
	}
	return Message{Kind: Query, Text: text}, nil
}

// fromWideClient decodes any message of a client's whose type judge has let pass.
func fromWideClient(typ byte, body []byte) (Message, error) {
	kind, wide := wideClients[typ]
	if !wide {
		return fromClient(typ, body)
	}
	m, ok, also := Message{Kind: kind}, true, true
	var rest []byte
	switch kind {
	case Parse:
		if m.Name, m.Tail, ok = cut(body); ok {
			if m.Text, rest, ok = cut(m.Tail); ok {
				ok = len(rest) >= 2 && len(rest) == 2+4*int(binary.BigEndian.Uint16(rest))
			}
		}
	case Bind:
		if m.Portal, rest, ok = cut(body); ok {
			m.Name, m.Tail, ok = cut(rest)
			ok = ok && soundBind(m.Tail)
		}
	case Execute:
		m.Portal, rest, ok = cut(body)
		also = len(rest) == 4
	case Describe, Close:
		if ok = len(body) > 1 && (body[0] == 'S' || body[0] == 'P'); ok {
			m.Target = body[0]
			name := &m.Name
			if m.Target == 'P' {
				name = &m.Portal
			}
			*name, rest, ok = cut(body[1:])
			also = len(rest) == 0
		}
	case Flush, CopyDone:
		ok = len(body) == 0
	}
	if !ok || !also {
		return Message{}, broken(typ)
	}
	return m, nil
}

// soundBind tells whether counts and lengths fit, so that a member does not close on what a client made up.
func soundBind(b []byte) bool {
	count := func() (n int, ok bool) {
		if len(b) < 2 {
			return 0, false
		}
		n, b = int(binary.BigEndian.Uint16(b)), b[2:]
		return n, true
	}
	formats, ok := count()
	if !ok || len(b) < 2*formats {
		return false
	}
	b = b[2*formats:]
	values, ok := count()
	for n := 0; ok && n < values; n++ {
		if ok = len(b) >= 4; ok {
			size := int(int32(binary.BigEndian.Uint32(b)))
			b = b[4:]
			if ok = size >= -1 && size <= len(b); ok {
				b = b[max(0, size):]
			}
		}
	}
	results, also := count()
	return ok && also && len(b) == 2*results
}

// cut splits a text off that ends with a zero byte.
func cut(b []byte) (text string, rest []byte, ok bool) {
	i := bytes.IndexByte(b, 0)
	if i < 0 {
		return "", b, false
	}
	return string(b[:i]), b[i+1:], true
}

// fromServer decodes a message whose type and length judge has let pass.
func fromServer(typ byte, body []byte, wide bool) (Message, error) {
	if w, known := wideServers[typ]; wide && known {
		switch typ {
		case 'N':
			return Message{Kind: NoticeResponse}, nil
		case 'T', 'E':
		default:
			return Message{Kind: w.kind}, nil
		}
	}
	switch typ {
	case 'R':
		if binary.BigEndian.Uint32(body) != 0 {
			return Message{}, fail(FeatureNotSupported, "the server wants a password")
		}
		return Message{Kind: AuthenticationOK}, nil
	case 'K':
		m := Message{Kind: Ignored}
		if wide {
			m.Kind = BackendKeyData
		}
		if len(body) == 8 {
			m.Key = CancelKey{binary.BigEndian.Uint32(body), binary.BigEndian.Uint32(body[4:])}
		}
		return m, nil
	case 'N', 'v':
		return Message{Kind: Ignored}, nil
	case 'S':
		name, rest, ok := cut(body)
		value, rest, also := cut(rest)
		if !ok || !also || len(rest) > 0 {
			return Message{}, broken(typ)
		}
		return Message{Kind: ParameterStatus, Name: name, Text: value}, nil
	case 'Z':
		return Message{Kind: ReadyForQuery, Status: body[0]}, nil
	case 'T':
		return Message{Kind: RowDescription, ColumnCount: int(binary.BigEndian.Uint16(body))}, nil
	case 'D':
		return row(body)
	case 'C':
		tag, rest, ok := cut(body)
		if !ok || len(rest) > 0 {
			return Message{}, broken(typ)
		}
		return Message{Kind: CommandComplete, Text: tag}, nil
	case 'I':
		return Message{Kind: EmptyQuery}, nil
	case 'E':
		e := &Error{}
		for len(body) > 1 {
			field := body[0]
			text, rest, ok := cut(body[1:])
			if !ok {
				return Message{}, broken(typ)
			}
			switch field {
			case 'C':
				e.Code = text
			case 'M':
				e.Text = text
			case 'D':
				e.Detail = text
			}
			body = rest
		}
		if len(body) != 1 || body[0] != 0 || e.Code == "" {
			return Message{}, broken(typ)
		}
		return Message{Kind: ErrorResponse, Error: e}, nil
	}
	return Message{}, fail(ProtocolViolation, "unknown message type %q", typ)
}

// broken is the error of a message that its type does not allow; made only where it is needed.
func broken(typ byte) *Error { return fail(ProtocolViolation, "broken message of type %q", typ) }

func row(body []byte) (Message, error) {
	m := Message{Kind: DataRow, ColumnCount: int(binary.BigEndian.Uint16(body))}
	body = body[2:]
	for n := range m.ColumnCount {
		if len(body) < 4 {
			return m, broken('D')
		}
		size := int(int32(binary.BigEndian.Uint32(body)))
		body = body[4:]
		if size < 0 { // null
			continue
		}
		if size > len(body) {
			return m, broken('D')
		}
		if n == 0 {
			m.FirstColumn = body[:size]
		}
		body = body[size:]
	}
	if len(body) > 0 {
		return m, broken('D')
	}
	return m, nil
}

// message appends a message of a type, or a startup packet for type 0, whose body write appends.
func message(out []byte, typ byte, write func([]byte) []byte) []byte {
	if typ != 0 {
		out = append(out, typ)
	}
	at := len(out)
	out = append(out, 0, 0, 0, 0)
	if write != nil {
		out = write(out)
	}
	binary.BigEndian.PutUint32(out[at:], uint32(len(out)-at))
	return out
}

func text(out []byte, s string) []byte { return append(append(out, s...), 0) }

// AppendStartup opens a session with a server.
func AppendStartup(out []byte, user, database string, more ...[2]string) []byte {
	return message(out, 0, func(out []byte) []byte {
		out = binary.BigEndian.AppendUint32(out, 3<<16)
		out = text(text(out, "user"), user)
		out = text(text(out, "database"), database)
		for _, p := range more {
			out = text(text(out, p[0]), p[1])
		}
		return append(out, 0)
	})
}

// AppendCancelRequest asks a server to cancel what a session of its runs.
func AppendCancelRequest(out []byte, k CancelKey) []byte {
	return message(out, 0, func(out []byte) []byte {
		out = binary.BigEndian.AppendUint32(out, 1234<<16|5678)
		return binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(out, k.Process), k.Secret)
	})
}

// AppendParse prepares a statement under a name; tail is what a Parse holds from its statement on.
func AppendParse(out []byte, name string, tail []byte) []byte {
	return message(out, 'P', func(out []byte) []byte { return append(text(out, name), tail...) })
}

// AppendBind binds a portal to a statement; tail is what a Bind holds from its parameters' formats on.
func AppendBind(out []byte, portal, name string, tail []byte) []byte {
	return message(out, 'B', func(out []byte) []byte { return append(text(text(out, portal), name), tail...) })
}

// AppendExecute runs a portal to its end.
func AppendExecute(out []byte, portal string) []byte {
	return message(out, 'E', func(out []byte) []byte { return append(text(out, portal), 0, 0, 0, 0) })
}

// AppendDescribe asks what a statement (S) or a portal (P) is; AppendClose closes it.
func AppendDescribe(out []byte, of byte, name string) []byte {
	return message(out, 'D', func(out []byte) []byte { return text(append(out, of), name) })
}

func AppendClose(out []byte, of byte, name string) []byte {
	return message(out, 'C', func(out []byte) []byte { return text(append(out, of), name) })
}

// AppendSync ends a pipeline; AppendPlain is a message without a body; AppendTag one that holds a text alone.
func AppendSync(out []byte) []byte               { return message(out, 'S', nil) }
func AppendBodyless(out []byte, typ byte) []byte { return message(out, typ, nil) }
func AppendCommandComplete(out []byte, tag string) []byte {
	return message(out, 'C', func(out []byte) []byte { return text(out, tag) })
}

// AppendCopyData sends a part of what is copied.
func AppendCopyData(out []byte, data string) []byte {
	return message(out, 'd', func(out []byte) []byte { return append(out, data...) })
}

// AppendParameterStatus reports a setting.
func AppendParameterStatus(out []byte, name, value string) []byte {
	return message(out, 'S', func(out []byte) []byte { return text(text(out, name), value) })
}

// AppendBackendKeyData gives a client what it may cancel by.
func AppendBackendKeyData(out []byte, k CancelKey) []byte {
	return message(out, 'K', func(out []byte) []byte {
		return binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint32(out, k.Process), k.Secret)
	})
}

// AppendAuthenticationOK lets a client in without a password.
func AppendAuthenticationOK(out []byte) []byte {
	return message(out, 'R', func(out []byte) []byte { return append(out, 0, 0, 0, 0) })
}

// AppendNegotiateProtocolVersion tells a client that asked for a later minor version that 3.0 it is.
func AppendNegotiateProtocolVersion(out []byte) []byte {
	return message(out, 'v', func(out []byte) []byte { return append(out, 0, 3, 0, 0, 0, 0, 0, 0) })
}

// AppendReadyForQuery tells that the next query may come, and where the transaction stands.
func AppendReadyForQuery(out []byte, status byte) []byte {
	return message(out, 'Z', func(out []byte) []byte { return append(out, status) })
}

// AppendQuery asks a server one statement, given in parts.
func AppendQuery(out []byte, parts ...string) []byte {
	return message(out, 'Q', func(out []byte) []byte {
		for _, p := range parts {
			out = append(out, p...)
		}
		return append(out, 0)
	})
}

// AppendGreeting lets a client in that asked for this minor version.
func AppendGreeting(out []byte, minor int) []byte {
	if minor > 0 { // NegotiateProtocolVersion: 3.0 it is
		out = AppendNegotiateProtocolVersion(out)
	}
	out = AppendAuthenticationOK(out)
	for _, p := range [][2]string{{"server_version", "16.0"}, {"client_encoding", "UTF8"},
		{"server_encoding", "UTF8"}, {"standard_conforming_strings", "on"}} {
		out = AppendParameterStatus(out, p[0], p[1])
	}
	return AppendReadyIdle(AppendBackendKeyData(out, CancelKey{}))
}

// AppendReadyIdle tells that the next query may come.
func AppendReadyIdle(out []byte) []byte { return AppendReadyForQuery(out, 'I') }

// AppendEmptyQuery answers an empty query.
func AppendEmptyQuery(out []byte) []byte { return message(out, 'I', nil) }

// AppendError encodes an error; a fatal one ends the session.
func AppendError(out []byte, e *Error, fatal bool) []byte {
	severity := "ERROR"
	if fatal {
		severity = "FATAL"
	}
	return message(out, 'E', func(out []byte) []byte {
		out = text(append(out, 'S'), severity)
		out = text(append(out, 'V'), severity)
		out = text(append(out, 'C'), e.Code)
		out = text(append(out, 'M'), e.Text)
		if e.Detail != "" {
			out = text(append(out, 'D'), e.Detail)
		}
		return append(out, 0)
	})
}

// AppendTextRow is one row of one text column, with its description.
func AppendTextRow(out []byte, column, value string) []byte {
	out = message(out, 'T', func(out []byte) []byte {
		out = text(append(out, 0, 1), column)
		return append(out, 0, 0, 0, 0, 0, 0, 0, 0, 0, 25, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0, 0)
	})
	return message(out, 'D', func(out []byte) []byte {
		return append(binary.BigEndian.AppendUint32(append(out, 0, 1), uint32(len(value))), value...)
	})
}
