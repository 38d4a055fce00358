// Package session decides what follows a client from one server connection to the next in transaction pooling: its transaction status, its
// settings, its prepared statements and the position of its last commit. It decides which messages are answered without a member, which
// go to one and in what form, and what the loss of a connection means for the client.
//
// The frontend keeps a Session for each pooled client. It passes in each message of the client (Query; or Extended for each message up to a
// Sync or Flush), sends what it gets back to a member, and passes in each message of the member that the client receives (ServerMessage).
// The backend brings connections to the session's settings (SettingsStatements) and reports it (AttachConnection, SettingsApplied).
//
// The package never sends anything, reads no clock and chooses no member. A Session is not safe for concurrent use.
package session

import iradix "github.com/hashicorp/go-immutable-radix/v2"

const (
	// MaxReplayBytes is how many bytes of a response are kept back so that its request may still be retried on another connection. A
	// longer response is passed on as it comes.
	MaxReplayBytes = 16 << 10
	// MaxPreparedPerConnection is how many statements a connection keeps prepared between two requests.
	MaxPreparedPerConnection = 256
)

// Transaction statuses, as ReadyForQuery has them.
const (
	StatusIdle          byte = 'I' // outside a transaction
	StatusInTransaction byte = 'T'
	StatusFailed        byte = 'E' // in a transaction that has failed: only its end is accepted
)

// Policy is what a pool defines for its sessions.
type Policy struct {
	ReadClass        string // request class of transactions without a label that are declared read only
	WriteClass       string // request class of all others without a label; may be empty
	AllowSticky      bool   // a session may keep its connection for state that can't follow it
	AlwaysSticky     bool   // a session keeps its connection from its first statement on
	MaxSettingsBytes int    // of one session
	MaxStatements    int    // prepared statements of one session
	SeededDefects    SeededDefects
}

// SeededDefects are defects that tests switch on to show that checkers find them. The program never sets one.
type SeededDefects struct {
	SkipSettings             bool // a connection does not get the session's settings
	KeepRolledBackSettings   bool // settings outlive the rollback of their transaction
	ReuseAnyStatement        bool // any statement counts as prepared on a connection that has one
	ForgetLastCommitPosition bool // reads are not bound to the session's last commit
}

// Session is the state of one client that follows it from connection to connection.
type Session struct {
	// LastCommitPosition is the position of the client's last commit, in ms; 0: none. The caller sets it.
	LastCommitPosition float64

	policy       Policy
	stickyReason string // why it keeps its connection; "": it doesn't

	startup          Settings // the settings that the client started with
	current          settingsState
	transactionStart settingsState // what a transaction that fails goes back to
	savepoints       []savepoint   // of the transaction

	prepared  *iradix.Tree[*PreparedStatement] // by the client's name, as the client has asked for
	confirmed *iradix.Tree[*PreparedStatement] // the same, as members have confirmed
	portals   map[string]Command

	status        byte            // as the client received it last
	deferred      deferredBegin   // the begin of the transaction, while no member has received it
	firstCommand  *Command        // of the transaction: it says which member the request needs
	expected      []expectedReply // replies of the member, in order
	errorReceived bool            // an error has come since the last ReadyForQuery
	mayCommit     bool            // something on its way to the member may commit
}

// New returns the session of a client that starts with these settings.
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

// SeededDefects returns the defects that a test has switched on.
func (s *Session) SeededDefects() SeededDefects { return s.policy.SeededDefects }

// TransactionStatus returns the transaction status as the client knows it.
func (s *Session) TransactionStatus() byte { return s.status }

// Sticky reports whether the session keeps its connection between its transactions.
func (s *Session) Sticky() bool { return s.stickyReason != "" }

func (s *Session) resetSticky() {
	s.stickyReason = ""
	if s.policy.AlwaysSticky {
		s.stickyReason = "its pool"
	}
}

// detached reports whether no connection has state of the session: no member is needed to change it.
func (s *Session) detached() bool { return s.status == StatusIdle && !s.Sticky() }
