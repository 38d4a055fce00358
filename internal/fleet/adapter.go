package fleet

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"strconv"
	"strings"
	"sync"

	"github.com/jackc/pgx/v5"
	"github.com/sirupsen/logrus"

	"wayloft/internal/decide/lease"
	"wayloft/internal/decide/switchover"
)

// Adapter executes switchover steps at the members with the SQL statements from the settings.
type Adapter struct {
	User, Database    string
	PrimaryQuery      string  // returns one row, which is true if the member accepts writes
	GuardStatement    string  // $1 combines fencing token and step rank; updates one row, or none if the member has seen a higher number
	GuardQuery        string  // returns the number in the guard row, or no row if there is no guard row
	StepDownStatement string  // runs in the same transaction as GuardStatement
	PromoteStatement  string  // runs in the same transaction as GuardStatement
	StepTimeoutMs     float64 // per step
}

// idleInTransactionTimeout is PostgreSQL's setting, in ms, after which a server ends a session whose transaction waits for its client.
const idleInTransactionTimeout = "idle_in_transaction_session_timeout"

// errNoGuardRow is returned if a member has no guard row. Such a member can't reject a late step of a former lease holder.
var errNoGuardRow = errors.New("there is no guard row: without it nothing keeps a former lease holder's step from running late")

// connect opens a connection to a member without TLS or a password.
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
	// Guards against a step that a member commits long after it was sent: one that hung while the transaction was open ends it.
	config.RuntimeParams[idleInTransactionTimeout] = strconv.FormatFloat(math.Ceil(a.StepTimeoutMs), 'f', 0, 64)
	return pgx.ConnectConfig(ctx, config)
}

// closeMemberConn closes a connection to a member. A failure is only logged, because nothing depends on it.
func closeMemberConn(conn *pgx.Conn) {
	if err := conn.Close(context.Background()); err != nil {
		logrus.WithError(err).Debug("failed to close connection to member")
	}
}

// rollBack rolls back a transaction unless it was committed. A failure is only logged: closing the connection also rolls back.
func rollBack(transaction pgx.Tx) {
	if err := transaction.Rollback(context.Background()); err != nil && !errors.Is(err, pgx.ErrTxClosed) {
		logrus.WithError(err).Debug("failed to roll back transaction at member")
	}
}

// isPrimary queries whether a member accepts writes.
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

// runStep executes a switchover step at a member under a fencing token. The guard row is raised in the same transaction, so that a late
// step of a former lease holder has no effect. A promotion commits only once all others, the other members of the group, have answered that
// they accept no writes: the cluster may have replaced the primary by itself.
func (a *Adapter) runStep(ctx context.Context, address string, others []Member, d switchover.Decision,
	token lease.Token) (switchover.Outcome, error) {
	conn, err := a.connect(ctx, address)
	if err != nil {
		return switchover.Unknown, err // not Failed: an earlier attempt may still be in flight
	}
	defer closeMemberConn(conn)
	transaction, err := conn.Begin(ctx)
	if err != nil {
		return switchover.Unknown, err
	}
	defer rollBack(transaction)
	if outcome, err := a.raiseGuard(ctx, transaction, int64(token.Number()<<switchover.RankBits|d.Rank)); err != nil {
		return outcome, err
	}
	if statement := a.statement(d.Step); statement != "" {
		if _, err := transaction.Exec(ctx, statement); err != nil {
			return switchover.Failed, fmt.Errorf("%s: %w", d.Step, err)
		}
	}
	if d.Step == switchover.Promote {
		if outcome, err := a.confirmNoPrimary(ctx, others); err != nil {
			return outcome, err
		}
	}
	if err := transaction.Commit(ctx); err != nil {
		return switchover.Unknown, err
	}
	return switchover.Succeeded, nil
}

// confirmNoPrimary queries whether any of these members accepts writes. If it returns an error, the outcome is that of a promotion that is
// not committed.
func (a *Adapter) confirmNoPrimary(ctx context.Context, members []Member) (switchover.Outcome, error) {
	primaries, failures := a.queryPrimaries(ctx, members)
	switch {
	case len(primaries) > 0:
		return switchover.Superseded, fmt.Errorf("%s takes writes", strings.Join(primaries, ", "))
	case failures != nil:
		return switchover.Unknown, fmt.Errorf("waiting for an answer of all other members: %w", failures)
	}
	return switchover.Succeeded, nil
}

// queryPrimaries queries all members at the same time. It returns the IDs of those that accept writes, and an error that names those that did
// not answer.
func (a *Adapter) queryPrimaries(ctx context.Context, members []Member) (primaries []string, failures error) {
	accepts, errs := make([]bool, len(members)), make([]error, len(members))
	var queries sync.WaitGroup
	for n, member := range members {
		queries.Go(func() { accepts[n], errs[n] = a.isPrimary(ctx, member.Addr) })
	}
	queries.Wait()
	for n, member := range members {
		switch {
		case errs[n] != nil:
			failures = errors.Join(failures, fmt.Errorf("%s: %w", member.ID, errs[n]))
		case accepts[n]:
			primaries = append(primaries, member.ID)
		}
	}
	return primaries, failures
}

// statement returns the SQL that a step executes in addition to the guard statement, or "" if there is none.
func (a *Adapter) statement(step switchover.MemberStep) string {
	switch step {
	case switchover.StepDown:
		return a.StepDownStatement
	case switchover.Promote:
		return a.PromoteStatement
	}
	return ""
}

// raiseGuard raises the number in the guard row. If it returns an error, the outcome is that of the step.
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

// findPrimary queries all members of a group and returns the one that accepts writes. It returns an error if there is none or more than
// one, or if a member does not answer: no promotion could be made without it.
func (a *Adapter) findPrimary(ctx context.Context, members []Member) (string, error) {
	if len(members) == 0 {
		return "", errors.New("the group has no members")
	}
	ctx, cancel := context.WithTimeout(ctx, milliseconds(a.StepTimeoutMs))
	defer cancel()
	primaries, failures := a.queryPrimaries(ctx, members)
	switch {
	case len(primaries) > 1:
		return "", fmt.Errorf("%s both take writes", strings.Join(primaries, " and "))
	case len(primaries) == 0:
		return "", errors.Join(errors.New("no member takes writes"), failures)
	}
	return primaries[0], failures
}
