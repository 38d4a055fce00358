package session

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"wayloft/internal/fakes/scenario"
	"wayloft/internal/pg"
)

// TestScenarios runs the scenarios in testdata/*.txt. A scenario has one step per line; # starts a comment.
//
//	policy read=CLASS write=CLASS allow-sticky always-sticky
//	start NAME=VALUE ...            sets the client's startup settings
//	has-connection yes|no           sets whether the transaction has a server connection
//	query SQL                       the client sends a simple query
//	parse NAME SQL, bind NAME, execute, close NAME, sync, flush
//	                                the client sends an extended query message; - is the unnamed statement
//	failed-transaction              the unit is answered in a transaction whose connection has been lost
//	reply MESSAGES                  checks the local reply to the client
//	send ACTIONS                    checks the messages for the member
//	server complete TAG, server parse-complete, server close-complete, server error, server ready STATUS
//	                                the member sends a reply
//	attach NAME=VALUE ...           the session continues on a connection with these settings
//	apply-settings SQL; SQL         checks the statements that apply the session's settings, and records them as applied
//	connection-lost, never-sent     the connection has ended, or the request got none
//	may-have-committed yes|no       checks whether the lost transaction may have committed
//	settings NAME=VALUE ...         checks the session's settings
//	request CLASS of ID for TENANT  checks the request attributes; none means unclassified
//	status I|T|E, sticky REASON     checks the transaction status, and why the session keeps its connection
func TestScenarios(t *testing.T) {
	scenario.Run(t, func() func(string) error {
		p := &scenarioPlayer{policy: Policy{MaxSettingsBytes: 200, MaxStatements: 3}}
		return p.step
	})
}

// scenarioPlayer runs the steps of one scenario.
type scenarioPlayer struct {
	policy  Policy
	session *Session // created by start, or by the first step after the setup

	hasConn          bool
	reply            string    // local reply to the client
	unit             []Message // messages for the member
	mayHaveCommitted bool
}

var errUnknownStep = errors.New("unknown step")

func (p *scenarioPlayer) step(line string) error {
	word, rest, _ := strings.Cut(line, " ")
	if p.setUp(word, rest) {
		return nil
	}
	if p.session == nil {
		p.session = New(p.policy, NoSettings)
	}
	if p.clientSends(word, rest) || p.connectionChanges(word, rest) {
		return nil
	}
	if word == "server" {
		return p.serverSends(rest)
	}
	return p.check(word, rest)
}

// setUp runs a setup step. It reports false for other steps.
func (p *scenarioPlayer) setUp(word, rest string) bool {
	switch word {
	case "policy":
		p.setPolicy(rest)
	case "start":
		p.session = New(p.policy, settingsOf(rest))
	case "has-connection":
		p.hasConn = rest == "yes"
	default:
		return false
	}
	return true
}

func (p *scenarioPlayer) setPolicy(words string) {
	for _, pair := range pairsOf(words) {
		switch pair.Name {
		case "read":
			p.policy.ReadClass = pair.Value
		case "write":
			p.policy.WriteClass = pair.Value
		case "allow-sticky":
			p.policy.AllowSticky = true
		case "always-sticky":
			p.policy.AlwaysSticky = true
		}
	}
}

// clientSends runs a step in which the client sends a message. It reports false for other steps.
func (p *scenarioPlayer) clientSends(word, rest string) bool {
	const unnamed = "-"
	switch word {
	case "query":
		answer, messages := p.session.Query(rest, pg.AppendQuery(nil, rest), p.hasConn)
		p.reply, p.unit = describeReply(answer), messages
	case "parse":
		name, sql, _ := strings.Cut(rest, " ")
		p.extended(pg.AppendParse(nil, strings.Trim(name, unnamed), []byte(sql+"\x00\x00\x00")))
	case "bind":
		p.extended(pg.AppendBind(nil, "", strings.Trim(rest, unnamed), []byte{0, 0, 0, 0, 0, 0}))
	case "execute":
		p.extended(pg.AppendExecute(nil, ""))
	case "close":
		p.extended(pg.AppendClose(nil, 'S', rest))
	case "sync":
		p.extended(pg.AppendSync(nil))
		p.unit = append(p.session.FlushDeferredBegin(), p.unit...)
	case "flush":
		p.extended(pg.AppendEmptyMessage(nil, 'H'))
	case "failed-transaction":
		reply := p.session.ReplyInLostTransaction(p.unit)
		p.reply, p.unit = describeReply(reply.Answer), reply.Messages
	default:
		return false
	}
	return true
}

func (p *scenarioPlayer) extended(encoded []byte) {
	p.unit = append(p.unit, p.session.Extended(clientMessage(encoded))...)
}

// clientMessage decodes a client message.
func clientMessage(encoded []byte) pg.Message {
	reader := pg.NewReader(false, 1<<16)
	reader.Feed(pg.AppendStartup(nil, "a", "b"))
	if _, _, err := reader.Next(); err != nil {
		panic(err)
	}
	reader.EnableExtended()
	reader.Feed(encoded)
	m, complete, err := reader.Next()
	if !complete || err != nil {
		panic(fmt.Sprintf("no message in %q: %v", encoded, err))
	}
	return m
}

// connectionChanges runs a step in which the session gets or loses a connection. It reports false for other steps.
func (p *scenarioPlayer) connectionChanges(word, rest string) bool {
	switch word {
	case "attach":
		p.session.AttachConnection(settingsOf(rest))
	case "connection-lost":
		p.mayHaveCommitted = p.session.ConnectionLost(true)
	case "never-sent":
		p.mayHaveCommitted = p.session.ConnectionLost(false)
	default:
		return false
	}
	return true
}

// serverSends runs a step in which the member sends a reply.
func (p *scenarioPlayer) serverSends(step string) error {
	kind, rest, _ := strings.Cut(step, " ")
	m := pg.Message{Text: rest}
	switch kind {
	case "complete":
		m.Kind = pg.CommandComplete
	case "parse-complete":
		m.Kind = pg.ParseComplete
	case "close-complete":
		m.Kind = pg.CloseComplete
	case "error":
		m.Kind = pg.ErrorResponse
	case "ready":
		m.Kind, m.Status = pg.ReadyForQuery, rest[0]
	default:
		return errUnknownStep
	}
	p.session.ServerMessage(&m)
	return nil
}

// check runs a step that compares a result with the expected one.
func (p *scenarioPlayer) check(word, want string) error {
	var got string
	switch word {
	case "reply":
		got = p.reply
	case "send":
		got, p.unit = describeMessages(p.unit), nil
	case "apply-settings":
		got = strings.Join(p.session.SettingsStatements(), "; ")
		p.session.SettingsApplied(true)
	case "may-have-committed":
		got = map[bool]string{true: "yes", false: "no"}[p.mayHaveCommitted]
	case "settings":
		got = describeSettings(p.session.Settings())
	case "request":
		got = describeAttributes(p.session.RequestAttributes())
	case "status":
		got = string(p.session.TransactionStatus())
	case "sticky":
		got = p.session.stickyReason
	default:
		return errUnknownStep
	}
	if got != want {
		return fmt.Errorf("got %q", got)
	}
	return nil
}

// pairsOf parses words of the form NAME=VALUE.
func pairsOf(words string) (pairs []pg.Setting) {
	for _, word := range strings.Fields(words) {
		name, value, _ := strings.Cut(word, "=")
		pairs = append(pairs, pg.Setting{Name: name, Value: value})
	}
	return pairs
}

func settingsOf(words string) Settings { return NoSettings.with(NoSettings, pairsOf(words)...) }

// describeReply describes each message to a client in one word.
func describeReply(encoded []byte) string {
	reader := pg.NewReader(true, 1<<16)
	reader.EnableExtended()
	reader.Feed(encoded)
	var words []string
	for {
		m, complete, err := reader.Next()
		switch {
		case err != nil || !complete:
			return strings.Join(words, " ")
		case m.Kind == pg.CommandComplete:
			words = append(words, m.Text)
		case m.Kind == pg.ErrorResponse:
			words = append(words, m.Error.Code)
		case m.Kind == pg.ReadyForQuery:
			words = append(words, string(m.Status))
		case m.Kind == pg.DataRow:
			words = append(words, "row:"+string(m.FirstColumn))
		case m.Kind == pg.EmptyQuery:
			words = append(words, "empty")
		}
	}
}

var actionNames = map[Action]string{
	Forward:             "forward",
	Prepare:             "prepare",
	Bind:                "bind",
	DescribeStatement:   "describe-statement",
	AnswerLocally:       "answer-locally",
	Reject:              "reject",
	ForwardDiscardReply: "forward-discard-reply",
}

// describeMessages lists the actions of messages for a member, with the text of a query that is the router's own or was cut.
func describeMessages(messages []Message) string {
	var words []string
	for n, message := range messages {
		word := actionNames[message.Action]
		if message.Error != nil {
			word += ":" + message.Error.Code
		}
		restOfQuery := n > 0 && messages[n-1].Action == AnswerLocally && message.Kind == pg.Query
		if message.Action == ForwardDiscardReply || restOfQuery {
			word += ":" + queryText(message)
		}
		words = append(words, word)
	}
	return strings.Join(words, ", ")
}

// queryText returns the SQL text of a simple query message.
func queryText(message Message) string {
	const header = 5 // message type and length
	return strings.TrimRight(string(message.Raw[header:]), "\x00")
}

func describeSettings(s Settings) string {
	var words []string
	s.tree.Root().Walk(func(name []byte, value string) bool {
		words = append(words, string(name)+"="+value)
		return false
	})
	return strings.Join(words, " ")
}

func describeAttributes(attributes RequestAttributes) string {
	text := attributes.RequestClass
	if attributes.Label != nil {
		text += " of " + attributes.Label.ID
	}
	if attributes.Tenant != "" {
		text += " for " + attributes.Tenant
	}
	if attributes.Unclassified {
		text += "none"
	}
	return text
}
