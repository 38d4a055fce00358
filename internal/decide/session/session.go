// Package session holds the client session state that transaction pooling preserves across server connections: the transaction status,
// the settings, the prepared statements and the position of the last commit. It decides which messages are answered without a member,
// which are sent to a member and in what form, and what the loss of a server connection means for the client.
//
// The frontend keeps a Session for each pooled client. It passes in each client message (Query, or Extended for each message up to a
// Sync or Flush), sends the returned messages to a member, and passes in each message from the member that goes to the client
// (ServerMessage). The backend applies the session's settings to server connections (SettingsStatements) and reports this
// (AttachConnection, SettingsApplied). A unit is a simple query, or the messages of extended queries up to a Sync.
//
// The package does no I/O, reads no clock and chooses no member. A Session is not safe for concurrent use.
package session

import iradix "github.com/hashicorp/go-immutable-radix/v2"

const (
	// MaxReplayBytes is the maximum number of response bytes that are buffered so that the request can still be retried on another
	// connection. A longer response is streamed to the client.
	MaxReplayBytes = 16 << 10
	// MaxPreparedPerConnection is the maximum number of prepared statements that a server connection keeps between requests.
	MaxPreparedPerConnection = 256
)

// Transaction statuses, as in ReadyForQuery.
const (
	StatusIdle          byte = 'I' // not in a transaction
	StatusInTransaction byte = 'T'
	StatusFailed        byte = 'E' // in a failed transaction: statements are rejected until it ends
)

// Policy defines how a pool treats its sessions.
type Policy struct {
	ReadClass        string // request class of unlabelled transactions that are declared read-only
	WriteClass       string // request class of all other unlabelled transactions; may be empty
	AllowSticky      bool   // a session may keep its connection for state that can't follow it to another connection
	AlwaysSticky     bool   // a session keeps its connection from its first statement on
	MaxSettingsBytes int    // maximum total size of a session's settings
	MaxStatements    int    // maximum number of prepared statements of a session
	SeededDefects    SeededDefects
}

// SeededDefects are defects that tests enable to show that checkers detect them. They are never enabled outside tests.
type SeededDefects struct {
	SkipSettings             bool // server connections do not get the session's settings
	KeepRolledBackSettings   bool // settings survive the rollback of their transaction
	ReuseAnyStatement        bool // a connection with any prepared statement is taken to have every statement prepared
	ForgetLastCommitPosition bool // reads need not see the session's last commit
}

// Session is the state of one client that is preserved across server connections.
type Session struct {
	// LastCommitPosition is the position of the client's last commit in ms, or 0 if there is none. The caller sets it.
	LastCommitPosition float64

	policy       Policy
	stickyReason string // why the session keeps its connection; "" if it does not

	startup          Settings // from the client's startup message
	current          settingsState
	transactionStart settingsState // restored when the transaction is rolled back
	savepoints       []savepoint   // of the current transaction

	prepared  *iradix.Tree[*PreparedStatement] // by the client's name for them, as requested by the client
	confirmed *iradix.Tree[*PreparedStatement] // the same, as confirmed by members
	portals   map[string]Command

	status        byte            // transaction status last sent to the client
	deferred      deferredBegin   // start of the transaction, if not yet sent to a member
	firstCommand  *Command        // first command of the transaction, by which the request is classified
	expected      []expectedReply // expected replies of the member, in order
	errorReceived bool            // an error has been received since the last ReadyForQuery
	statementRan  bool            // a statement other than those that control the session has been sent in this transaction
	effect        unitEffect      // what the commands of the current unit may make permanent
}

// New returns a session for a client with the given startup settings.
func New(policy Policy, startup Settings) *Session {
	none := iradix.New[*PreparedStatement]()
	initial := settingsState{client: startup, server: NoSettings}
	s := &Session{
		policy:           policy,
		startup:          startup,
		current:          initial,
		transactionStart: initial,
		prepared:         none,
		confirmed:        none,
		portals:          map[string]Command{},
		status:           StatusIdle,
	}
	s.resetSticky()
	return s
}

// SeededDefects returns the defects that a test has enabled.
func (s *Session) SeededDefects() SeededDefects { return s.policy.SeededDefects }

// TransactionStatus returns the transaction status as seen by the client.
func (s *Session) TransactionStatus() byte { return s.status }

// Sticky reports whether the session keeps its server connection between transactions.
func (s *Session) Sticky() bool { return s.stickyReason != "" }

func (s *Session) resetSticky() {
	s.stickyReason = ""
	if s.policy.AlwaysSticky {
		s.stickyReason = "its pool"
	}
}

// detached reports whether no server connection holds state of the session, so that the state can be changed without a member.
func (s *Session) detached() bool { return s.status == StatusIdle && !s.Sticky() }
