package simadapter

import (
	"fmt"

	"github.com/valyala/fastjson"

	"wayloft/internal/settings"
	"wayloft/router"
)

// A position on the wire carries the role in its lowest bits.
const (
	roleBits = 2
	roleMask = 1<<roleBits - 1
)

// instanceEvents are the events that are for one instance, by their names on the wire.
var instanceEvents = map[string]func(*adapter, *instance, *settings.Fields) error{
	"HALT":             (*adapter).halt,
	"BACKENDS_CHANGED": (*adapter).applyList,
	"JOB_IN":           (*adapter).requestArrived,
	"RETURNED":         (*adapter).attemptEnded,
	"ECHO":             (*adapter).healthChecked,
	"CLIENT_GONE":      (*adapter).clientGone,
	"TIMEOUT_FIRED":    (*adapter).timerFired,
	"FIRST_BYTE":       (*adapter).ignore,
	"WHISPER":          (*adapter).ignore,
}

// outcomes are the outcomes of attempts and health checks by their codes on the wire.
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

func (a *adapter) halt(i *instance, fields *settings.Fields) error {
	delete(a.instances, i.name)
	return fields.Err
}

func (a *adapter) requestArrived(i *instance, fields *settings.Fields) error {
	id, tenant, session, class := fields.Text("call"), fields.OptionalText("userGroup"), fields.OptionalText("clientKey"), fields.Text("class")
	group, positionAge, wait := int(fields.Number("groupNo")), fields.OptionalNumber("tokenAgeMs"), fields.Number("ttl")/microsecondsPerMs
	marked := fields.Bool("retry")
	if fields.Err == nil && !i.router.Arrive(id, tenant, session, class, group, positionAge, wait, marked) {
		return fmt.Errorf("class: %q is not in the settings", class)
	}
	return fields.Err
}

func (a *adapter) attemptEnded(i *instance, fields *settings.Fields) error {
	outcome := outcomeOf(fields)
	role, position := router.RoleUnknown, router.Never
	if mark := int64(fields.OptionalNumber("mark")); mark != 0 {
		role = router.Role(mark & roleMask)
		if mark>>roleBits != 0 {
			position = i.zero + float64(mark>>roleBits)
		}
	}
	id, attempt, member := fields.Text("call"), int(fields.OptionalNumber("seqNo")), fields.Text("node")
	took := fields.OptionalNumber("rtt") / microsecondsPerMs
	if done := fields.Bool("terminal"); fields.Err == nil {
		i.router.AttemptEnded(id, attempt, outcome, took, done, role, position)
		a.loadReport(i, member, fields)
	}
	return fields.Err
}

func (a *adapter) healthChecked(i *instance, fields *settings.Fields) error {
	outcome := outcomeOf(fields)
	if member := fields.Text("node"); fields.Err == nil {
		i.router.HealthChecked(member, outcome)
		a.loadReport(i, member, fields)
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

// ignore handles events that ask for nothing here.
func (a *adapter) ignore(_ *instance, fields *settings.Fields) error { return fields.Err }

func outcomeOf(fields *settings.Fields) router.Outcome {
	code := int(fields.Number("how"))
	outcome, known := outcomes[code]
	if fields.Err == nil && !known {
		fields.Err = fmt.Errorf("how: unknown outcome %d", code)
	}
	return outcome
}

// loadReport passes on the role and position in a member's load report, if the event has one.
func (a *adapter) loadReport(i *instance, member string, fields *settings.Fields) {
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
		i.router.Reported(member, role, i.zero+load.Number("x0")*msPerSecond)
	}
	if fields.Err == nil {
		fields.Err = load.Err
	}
}
