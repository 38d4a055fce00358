package pg

// Type bytes of client messages.
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

// Type bytes of server messages.
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

// Startup messages have no type byte. The first field of their body is a protocol version or a request code, which uses a major version
// that does not exist.
const (
	noMessageType byte = 0

	protocolMajorVersion   = 3
	requestCodeMajor       = 1234
	cancelRequestCodeMinor = 5678
	sslRequestCodeMinor    = 5679
	gssEncryptionCodeMinor = 5680
	cancelRequestBodySize  = 12
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

// extendedClientKinds takes precedence over clientKinds after EnableExtended.
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

// bodySizeRange is the minimum and maximum size of a message body, in bytes.
type bodySizeRange struct{ min, max uint64 }

const (
	maxCommandTagBytes    = 1 << 7
	maxCancelKeyDataBytes = 260 // maximum in protocol 3.2
	maxSimpleBodyBytes    = 1 << 13
	maxExtendedBodyBytes  = 1 << 16
	maxColumnListBytes    = 1 << 20
	unboundedBodyBytes    = 1 << 32 // limited only by Reader.maxMessageBytes
)

var serverBodySizeRanges = map[byte]bodySizeRange{
	serverAuthentication:           {4, 4},
	serverBackendKeyData:           {8, maxCancelKeyDataBytes},
	serverCommandComplete:          {1, maxCommandTagBytes},
	serverDataRow:                  {2, unboundedBodyBytes},
	serverEmptyQueryResponse:       {0, 0},
	serverErrorResponse:            {1, maxSimpleBodyBytes},
	serverNegotiateProtocolVersion: {8, maxSimpleBodyBytes},
	serverNoticeResponse:           {1, maxSimpleBodyBytes},
	serverParameterStatus:          {2, maxSimpleBodyBytes},
	serverReadyForQuery:            {1, 1},
	serverRowDescription:           {2, maxSimpleBodyBytes},
}

// extendedServerMessages takes precedence over serverBodySizeRanges after EnableExtended.
var extendedServerMessages = map[byte]struct {
	kind  Kind
	sizes bodySizeRange
}{
	serverBindComplete:         {BindComplete, bodySizeRange{0, 0}},
	serverCloseComplete:        {CloseComplete, bodySizeRange{0, 0}},
	serverCopyData:             {CopyData, bodySizeRange{0, unboundedBodyBytes}},
	serverCopyDone:             {CopyDone, bodySizeRange{0, 0}},
	serverCopyInResponse:       {CopyInResponse, bodySizeRange{3, maxExtendedBodyBytes}},
	serverCopyOutResponse:      {CopyOutResponse, bodySizeRange{3, maxExtendedBodyBytes}},
	serverErrorResponse:        {ErrorResponse, bodySizeRange{1, maxExtendedBodyBytes}},
	serverNoData:               {NoData, bodySizeRange{0, 0}},
	serverNoticeResponse:       {NoticeResponse, bodySizeRange{1, maxExtendedBodyBytes}},
	serverNotificationResponse: {NotificationResponse, bodySizeRange{6, maxExtendedBodyBytes}},
	serverParameterDescription: {ParameterDescription, bodySizeRange{2, maxColumnListBytes}},
	serverParseComplete:        {ParseComplete, bodySizeRange{0, 0}},
	serverPortalSuspended:      {PortalSuspended, bodySizeRange{0, 0}},
	serverRowDescription:       {RowDescription, bodySizeRange{2, maxColumnListBytes}},
}
