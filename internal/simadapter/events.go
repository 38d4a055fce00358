package simadapter

import (
	"fmt"

	"github.com/valyala/fastjson"

	"wayloft/internal/settings"
	"wayloft/router"
)

// A mark on the wire combines a position with a role, which occupies the lowest bits.
const (
	roleBits = 2
	roleMask = 1<<roleBits - 1
)

// instanceEventHandlers maps the names of events on the wire to the handlers of events that address an instance.
var instanceEventHandlers = map[string]func(*adapter, *instance, *settings.Fields) error{
	"HALT":             (*adapter).instanceStopped,
	"BACKENDS_CHANGED": (*adapter).applyMemberList,
	"JOB_IN":           (*adapter).requestArrived,
	"RETURNED":         (*adapter).attemptEnded,
	"ECHO":             (*adapter).healthChecked,
	"CLIENT_GONE":      (*adapter).clientGone,
	"TIMEOUT_FIRED":    (*adapter).timerFired,
	"FIRST_BYTE":       (*adapter).ignoreEvent,
	"WHISPER":          (*adapter).ignoreEvent,
}

// outcomes maps outcome codes on the wire to outcomes of attempts and health checks.
var outcomes = map[int]router.Outcome{
	200: router.Succeeded,
	404: router.Misrouted,
	410: router.NotSent,
	499: router.Canceled,
	500: router.ServerError,
	502: router.ConnectFailed,
	503: router.Overloaded,
	504: router.TimedOut,
	598: router.Reset,
}

func (a *adapter) instanceStopped(i *instance, fields *settings.Fields) error {
	delete(a.instances, i.name)
	return fields.Err
}

func (a *adapter) requestArrived(i *instance, fields *settings.Fields) error {
	id, tenant, session, class := fields.Text("call"), fields.OptionalText("userGroup"), fields.OptionalText("clientKey"), fields.Text("class")
	group, positionAge, ttl := int(fields.Number("groupNo")), fields.OptionalNumber("tokenAgeMs"), fields.Number("ttl")/microsecondsPerMs
	isRetry := fields.Bool("retry")
	if fields.Err == nil && !i.router.RequestArrived(id, tenant, session, class, group, positionAge, ttl, isRetry) {
		return fmt.Errorf("class: unknown request class %q", class)
	}
	return fields.Err
}

func (a *adapter) attemptEnded(i *instance, fields *settings.Fields) error {
	outcome := decodeOutcome(fields)
	role, position := router.RoleUnknown, router.Never
	if encodedMark := int64(fields.OptionalNumber("mark")); encodedMark != 0 {
		role = router.Role(encodedMark & roleMask)
		if encodedMark>>roleBits != 0 {
			position = i.positionOrigin + float64(encodedMark>>roleBits)
		}
	}
	id, attempt, member := fields.Text("call"), int(fields.OptionalNumber("seqNo")), fields.Text("node")
	latency := fields.OptionalNumber("rtt") / microsecondsPerMs
	if finished := fields.Bool("terminal"); fields.Err == nil {
		i.router.AttemptEnded(id, attempt, outcome, latency, finished, role, position)
		a.forwardLoadReport(i, member, fields)
	}
	return fields.Err
}

func (a *adapter) healthChecked(i *instance, fields *settings.Fields) error {
	outcome := decodeOutcome(fields)
	if member := fields.Text("node"); fields.Err == nil {
		i.router.HealthChecked(member, outcome)
		a.forwardLoadReport(i, member, fields)
	}
	return fields.Err
}

func (a *adapter) clientGone(i *instance, fields *settings.Fields) error {
	if id := fields.Text("call"); fields.Err == nil {
		i.router.ClientGone(id)
	}
	return fields.Err
}

func (a *adapter) timerFired(i *instance, fields *settings.Fields) error {
	i.router.TimerFired()
	return fields.Err
}

// ignoreEvent handles events that require no action.
func (a *adapter) ignoreEvent(_ *instance, fields *settings.Fields) error { return fields.Err }

func decodeOutcome(fields *settings.Fields) router.Outcome {
	code := int(fields.Number("how"))
	outcome, known := outcomes[code]
	if fields.Err == nil && !known {
		fields.Err = fmt.Errorf("how: unknown outcome code %d", code)
	}
	return outcome
}

// forwardLoadReport passes the role and position in a member's load report to the router, if the event contains a report.
func (a *adapter) forwardLoadReport(i *instance, member string, fields *settings.Fields) {
	load := &settings.Fields{Value: fields.Value.Get("load")}
	if load.Value == nil || load.Value.Type() == fastjson.TypeNull {
		return
	}
	if load.Value.Type() != fastjson.TypeObject {
		fields.Fail("load", "an object")
		return
	}
	if load.Value.Exists("x0") {
		role := router.Replica
		if load.OptionalNumber("x1") >= 0.5 {
			role = router.Primary
		}
		i.router.MemberReported(member, role, i.positionOrigin+load.Number("x0")*msPerSecond)
	}
	if fields.Err == nil {
		fields.Err = load.Err
	}
}
