package pg

import (
	"errors"
	"fmt"
	"strings"
	"testing"
)

var kindNames = map[Kind]string{Startup: "Startup", SSLRequest: "SSLRequest", CancelRequest: "CancelRequest", Query: "Query",
	Terminate: "Terminate", ExtendedQuery: "ExtendedQuery", FunctionCall: "FunctionCall", Sync: "Sync",
	AuthenticationOK: "AuthenticationOK", Ignored: "Ignored", ParameterStatus: "ParameterStatus", ReadyForQuery: "ReadyForQuery",
	RowDescription: "RowDescription", DataRow: "DataRow", CommandComplete: "CommandComplete", EmptyQuery: "EmptyQuery",
	ErrorResponse: "ErrorResponse", Parse: "Parse", Bind: "Bind", Describe: "Describe", Execute: "Execute", Close: "Close",
	Flush: "Flush", CopyData: "CopyData", CopyDone: "CopyDone", CopyFail: "CopyFail", ParseComplete: "ParseComplete",
	BindComplete: "BindComplete", CloseComplete: "CloseComplete", NoData: "NoData", PortalSuspended: "PortalSuspended",
	ParameterDescription: "ParameterDescription", CopyInResponse: "CopyInResponse", CopyOutResponse: "CopyOutResponse",
	NoticeResponse: "NoticeResponse", NotificationResponse: "NotificationResponse", BackendKeyData: "BackendKeyData"}

// describeMessage formats the kind of a message and the fields that are set.
func describeMessage(m Message) string {
	words := []string{kindNames[m.Kind]}
	add := func(isSet bool, format string, value any) {
		if isSet {
			words = append(words, fmt.Sprintf(format, value))
		}
	}
	add(m.Name != "", "%s", m.Name)
	add(m.Text != "", "%s", m.Text)
	add(m.Portal != "", "portal=%s", m.Portal)
	add(m.Target != 0, "target=%c", m.Target)
	add(m.MinorVersion != 0, "minor=%d", m.MinorVersion)
	add(m.ColumnCount != 0, "columns=%d", m.ColumnCount)
	add(len(m.FirstColumn) > 0, "first=%s", m.FirstColumn)
	if m.Error != nil {
		words = append(words, m.Error.Error(), "detail="+m.Error.Detail)
	}
	return strings.Join(words, " ")
}

// readAll formats all complete messages of a reader, followed by its error if there is one.
func readAll(r *Reader) string {
	var messages []string
	for {
		m, ok, err := r.Next()
		var response *Error
		if errors.As(err, &response) {
			return strings.Join(append(messages, "error "+response.Code), "; ")
		}
		if !ok {
			return strings.Join(messages, "; ")
		}
		messages = append(messages, describeMessage(m))
	}
}

// encodedTestValue is a length-prefixed value of a DataRow.
const encodedTestValue = "\x00\x00\x00\x02ok"

var readerCases = []struct {
	name       string
	fromServer bool
	bytes      string
	want       string
}{
	{"client messages", false, "\x00\x00\x00\x08\x04\xd2\x16\x2f" + string(AppendStartup(nil, "api", "ledger")) +
		string(AppendQuery(nil, "SELECT ", "1")) + "S\x00\x00\x00\x04P\x00\x00\x00\x05xX\x00\x00\x00\x04",
		"SSLRequest; Startup; Query SELECT 1; Sync; ExtendedQuery; Terminate"},
	{"cancel request", false, "\x00\x00\x00\x10\x04\xd2\x16\x2e12345678", "CancelRequest"},
	{"unknown version", false, "\x00\x00\x00\x08\x00\x02\x00\x00", "error 0A000"},
	{"startup without terminator", false, "\x00\x00\x00\x0c\x00\x03\x00\x00user", "error 08P01"},
	{"startup with too many parameters", false, "\x00\x00\x02\x11\x00\x03\x00\x00" + strings.Repeat("a\x00b\x00", 130) + "\x00", "error 54000"},
	{"length too small", false, "\x00\x00\x00\x03", "error 08P01"},
	{"length too large", false, "\x7f\x00\x00\x00", "error 54000"},
	{"unknown type", false, string(AppendStartup(nil, "a", "b")) + "?\x00\x00\x00\x04", "Startup; error 08P01"},
	{"query without terminator", false, string(AppendStartup(nil, "a", "b")) + "Q\x00\x00\x00\x05x", "Startup; error 08P01"},
	{"query with two terminators", false, string(AppendStartup(nil, "a", "b")) + "Q\x00\x00\x00\x06\x00\x00",
		"Startup; error 08P01"},
	{"greeting", true, string(AppendStartupResponse(nil, 0)),
		"AuthenticationOK; ParameterStatus server_version 16.0; ParameterStatus client_encoding UTF8; ParameterStatus server_encoding UTF8; " +
			"ParameterStatus standard_conforming_strings on; Ignored; ReadyForQuery"},
	{"response", true, "T\x00\x00\x00\x06\x00\x01D\x00\x00\x00\x0c\x00\x01" + encodedTestValue + "C\x00\x00\x00\x0dSELECT 1\x00" +
		string(AppendReadyIdle(nil)), "RowDescription columns=1; DataRow columns=1 first=ok; CommandComplete SELECT 1; ReadyForQuery"},
	{"error response", true, string(AppendError(nil, &Error{Code: TooManyConnections, Text: "full", Detail: "20"}, true)),
		"ErrorResponse 53300: full detail=20"},
	{"NULL", true, "D\x00\x00\x00\x0a\x00\x01\xff\xff\xff\xff", "DataRow columns=1"},
	{"password requested", true, "R\x00\x00\x00\x08\x00\x00\x00\x03", "error 0A000"},
	{"value longer than its row", true, "D\x00\x00\x00\x0c\x00\x01\x00\x00\x00\x03ok", "error 08P01"},
	{"row longer than its values", true, "D\x00\x00\x00\x0d\x00\x01" + encodedTestValue + "!", "error 08P01"},
	{"error without terminator", true, "E\x00\x00\x00\x07C12", "error 08P01"},
	{"garbage, by its header", true, "x\x00\x00\x00\x40", "error 08P01"},
	{"ReadyForQuery too long, by its header", true, "Z\x00\x00\x00\x06", "error 08P01"},
	{"value shorter than its row, by its header", true, "D\x00\x00\x08\x00\x00\x01\x00\x00\x00\x05", "error 08P01"},
	{"value one byte shorter than its row, by its header", true, "D\x00\x00\x00\x10\x00\x01\x00\x00\x00\x05", "error 08P01"},
	{"value longer than its row, by its header", true, "D\x00\x00\x08\x00\x00\x02\x00\x00\x08\x00", "error 08P01"},
	{"value of 3 GB", true, "D\xb2\xd0\x5e\x0a\x00\x01\xb2\xd0\x5e\x00", "error 54000"},
	{"unknown type, by its header", false, string(AppendStartup(nil, "a", "b")) + "?\x00\x00\x01\x00", "Startup; error 08P01"},
	{"unknown version, by its header", false, "\x00\x00\x00\x20\x00\x02\x00\x00", "error 0A000"},
	{"startup too long", false, "\x00\x00\x80\x00", "error 54000"},
	{"error without code", true, "E\x00\x00\x00\x05\x00", "error 08P01"},
}

// readParts feeds a reader one part at a time and formats the messages that it returns after each part.
func readParts(r *Reader, parts ...string) string {
	var read []string
	for _, part := range parts {
		r.Feed([]byte(part))
		if messages := readAll(r); messages != "" {
			read = append(read, messages)
		}
		if r.err != nil {
			break
		}
	}
	return strings.Join(read, "; ")
}

func TestReader_SameMessagesForAnySplit(t *testing.T) {
	for _, in := range readerCases {
		t.Run(in.name, func(t *testing.T) {
			for i := range len(in.bytes) + 1 {
				for _, j := range []int{i, (i + len(in.bytes)) / 2, len(in.bytes)} {
					got := readParts(NewReader(in.fromServer, 1<<12), in.bytes[:i], in.bytes[i:j], in.bytes[j:])
					if got != in.want {
						t.Fatalf("split at %d and %d: got %s, want %s", i, j, got, in.want)
					}
				}
			}
		})
	}
}

// readExtended decodes bytes with a reader on which EnableExtended was called.
func readExtended(fromServer bool, bytes string) (*Reader, string) {
	r := NewReader(fromServer, 1<<12)
	if !fromServer {
		readParts(r, string(AppendStartup(nil, "user", "database")))
	}
	r.EnableExtended()
	return r, readParts(r, bytes)
}

func TestReader_ExtendedMessages(t *testing.T) {
	const parseTail = "SELECT $1\x00\x00\x01\x00\x00\x00\x19"
	const bindTail = "\x00\x01\x00\x00\x00\x02\x00\x00\x00\x01x\xff\xff\xff\xff\x00\x01\x00\x01"
	clientBytes := AppendParse(nil, "name", []byte(parseTail))
	clientBytes = AppendBind(clientBytes, "portal", "name", []byte(bindTail))
	clientBytes = AppendDescribe(clientBytes, targetStatement, "name")
	clientBytes = AppendDescribe(clientBytes, targetPortal, "portal")
	clientBytes = AppendExecute(clientBytes, "portal")
	clientBytes = AppendClose(clientBytes, targetPortal, "portal")
	clientBytes = AppendCopyData(clientBytes, "1\n")
	clientBytes = AppendEmptyMessage(clientBytes, clientCopyDone)
	clientBytes = AppendEmptyMessage(clientBytes, clientFlush)
	clientBytes = AppendSync(clientBytes)
	_, got := readExtended(false, string(clientBytes))
	want := "Parse name SELECT $1; Bind name portal=portal; Describe name target=S; Describe portal=portal target=P; Execute portal=portal; " +
		"Close portal=portal target=P; CopyData; CopyDone; Flush; Sync"
	if got != want {
		t.Errorf("client: got %s, want %s", got, want)
	}

	var serverBytes []byte
	for _, messageType := range []byte{serverParseComplete, serverBindComplete, serverCloseComplete, serverNoData, serverPortalSuspended, serverCopyDone} {
		serverBytes = AppendEmptyMessage(serverBytes, messageType)
	}
	serverBytes = AppendBackendKeyData(serverBytes, CancelKey{Process: 1, Secret: 2})
	serverBytes = AppendTextRow(serverBytes, "column", "value")
	serverBytes = AppendCommandComplete(serverBytes, "SELECT 1")
	_, got = readExtended(true, string(serverBytes))
	want = "ParseComplete; BindComplete; CloseComplete; NoData; PortalSuspended; CopyDone; BackendKeyData; RowDescription columns=1; " +
		"DataRow columns=1 first=value; CommandComplete SELECT 1"
	if got != want {
		t.Errorf("server: got %s, want %s", got, want)
	}
}

func TestReader_DecodeErrorNamesPlace(t *testing.T) {
	message := func(messageType byte, body string) string {
		return string(appendMessage(nil, messageType, func(out []byte) []byte { return append(out, body...) }))
	}
	for _, c := range []struct {
		fromServer   bool
		bytes, place string
	}{
		{false, message(clientParse, "name"), `message 'P', statement name`},
		{false, message(clientParse, "\x00SELECT 1\x00\x00\x01"), `message 'P', parameter types`},
		{false, message(clientBind, "\x00\x00\x00\x01"), `message 'B', parameter formats`},
		{false, message(clientBind, "\x00\x00\x00\x00\x00\x01\x00\x00\x00\x02x"), `message 'B', values`},
		{false, message(clientBind, "\x00\x00\x00\x00\x00\x01\xff\xff\xff\xfe\x00\x00"), `message 'B', values`},
		{false, message(clientBind, "\x00\x00\x00\x00\x00\x00\x00\x00x"), `message 'B', end`},
		{false, message(clientExecute, "\x00\x00"), `message 'E', row limit`},
		{false, message(clientDescribe, "Xname\x00"), `message 'D', target`},
		{false, message(clientFlush, "x"), `message 'H', end`},
		{false, message(clientQuery, "SELECT 1"), "Query, text"},
		{false, "?\x00\x00\x00\x04", "message header"},
		{true, message(serverParameterStatus, "name\x00value"), `message 'S', value`},
		{true, message(serverCommandComplete, "SELECT 1"), `message 'C', tag`},
		{true, message(serverDataRow, "\x00\x02\x00\x00\x00\x01x\x00\x00\x00\x02y"), `message 'D', columns`},
		{true, message(serverErrorResponse, "C42601\x00M"), `message 'E', terminator`},
		{true, message(serverErrorResponse, "Mtext\x00\x00"), `message 'E', code`},
	} {
		r, _ := readExtended(c.fromServer, c.bytes)
		var decodeError *DecodeError
		if !errors.As(r.err, &decodeError) || decodeError.Place != c.place || decodeError.Err.Code != ProtocolViolation {
			t.Errorf("%q: got %v, want a protocol violation at %q", c.bytes, r.err, c.place)
		}
	}
}

// FuzzReader checks for any input that the decoded messages are the same whether it is fed byte by byte or at once, and that the reader does
// not buffer more than its message limit.
func FuzzReader(f *testing.F) {
	for _, in := range readerCases {
		f.Add(in.fromServer, []byte(in.bytes))
	}
	f.Fuzz(func(t *testing.T, fromServer bool, b []byte) {
		const maxMessage = 1 << 8
		checkExtendedSize(t, fromServer, maxMessage, b)
		wholeReader := NewReader(fromServer, maxMessage)
		wholeReader.Feed(b)
		want := readAll(wholeReader)
		r := NewReader(fromServer, maxMessage)
		var read []string
		for n := range b {
			r.Feed(b[n : n+1])
			if messages := readAll(r); messages != "" {
				read = append(read, messages)
			}
			if r.err != nil {
				break
			}
			if r.Buffered() > maxMessage {
				t.Fatalf("%d bytes are buffered, which exceeds the message limit", r.Buffered())
			}
		}
		if got := strings.Join(read, "; "); got != want {
			t.Fatalf("fed byte by byte: %q; fed at once: %q", got, want)
		}
	})
}

// checkExtendedSize fails the test if the messages decoded after EnableExtended are longer in total than the input.
func checkExtendedSize(t *testing.T, fromServer bool, maxMessage int, b []byte) {
	t.Helper()
	r := NewReader(fromServer, maxMessage)
	r.EnableExtended()
	r.Feed(b)
	size := 0
	for m, ok, err := r.Next(); ok && err == nil; m, ok, err = r.Next() {
		size += len(m.Raw)
	}
	if size > len(b) {
		t.Fatalf("messages of %d bytes in an input of %d bytes", size, len(b))
	}
}

// A message that is discarded for want of memory is returned without its content, once it is complete, and what follows it is decoded, for
// any split of the bytes. Meanwhile the buffer holds nothing of it.
func TestReader_DiscardMessage(t *testing.T) {
	large, next := string(AppendQuery(nil, strings.Repeat("x", 3000))), string(AppendQuery(nil, "next"))
	for split := headerSize; split < len(large); split += 97 {
		r := NewReader(false, 1<<12)
		r.Feed(AppendStartup(nil, "a", "b"))
		readAll(r)
		r.Feed([]byte(large[:split]))
		readAll(r)
		if !r.DiscardMessage() {
			t.Fatalf("split at %d: not discarded", split)
		}
		if r.Cap() != 0 || r.Buffered() == 0 {
			t.Fatalf("split at %d: capacity %d, buffered %d", split, r.Cap(), r.Buffered())
		}
		if growth := r.Growth(len(large) - split); growth != 0 {
			t.Fatalf("split at %d: the buffer would grow by %d for the rest", split, growth)
		}
		last := len(large) - 1
		r.Feed([]byte(large[split:last]))
		if _, ok, err := r.Next(); ok || err != nil {
			t.Fatalf("split at %d: a message before its last byte, %v", split, err)
		}
		r.Feed([]byte(large[last:] + next))
		m, ok, err := r.Next()
		if !ok || err != nil || m.Kind != Query || !m.Discarded || m.Text != "" {
			t.Fatalf("split at %d: %+v, %v, %v", split, m, ok, err)
		}
		if got := readAll(r); got != "Query next" {
			t.Fatalf("split at %d: then %q", split, got)
		}
	}
}

// The buffer of an incomplete message never takes more than twice what has arrived of it, nor more than the message.
func TestReader_BufferGrowth(t *testing.T) {
	const chunk = 100
	large := AppendQuery(nil, strings.Repeat("x", 3000))
	r := NewReader(false, 1<<12)
	r.Feed(AppendStartup(nil, "a", "b"))
	readAll(r)
	for fed := 0; fed < len(large); fed += chunk {
		part := large[fed:min(fed+chunk, len(large))]
		growth, before := r.Growth(len(part)), r.Cap()
		r.Feed(part)
		if r.Cap()-before != growth {
			t.Fatalf("after %d bytes: grew by %d, announced %d", fed, r.Cap()-before, growth)
		}
		if limit := max(2*(fed+chunk), maxIdleBufferBytes); r.Cap() > min(limit, max(len(large), maxIdleBufferBytes)) {
			t.Fatalf("after %d bytes: capacity %d", fed, r.Cap())
		}
	}
	if got := readAll(r); !strings.HasPrefix(got, "Query xxx") || r.Cap() != 0 {
		t.Fatalf("%.20q, capacity %d", got, r.Cap())
	}
}
