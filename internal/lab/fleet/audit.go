package fleet

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
)

// maxAuditLine is the longest line of an audit log that is read, in bytes.
const maxAuditLine = 1 << 20

// Fields of audit log lines, as the program writes them.
const (
	eventField   = "what"
	timeField    = "at" // ms
	pidField     = "pid"
	leaseField   = "duty"
	tokenField   = "fence"
	subjectField = "about"
	holderField  = "holder"
	sessionField = "session"
	endedField   = "ended"
	termField    = "term"
	leaderField  = "leader"
	versionField = "version"
	hashField    = "hash"
	rejectField  = "wont"
)

// Events of audit log lines, as the program writes them.
const (
	holderStarted   = "start"   // a lease holder begins to act
	holderStopped   = "stop"    // and ends
	actAccepted     = "taken"   // by a receiver
	actStale        = "late"    // refused by a receiver for its fencing token
	leaseGranted    = "duty"    // by the coordinator, or its lease has ended
	leaderElected   = "leads"   // of the coordinator
	nodeRefused     = "refused" // a coordinator node that others don't listen to
	policyInForce   = "policy"  // in the coordinator
	policyTaken     = "takes"   // a router has taken a version
	policyApplied   = "goes by" // a router says which version it applies, and which it can't
	noPolicyVersion = "none"
	noToken         = "0.0"
)

// AuditEvent is a line of a process's audit log, by fields.
type AuditEvent map[string]any

// Text gives a field as text; empty: there is none.
func (e AuditEvent) Text(key string) string {
	switch value := e[key].(type) {
	case nil:
		return ""
	case string:
		return value
	default:
		return fmt.Sprint(value)
	}
}

func (e AuditEvent) event() string { return e.Text(eventField) }

// time gives when the line was written, in ms.
func (e AuditEvent) time() float64 { return e.number(timeField) }

func (e AuditEvent) pid() int { return int(e.number(pidField)) }

// number gives a field's number; 0: there is none.
func (e AuditEvent) number(key string) float64 {
	number, ok := e[key].(float64)
	if !ok {
		return 0
	}
	return number
}

// matches tells whether each of these fields contains its text.
func (e AuditEvent) matches(fields map[string]string) bool {
	for key, text := range fields {
		if !strings.Contains(e.Text(key), text) {
			return false
		}
	}
	return true
}

// AuditEvents reads the whole lines that a process's audit log has by now.
func (f *Fleet) AuditEvents(name string) ([]AuditEvent, error) {
	text, err := os.ReadFile(f.auditLogPath(f.processes[name]))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	whole := text[:bytes.LastIndexByte(text, '\n')+1]
	lines := bufio.NewScanner(bytes.NewReader(whole))
	lines.Buffer(nil, maxAuditLine)
	var events []AuditEvent
	for lines.Scan() {
		var event AuditEvent
		if err := json.Unmarshal(lines.Bytes(), &event); err != nil {
			return nil, fmt.Errorf("audit log of %s: %w", name, err)
		}
		events = append(events, event)
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("audit log of %s: %w", name, err)
	}
	return events, nil
}

// CountEvents counts the events of this name in a process's audit log whose fields contain these texts, and gives the last of them.
func (f *Fleet) CountEvents(name, event string, fields map[string]string) (count int, last AuditEvent, err error) {
	events, err := f.AuditEvents(name)
	for _, e := range events {
		if e.event() == event && e.matches(fields) {
			count++
			last = e
		}
	}
	return count, last, err
}

// countRouterEvents counts the events of this name in all routers' audit logs.
func (f *Fleet) countRouterEvents(event string) (total int, err error) {
	for _, router := range f.ofKind(routerKind) {
		count, _, err := f.CountEvents(router.Name, event, nil)
		if err != nil {
			return 0, err
		}
		total += count
	}
	return total, nil
}

// LeaseHolder gives the router that acts for a lease by the audit logs, and its fencing token: the one with the highest token that has started
// and not stopped. The name is empty where none does.
func (f *Fleet) LeaseHolder(lease string) (name, token string, err error) {
	var highest Token
	for _, router := range f.ofKind(routerKind) {
		events, err := f.AuditEvents(router.Name)
		if err != nil {
			return "", "", err
		}
		for _, e := range events {
			started, stopped := e.event() == holderStarted, e.event() == holderStopped
			if e.Text(leaseField) != lease || !started && !stopped {
				continue
			}
			at := ParseToken(e.Text(tokenField))
			if at.compare(highest) < 0 {
				continue
			}
			highest, token, name = at, e.Text(tokenField), ""
			if started {
				name = router.Name
			}
		}
	}
	return name, token, nil
}

// coordinatorLeader gives the leader of the latest term by the coordinator nodes' audit logs; empty: there was none.
func (f *Fleet) coordinatorLeader() (name string, err error) {
	latest := 0.0
	for _, node := range f.ofKind(coordinatorKind) {
		events, err := f.AuditEvents(node.Name)
		if err != nil {
			return "", err
		}
		for _, e := range events {
			if term := e.number(termField); e.event() == leaderElected && e.Text(leaderField) != "" && term > latest {
				name, latest = e.Text(leaderField), term
			}
		}
	}
	return name, nil
}

// Token is a fencing token: epoch and count.
type Token [2]uint64

// ParseToken reads a fencing token as audit logs have it. The token of a text that is none is zero, or has a count of zero.
func ParseToken(text string) (token Token) {
	epoch, count, _ := strings.Cut(text, ".")
	for n, part := range []string{epoch, count} {
		number, err := strconv.ParseUint(part, 10, 64)
		if err != nil {
			return token
		}
		token[n] = number
	}
	return token
}

func (t Token) compare(other Token) int { return slices.Compare(t[:], other[:]) }
