package simadapter

import (
	"math"
	"strconv"

	"wayloft/router"
)

// timerCallbackKey is the key that the bench returns when a timer fires. Each instance has only one timer, so the key is constant.
const timerCallbackKey = "beat"

// actionNames maps actions to their names on the wire.
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

// endBatch writes the decisions of all instances with an event in the batch, in the order of their first event, and an acknowledgment.
// Instances that were stopped or replaced in the batch are skipped.
func (a *adapter) endBatch() error {
	for _, i := range a.batchInstances {
		i.advanced = false
		if a.instances[i.name] != i {
			continue
		}
		for decision, more := i.router.Next(); more; decision, more = i.router.Next() {
			a.writeDecision(i.name, decision)
		}
	}
	a.batchInstances = a.batchInstances[:0]
	a.inBatch = false
	a.buffer = append(a.buffer[:0], `{"op":"ACK","frame":`...)
	a.buffer = strconv.AppendInt(a.buffer, a.batchNumber, 10)
	a.buffer = append(a.buffer, "}\n"...)
	_, _ = a.out.Write(a.buffer) // a bufio.Writer keeps its first error, and Flush returns it
	return a.out.Flush()
}

func (a *adapter) writeDecision(name string, decision router.Decision) {
	a.buffer = append(a.buffer[:0], '{')
	a.appendTextField("op", actionNames[decision.Action])
	a.appendTextField("router", name)
	if decision.RequestID != "" {
		a.appendTextField("call", decision.RequestID)
	}
	if decision.Member != "" {
		a.appendTextField("node", decision.Member)
	}
	switch decision.Action {
	case router.SendAttempt:
		if decision.Wait > 0 {
			a.appendNumberField("cap", decision.Wait*microsecondsPerMs)
		}
	case router.CancelAttempt:
		a.appendNumberField("seqNo", float64(decision.Attempt))
	case router.RejectRequest:
		if decision.Wait > 0 {
			a.appendNumberField("wait", decision.Wait*microsecondsPerMs)
		}
	case router.RequestList:
		a.buffer = append(a.buffer, `"on":true,`...)
	case router.SetTimer:
		a.appendNumberField("time", decision.Time*microsecondsPerMs)
		a.appendTextField("keyBack", timerCallbackKey)
	}
	a.buffer[len(a.buffer)-1] = '}'
	a.buffer = append(a.buffer, '\n')
	_, _ = a.out.Write(a.buffer) // a bufio.Writer keeps its first error, and Flush returns it
}

// appendTextField appends a string field of a JSON object and a comma to the buffer.
func (a *adapter) appendTextField(key, text string) {
	a.appendKey(key)
	a.arena.Reset()
	a.buffer = a.arena.NewString(text).MarshalTo(a.buffer)
	a.buffer = append(a.buffer, ',')
}

// appendNumberField appends a numeric field of a JSON object, rounded up to an integer, and a comma to the buffer.
func (a *adapter) appendNumberField(key string, x float64) {
	a.appendKey(key)
	a.buffer = strconv.AppendInt(a.buffer, int64(math.Ceil(x)), 10)
	a.buffer = append(a.buffer, ',')
}

func (a *adapter) appendKey(key string) {
	a.buffer = append(a.buffer, '"')
	a.buffer = append(a.buffer, key...)
	a.buffer = append(a.buffer, `":`...)
}
