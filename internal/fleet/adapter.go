package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"

	"github.com/jackc/pgx/v5"
	"github.com/sirupsen/logrus"

	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/switchover"
)

// Adapter is how a switchover is carried out at the members: SQL statements of the settings.
type Adapter struct {
	User, Database    string
	PrimaryQuery      string  // returns one row, true at the member that accepts writes
	GuardStatement    string  // $1 is the fencing token and the step's rank; changes one row, none where the member has seen a higher one
	GuardQuery        string  // returns the guard row's number as one row; none where there is no guard row
	StepDownStatement string  // in the same transaction as GuardStatement
	PromoteStatement  string  // in the same transaction as GuardStatement
	StepTimeoutMs     float64 // for one step
}

// errNoGuardRow means that a member can't tell a former lease holder's step from the present one's.
var errNoGuardRow = errors.New("there is no guard row: without it nothing keeps a former lease holder's step from running late")

// connect connects to a member, without TLS and without a password.
func (a *Adapter) connect(ctx context.Context, address string) (*pgx.Conn, error) {
	config, err := pgx.ParseConfig("")
	if err != nil {
		return nil, err
	}
	host, portText, err := net.SplitHostPort(address)
	if err != nil {
		return nil, err
	}
	port, err := strconv.ParseUint(portText, 10, 16)
	if err != nil {
		return nil, err
	}
	config.Host, config.Port = host, uint16(port)
	config.User, config.Database, config.Password = a.User, a.Database, ""
	config.TLSConfig, config.Fallbacks = nil, nil
	config.DefaultQueryExecMode = pgx.QueryExecModeExec
	return pgx.ConnectConfig(ctx, config)
}

// closeMemberConn closes a connection to a member; nothing depends on whether that succeeds.
func closeMemberConn(conn *pgx.Conn) {
	if err := conn.Close(context.Background()); err != nil {
		logrus.WithError(err).Debug("connection to a member not closed")
	}
}

// rollBack ends a transaction that was not committed; closing the connection does so, too.
func rollBack(transaction pgx.Tx) {
	if err := transaction.Rollback(context.Background()); err != nil && !errors.Is(err, pgx.ErrTxClosed) {
		logrus.WithError(err).Debug("transaction at a member not rolled back")
	}
}

// isPrimary asks a member whether it accepts writes.
func (a *Adapter) isPrimary(ctx context.Context, address string) (bool, error) {
	conn, err := a.connect(ctx, address)
	if err != nil {
		return false, err
	}
	defer closeMemberConn(conn)
	var text string
	if err := conn.QueryRow(ctx, a.PrimaryQuery).Scan(&text); err != nil {
		return false, err
	}
	return text == "t" || text == "true" || text == "on", nil
}

// runStep has a member take a step under a fencing token.
func (a *Adapter) runStep(ctx context.Context, address string, step switchover.MemberStep, token lease.Token,
	rank uint64) (switchover.Outcome, error) {
	conn, err := a.connect(ctx, address)
	if err != nil {
		return switchover.Unknown, err // an earlier attempt may be in flight, so it isn't said that nothing has happened
	}
	defer closeMemberConn(conn)
	transaction, err := conn.Begin(ctx)
	if err != nil {
		return switchover.Unknown, err
	}
	defer rollBack(transaction)
	if outcome, err := a.raiseGuard(ctx, transaction, int64(token.Number()<<switchover.RankBits|rank)); err != nil {
		return outcome, err
	}
	if statement := a.statement(step); statement != "" {
		if _, err := transaction.Exec(ctx, statement); err != nil {
			return switchover.Failed, fmt.Errorf("%s: %w", step, err)
		}
	}
	if err := transaction.Commit(ctx); err != nil {
		return switchover.Unknown, err
	}
	return switchover.Succeeded, nil
}

// statement returns what a step executes at a member beside the guard statement; empty: nothing.
func (a *Adapter) statement(step switchover.MemberStep) string {
	switch step {
	case switchover.StepDown:
		return a.StepDownStatement
	case switchover.Promote:
		return a.PromoteStatement
	}
	return ""
}

// raiseGuard raises the guard row's number. An error comes with the step's outcome.
func (a *Adapter) raiseGuard(ctx context.Context, transaction pgx.Tx, number int64) (switchover.Outcome, error) {
	tag, err := transaction.Exec(ctx, a.GuardStatement, number)
	if err != nil {
		return switchover.Failed, fmt.Errorf("guard row: %w", err)
	}
	if tag.RowsAffected() > 0 {
		return switchover.Succeeded, nil
	}
	var seen string
	err = transaction.QueryRow(ctx, a.GuardQuery).Scan(&seen)
	switch {
	case errors.Is(err, pgx.ErrNoRows):
		return switchover.Failed, errNoGuardRow
	case err != nil:
		return switchover.Failed, fmt.Errorf("guard row: %w", err)
	}
	return switchover.Fenced, fmt.Errorf("the member has seen the fencing token %s", seen)
}

// findPrimary asks the members of a group which one accepts writes. More than one, or none, is an error.
func (a *Adapter) findPrimary(ctx context.Context, members []Member) (string, error) {
	if len(members) == 0 {
		return "", errors.New("the group has no members")
	}
	ctx, cancel := context.WithTimeout(ctx, milliseconds(a.StepTimeoutMs))
	defer cancel()
	found := ""
	var failures error
	for _, member := range members {
		primary, err := a.isPrimary(ctx, member.Addr)
		switch {
		case err != nil:
			failures = errors.Join(failures, fmt.Errorf("%s: %w", member.ID, err))
		case primary && found != "":
			return "", fmt.Errorf("%s and %s both take writes", found, member.ID)
		case primary:
			found = member.ID
		}
	}
	if found == "" {
		return "", errors.Join(errors.New("no member takes writes"), failures)
	}
	return found, nil
}
