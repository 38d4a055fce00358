package pg

// SQLSTATE codes, named after the condition names in PostgreSQL's documentation.
const (
	AdminShutdown                   = "57P01"
	CannotConnectNow                = "57P03"
	ConnectionFailure               = "08006"
	DuplicateObject                 = "42710"
	DuplicatePreparedStatement      = "42P05"
	FeatureNotSupported             = "0A000"
	IdleInTransactionSessionTimeout = "25P03"
	IdleSessionTimeout              = "57P05"
	InFailedSQLTransaction          = "25P02" // the transaction has failed and can only be ended
	InvalidCatalogName              = "3D000" // unknown database
	InvalidCursorName               = "34000"
	InvalidParameterValue           = "22023"
	InvalidSQLStatementName         = "26000" // unknown prepared statement
	ProgramLimitExceeded            = "54000"
	ProtocolViolation               = "08P01"
	QueryCanceled                   = "57014"
	ReadOnlySQLTransaction          = "25006" // for example a write on a replica
	SerializationFailure            = "40001" // the transaction had no effect and can be retried
	SnapshotTooOld                  = "72000"
	TooManyConnections              = "53300"
	TransactionResolutionUnknown    = "08007" // the transaction may have taken effect
)

// SQLSTATE classes (the first two characters of a code) of errors that are caused by the statement.
const (
	classFeatureNotSupported          = "0A"
	classCardinalityViolation         = "21"
	classDataException                = "22"
	classIntegrityConstraintViolation = "23"
	classSyntaxErrorOrAccessRule      = "42"
	classProgramLimitExceeded         = "54"
)

const sqlStateLength = 5
