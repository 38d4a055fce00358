package pg

// Kind identifies the type of a decoded message.
type Kind int

// Kinds that do not require EnableExtended.
const (
	Startup       Kind = iota
	SSLRequest         // SSLRequest or GSSENCRequest
	CancelRequest      // sent on a separate connection
	Query
	Terminate
	ExtendedQuery // any message of the extended query protocol except Sync
	FunctionCall
	Sync
	AuthenticationOK
	Ignored // a message that needs no handling: a notice, key data or protocol negotiation
	ParameterStatus
	ReadyForQuery
	RowDescription
	DataRow
	CommandComplete
	EmptyQuery
	ErrorResponse
)

// Kinds that a Reader returns only after EnableExtended was called.
const (
	Parse Kind = ErrorResponse + 1 + iota
	Bind
	Describe
	Execute
	Close // of a prepared statement or a portal
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
	BackendKeyData
)

// Target types of Describe and Close.
const (
	targetStatement byte = 'S'
	targetPortal    byte = 'P'
)

// Message is a decoded client or server message. Only the fields that apply to its kind are set. Raw, Tail and FirstColumn are valid until
// the next call of Reader.Feed.
type Message struct {
	Kind         Kind
	Text         string // Query, Parse: the statement; ParameterStatus: the value; CommandComplete: the command tag
	Name         string // ParameterStatus: the name; Parse, Bind, Describe, Close: the prepared statement
	Portal       string // Bind, Describe, Execute, Close
	Target       byte   // Describe, Close: 'S' for a prepared statement, 'P' for a portal
	Status       byte   // ReadyForQuery: 'I' outside a transaction, 'T' in a transaction, 'E' in a failed transaction
	Tail         []byte // Parse: the body from the statement text on; Bind: the body from the parameter format codes on
	Startup      StartupParameters
	Key          CancelKey // CancelRequest, BackendKeyData
	MinorVersion int       // Startup: the minor protocol version
	ColumnCount  int       // RowDescription, DataRow
	FirstColumn  []byte    // DataRow: the value of the first column, or nil for NULL
	Raw          []byte    // the encoded message: RowDescription, DataRow, CommandComplete, and all messages after EnableExtended
	Error        *Error    // ErrorResponse
	Discarded    bool      // the content was dropped for want of memory; only Kind is set
}

// CancelKey identifies a session in a CancelRequest.
type CancelKey struct{ Process, Secret uint32 }

// Setting is the name and value of a parameter in a startup message or a SET command.
type Setting struct{ Name, Value string }

// StartupParameters are the parameters of a startup message in the order received.
type StartupParameters []Setting

// Get returns the value of the first parameter with the given name, or an empty string if there is none.
func (p StartupParameters) Get(name string) string {
	for _, parameter := range p {
		if parameter.Name == name {
			return parameter.Value
		}
	}
	return ""
}
