package simadapter

import (
	"math"
	"strconv"

	"wayloft/router"
)

// timerKey is what the bench sends back with a timer. There is one timer an instance, so that it tells nothing.
const timerKey = "beat"

// actionNames are the actions by their names on the wire.
var actionNames = map[router.Action]string{
	router.SendAttempt:          "HAND_OFF",
	router.CancelAttempt:        "REVOKE",
	router.RejectRequest:        "SAY_NO",
	router.FailRequest:          "FAIL",
	router.HealthCheck:          "HEALTH_CHECK",
	router.RequestList:          "WATCH",
	router.CloseIdleConnections: "RELEASE",
	router.SetTimer:             "SET_ALARM",
}

// endBatch writes the decisions of all instances that have had an event, in the order of their first ones.
func (a *adapter) endBatch() error {
	for _, i := range a.inputs {
		i.hasInput = false
		if a.instances[i.name] != i {
			continue
		}
		for decision, more := i.router.Next(); more; decision, more = i.router.Next() {
			a.writeDecision(i.name, decision)
		}
	}
	a.inputs = a.inputs[:0]
	a.inBatch = false
	a.buffer = append(a.buffer[:0], `{"op":"ACK","frame":`...)
	a.buffer = strconv.AppendInt(a.buffer, a.frame, 10)
	a.buffer = append(a.buffer, "}\n"...)
	_, _ = a.out.Write(a.buffer) // a bufio.Writer keeps its first error, and Flush returns it
	return a.out.Flush()
}

func (a *adapter) writeDecision(name string, decision router.Decision) {
	a.buffer = append(a.buffer[:0], '{')
	a.putText("op", actionNames[decision.Action])
	a.putText("router", name)
	if decision.RequestID != "" {
		a.putText("call", decision.RequestID)
	}
	if decision.Member != "" {
		a.putText("node", decision.Member)
	}
	switch decision.Action {
	case router.SendAttempt:
		if decision.Wait > 0 {
			a.putNumber("cap", decision.Wait*microsecondsPerMs)
		}
	case router.CancelAttempt:
		a.putNumber("seqNo", float64(decision.Attempt))
	case router.RejectRequest:
		if decision.Wait > 0 {
			a.putNumber("wait", decision.Wait*microsecondsPerMs)
		}
	case router.RequestList:
		a.buffer = append(a.buffer, `"on":true,`...)
	case router.SetTimer:
		a.putNumber("time", decision.Time*microsecondsPerMs)
		a.putText("keyBack", timerKey)
	}
	a.buffer[len(a.buffer)-1] = '}'
	a.buffer = append(a.buffer, '\n')
	_, _ = a.out.Write(a.buffer) // a bufio.Writer keeps its first error, and Flush returns it
}

// putText appends a member of a JSON object and a comma.
func (a *adapter) putText(key, text string) {
	a.putKey(key)
	a.arena.Reset()
	a.buffer = a.arena.NewString(text).MarshalTo(a.buffer)
	a.buffer = append(a.buffer, ',')
}

// putNumber appends a member of a JSON object, rounded up to a whole number, and a comma.
func (a *adapter) putNumber(key string, x float64) {
	a.putKey(key)
	a.buffer = strconv.AppendInt(a.buffer, int64(math.Ceil(x)), 10)
	a.buffer = append(a.buffer, ',')
}

func (a *adapter) putKey(key string) {
	a.buffer = append(a.buffer, '"')
	a.buffer = append(a.buffer, key...)
	a.buffer = append(a.buffer, `":`...)
}
