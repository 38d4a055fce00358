package frontend

import (
	"errors"
	"strconv"

	"wayloft/internal/eventloop"
	"wayloft/internal/pg"
)

const lostBeforeCommit = "the connection was lost before the commit: "

// Errors sent to clients in an ErrorResponse. The texts are part of the wire interface.
var (
	errOverBudget         = &pg.Error{Code: pg.TooManyConnections, Text: "too many statements at once"}
	errTooManySessions    = &pg.Error{Code: pg.TooManyConnections, Text: "too many connections"}
	errTooMuchPipelined   = &pg.Error{Code: pg.ProgramLimitExceeded, Text: "too much sent ahead"}
	errQueryTimeout       = &pg.Error{Code: pg.IdleSessionTimeout, Text: "a whole query took too long to come"}
	errShuttingDown       = &pg.Error{Code: pg.TooManyConnections, Text: "the router is going down"}
	errPooledShuttingDown = &pg.Error{Code: pg.AdminShutdown, Text: errShuttingDown.Text}
	errUnknownPool        = &pg.Error{Code: pg.InvalidCatalogName, Text: "no pool for this user and database"}
	errCancelled          = &pg.Error{Code: pg.QueryCanceled, Text: "canceling statement due to user request"}
	errSimpleQueriesOnly  = &pg.Error{Code: pg.FeatureNotSupported, Text: "simple queries only"}
	errEncryptionRequests = &pg.Error{Code: pg.ProtocolViolation, Text: "encryption was declined already"}
	errFunctionCall       = &pg.Error{Code: pg.FeatureNotSupported, Text: "function calls do not go through a router"}
	errMayHaveTakenEffect = &pg.Error{Code: pg.TransactionResolutionUnknown, Text: "rolled back, it may have taken effect"}
	errMayRunAgain        = &pg.Error{Code: pg.SerializationFailure, Text: lostBeforeCommit + "the transaction may run again"}
	errNothingTookEffect  = &pg.Error{Code: pg.ConnectionFailure, Text: lostBeforeCommit + "nothing took effect"}
)

// rejectedError returns the error for a rejected request. retryAfterMs is sent as the detail; 0 means that there is no retry-after.
func rejectedError(retryAfterMs float64) *pg.Error {
	e := &pg.Error{Code: pg.TooManyConnections, Text: "declined, a retry does no harm"}
	if retryAfterMs > 0 {
		e.Detail = strconv.Itoa(int(retryAfterMs))
	}
	return e
}

// arrivalError returns the error for a request that the event loop's driver did not accept.
func arrivalError(err error) *pg.Error {
	if errors.Is(err, eventloop.ErrDuplicateID) {
		return &pg.Error{Code: pg.DuplicateObject, Text: err.Error()}
	}
	return &pg.Error{Code: pg.InvalidParameterValue, Text: err.Error()}
}
