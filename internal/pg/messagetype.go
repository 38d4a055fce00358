package pg

// Type bytes of the messages that a client sends.
const (
	clientBind         byte = 'B'
	clientClose        byte = 'C'
	clientCopyData     byte = 'd'
	clientCopyDone     byte = 'c'
	clientCopyFail     byte = 'f'
	clientDescribe     byte = 'D'
	clientExecute      byte = 'E'
	clientFlush        byte = 'H'
	clientFunctionCall byte = 'F'
	clientParse        byte = 'P'
	clientQuery        byte = 'Q'
	clientSync         byte = 'S'
	clientTerminate    byte = 'X'
)

// Type bytes of the messages that a server sends.
const (
	serverAuthentication           byte = 'R'
	serverBackendKeyData           byte = 'K'
	serverBindComplete             byte = '2'
	serverCloseComplete            byte = '3'
	serverCommandComplete          byte = 'C'
	serverCopyData                 byte = 'd'
	serverCopyDone                 byte = 'c'
	serverCopyInResponse           byte = 'G'
	serverCopyOutResponse          byte = 'H'
	serverDataRow                  byte = 'D'
	serverEmptyQueryResponse       byte = 'I'
	serverErrorResponse            byte = 'E'
	serverNegotiateProtocolVersion byte = 'v'
	serverNoData                   byte = 'n'
	serverNoticeResponse           byte = 'N'
	serverNotificationResponse     byte = 'A'
	serverParameterDescription     byte = 't'
	serverParameterStatus          byte = 'S'
	serverParseComplete            byte = '1'
	serverPortalSuspended          byte = 's'
	serverReadyForQuery            byte = 'Z'
	serverRowDescription           byte = 'T'
)

// Startup messages have no type byte. The first field of their body is a protocol version or, with a major version that does not exist,
// the code of a request.
const (
	noType byte = 0

	protocolMajorVersion  = 3
	requestMajorVersion   = 1234
	cancelRequestMinor    = 5678
	sslRequestMinor       = 5679
	gssEncryptionMinor    = 5680
	cancelRequestBodySize = 12
)

var clientKinds = map[byte]Kind{
	clientBind:         ExtendedQuery,
	clientClose:        ExtendedQuery,
	clientDescribe:     ExtendedQuery,
	clientExecute:      ExtendedQuery,
	clientFlush:        ExtendedQuery,
	clientFunctionCall: FunctionCall,
	clientParse:        ExtendedQuery,
	clientQuery:        Query,
	clientSync:         Sync,
	clientTerminate:    Terminate,
}

// extendedClientKinds replace or extend clientKinds after EnableExtended.
var extendedClientKinds = map[byte]Kind{
	clientBind:     Bind,
	clientClose:    Close,
	clientCopyData: CopyData,
	clientCopyDone: CopyDone,
	clientCopyFail: CopyFail,
	clientDescribe: Describe,
	clientExecute:  Execute,
	clientFlush:    Flush,
	clientParse:    Parse,
}

// bodySizes are the smallest and largest body of a message, in bytes.
type bodySizes struct{ min, max uint64 }

const (
	maxTagBytes      = 1 << 7
	maxKeyDataBytes  = 260 // the length of a cancel key in protocol 3.2
	maxFieldsBytes   = 1 << 13
	maxExtendedBytes = 1 << 16
	maxColumnsBytes  = 1 << 20
	anySize          = 1 << 32 // only the reader's limit holds
)

var serverBodySizes = map[byte]bodySizes{
	serverAuthentication:           {4, 4},
	serverBackendKeyData:           {8, maxKeyDataBytes},
	serverCommandComplete:          {1, maxTagBytes},
	serverDataRow:                  {2, anySize},
	serverEmptyQueryResponse:       {0, 0},
	serverErrorResponse:            {1, maxFieldsBytes},
	serverNegotiateProtocolVersion: {8, maxFieldsBytes},
	serverNoticeResponse:           {1, maxFieldsBytes},
	serverParameterStatus:          {2, maxFieldsBytes},
	serverReadyForQuery:            {1, 1},
	serverRowDescription:           {2, maxFieldsBytes},
}

// extendedServerMessages replace or extend serverBodySizes after EnableExtended.
var extendedServerMessages = map[byte]struct {
	kind  Kind
	sizes bodySizes
}{
	serverBindComplete:         {BindComplete, bodySizes{0, 0}},
	serverCloseComplete:        {CloseComplete, bodySizes{0, 0}},
	serverCopyData:             {CopyData, bodySizes{0, anySize}},
	serverCopyDone:             {CopyDone, bodySizes{0, 0}},
	serverCopyInResponse:       {CopyInResponse, bodySizes{3, maxExtendedBytes}},
	serverCopyOutResponse:      {CopyOutResponse, bodySizes{3, maxExtendedBytes}},
	serverErrorResponse:        {ErrorResponse, bodySizes{1, maxExtendedBytes}},
	serverNoData:               {NoData, bodySizes{0, 0}},
	serverNoticeResponse:       {NoticeResponse, bodySizes{1, maxExtendedBytes}},
	serverNotificationResponse: {NotificationResponse, bodySizes{6, maxExtendedBytes}},
	serverParameterDescription: {ParameterDescription, bodySizes{2, maxColumnsBytes}},
	serverParseComplete:        {ParseComplete, bodySizes{0, 0}},
	serverPortalSuspended:      {PortalSuspended, bodySizes{0, 0}},
	serverRowDescription:       {RowDescription, bodySizes{2, maxColumnsBytes}},
}
