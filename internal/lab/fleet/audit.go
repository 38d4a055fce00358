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

// maxAuditLineBytes limits the length of an audit log line.
const maxAuditLineBytes = 1 << 20

// Field names in the program's audit log.
const (
	eventField    = "what"
	timeField     = "at" // ms
	pidField      = "pid"
	leaseField    = "duty"
	tokenField    = "fence"
	subjectField  = "about"
	holderField   = "holder"
	sessionField  = "session"
	endedField    = "ended"
	termField     = "term"
	leaderField   = "leader"
	versionField  = "version"
	hashField     = "hash"
	rejectedField = "wont"
)

// Event names in the program's audit log.
const (
	holderStarted   = "start"   // a router starts acting as lease holder
	holderStopped   = "stop"    // a router stops acting as lease holder
	actAccepted     = "taken"   // a receiver accepted an act
	actStale        = "late"    // a receiver rejected an act because of its fencing token
	leaseGranted    = "duty"    // the coordinator granted a lease, or a lease ended
	leaderElected   = "leads"   // a coordinator node became leader
	nodeRefused     = "refused" // a peer refuses this coordinator node
	policyInForce   = "policy"  // a version came into force at the coordinator
	policyApplied   = "takes"   // a router applied a version
	policyReported  = "goes by" // a router reported the version that it applied and the one that it rejected
	noPolicyVersion = "none"
	zeroToken       = "0.0"
)

// AuditEvent is one line of a process's audit log: its values by field name.
type AuditEvent map[string]any

// Text returns a field as text, or "" if the field is missing.
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

// timeMs returns the time at which the line was written, in Unix milliseconds.
func (e AuditEvent) timeMs() float64 { return e.number(timeField) }

func (e AuditEvent) pid() int { return int(e.number(pidField)) }

// number returns a numeric field, or 0 if it is missing or not a number.
func (e AuditEvent) number(key string) float64 {
	number, ok := e[key].(float64)
	if !ok {
		return 0
	}
	return number
}

// matches reports whether each of the given fields contains the given text.
func (e AuditEvent) matches(fields map[string]string) bool {
	for key, text := range fields {
		if !strings.Contains(e.Text(key), text) {
			return false
		}
	}
	return true
}

// AuditEvents reads the complete lines of a process's audit log. A line that is still being written is left out.
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
	lines.Buffer(nil, maxAuditLineBytes)
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

// CountEvents counts the events of this name in a process's audit log whose fields contain the given texts, and returns the last of them.
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

// countRouterEvents counts the events of this name in the audit logs of all routers.
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

// LeaseHolder returns the router that acts for a lease according to the audit logs, and its fencing token: the one that started under the
// highest token and has not stopped since. The name is empty if no router acts.
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

// coordinatorLeader returns the leader of the latest term according to the coordinator nodes' audit logs, or "" if there was none.
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

// Token is a fencing token: an epoch and a count within it.
type Token [2]uint64

// ParseToken parses a fencing token in the form EPOCH.COUNT. A part that is not a number is zero, and so is the part after it.
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
