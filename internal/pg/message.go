package pg

// Kind is the kind of a message.
type Kind int

// Kinds that any Reader returns.
const (
	Startup       Kind = iota
	SSLRequest         // a request for TLS or GSSAPI encryption
	CancelRequest      // on a connection of its own
	Query
	Terminate
	ExtendedQuery // any message of the extended protocol but Sync
	FunctionCall
	Sync
	AuthenticationOK
	Ignored // a notice, key data or protocol negotiation
	ParameterStatus
	ReadyForQuery
	RowDescription
	DataRow
	CommandComplete
	EmptyQuery
	ErrorResponse
)

// Kinds that a Reader returns only after EnableExtended.
const (
	Parse Kind = ErrorResponse + 1 + iota
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
	BackendKeyData
)

// Targets of Describe and Close.
const (
	targetStatement byte = 'S'
	targetPortal    byte = 'P'
)

// Message is a message of either side. Only the fields of its kind are set. Raw, Tail and FirstColumn are valid until the reader is fed
// again.
type Message struct {
	Kind         Kind
	Text         string // Query, Parse: the statement; ParameterStatus: the value; CommandComplete: the tag
	Name         string // ParameterStatus: the name; Parse, Bind, Describe, Close: the prepared statement
	Portal       string // Bind, Describe, Execute, Close
	Target       byte   // Describe, Close: 'S' for a prepared statement, 'P' for a portal
	Status       byte   // ReadyForQuery: 'I' outside a transaction, 'T' inside, 'E' inside one that has failed
	Tail         []byte // Parse: the body from the statement on; Bind: the body from the parameter formats on
	Startup      StartupParameters
	Key          CancelKey // CancelRequest, BackendKeyData
	MinorVersion int       // Startup: of the protocol
	ColumnCount  int       // RowDescription, DataRow
	FirstColumn  []byte    // DataRow: the value of the first column, nil for NULL
	Raw          []byte    // the whole message: RowDescription, DataRow, CommandComplete, and all messages after EnableExtended
	Error        *Error    // ErrorResponse
}

// CancelKey identifies a session in a CancelRequest.
type CancelKey struct{ Process, Secret uint32 }

// Setting is a parameter of a startup message or of SET, with its value.
type Setting struct{ Name, Value string }

// StartupParameters are the parameters of a startup message in their order.
type StartupParameters []Setting

// Get returns the value of a parameter, empty if it is not given.
func (p StartupParameters) Get(name string) string {
	for _, parameter := range p {
		if parameter.Name == name {
			return parameter.Value
		}
	}
	return ""
}
