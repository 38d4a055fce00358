package simadapter

import (
	"strings"
	"testing"
)

const beginEvent = `{"op":"BEGIN","router":"router/1","rngSeed":7,"facts":{"balancers":1,"discovery":"push","unheard":{},` +
	`"contract":{"coldFrom":0.2,"warmUp":1000000,"fallMultiple":2.5,"overloadFor":2000000},` +
	`"permissions":{"attemptsCap":6,"cancel":true,"probes":true,"retryAfter":true,"maxRetryAfter":1000000},` +
	`"familyInfo":{"serverChecks":"silent","tokenMode":"carried","countedFrom":1000000,"readLevel":["any","write"],` +
	`"classBound":[0,0]},"profiles":[` +
	`{"name":"look","target":500000,"deadline":3000000,"worth":1,"idempotency":"retryable"},` +
	`{"name":"put","target":500000,"deadline":3000000,"worth":1,"idempotency":"fragile"}]}}`
const batchStart = `{"op":"BATCH","wall":5000000,"frame":1}`
const batchEnd = `{"op":"EOF_BATCH"}`
const listEvent = `{"op":"SNAPSHOT_ROWS","ref":0,"hosts":[{"dc":"z","state":"up","node":"n:1","group":1}]}`
const requestEvent = `{"op":"JOB_IN","router":"router/1","call":"c:w","class":"put","ttl":900000,"groupNo":1,` +
	`"mutates":true}`
const cachedListEvent = `{"op":"BACKENDS_CHANGED","router":"router/1","mode":"C","generation":1,"ref":0}`

func runLines(lines ...string) (string, error) {
	var out strings.Builder
	err := Run(strings.NewReader(strings.Join(lines, "\n")+"\n"), &out)
	return out.String(), err
}

func TestRun_Decisions(t *testing.T) {
	out, err := runLines(batchStart, beginEvent, listEvent, cachedListEvent, requestEvent, batchEnd,
		`{"op":"BATCH","wall":5004000,"frame":2}`,
		`{"op":"ECHO","router":"router/1","node":"n:1","how":200,"rtt":4000,"load":{"x0":4.002,"x1":1}}`, batchEnd,
		`{"op":"BATCH","wall":5024000,"frame":3}`,
		`{"op":"RETURNED","router":"router/1","call":"c:w","node":"n:1","how":500,"rtt":20000,"mark":1}`, batchEnd,
		`{"op":"BATCH","wall":5034000,"frame":4}`, `{"op":"HALT","router":"router/1"}`, beginEvent, listEvent, cachedListEvent, requestEvent,
		batchEnd)
	if err != nil {
		t.Fatal(err)
	}
	want := `{"op":"HEALTH_CHECK","router":"router/1","node":"n:1"}
{"op":"SET_ALARM","router":"router/1","time":5010000,"keyBack":"beat"}
{"op":"ACK","frame":1}
{"op":"HAND_OFF","router":"router/1","call":"c:w","node":"n:1"}
{"op":"ACK","frame":2}
{"op":"FAIL","router":"router/1","call":"c:w"}
{"op":"ACK","frame":3}
{"op":"HEALTH_CHECK","router":"router/1","node":"n:1"}
{"op":"SET_ALARM","router":"router/1","time":5044000,"keyBack":"beat"}
{"op":"ACK","frame":4}
`
	if out != want {
		t.Errorf("got\n%swant\n%s", out, want)
	}
}

// A list number that is reused within a batch refers to the newer list in all later events.
func TestRun_ListNumberUsedAgain(t *testing.T) {
	out, err := runLines(batchStart, beginEvent, listEvent, cachedListEvent,
		strings.Replace(listEvent, "n:1", "n:2", 1), strings.Replace(cachedListEvent, `"C"`, `"F"`, 1), requestEvent, batchEnd)
	if err != nil {
		t.Fatal(err)
	}
	if strings.Contains(out, "n:1") || !strings.Contains(out, "n:2") {
		t.Errorf("got health checks for the removed member n:1 or none for the new member n:2:\n%s", out)
	}
}

func TestRun_ErrorsNameLine(t *testing.T) {
	for _, c := range []struct {
		lines []string
		want  string
	}{
		{[]string{batchStart, `{"op":`}, "line 2: invalid JSON"},
		{[]string{batchStart, `[]`}, "line 2: not a JSON object"},
		{[]string{batchStart, `{"op":"NOISE"}`}, "line 2: NOISE: unknown event"},
		{[]string{batchEnd}, "line 1: EOF_BATCH: outside a batch"},
		{[]string{batchStart}, "input ends inside a batch"},
		{[]string{batchStart, `{"op":"HALT","router":"router/9"}`}, `line 2: HALT: router: unknown instance "router/9"`},
		{[]string{batchStart, beginEvent, cachedListEvent}, "line 3: BACKENDS_CHANGED: ref: list 0 is not defined"},
		{[]string{batchStart, beginEvent, `{"op":"JOB_IN","router":"router/1","call":1}`}, "line 3: JOB_IN: call: must be text"},
		{[]string{batchStart, beginEvent, `{"op":"ECHO","router":"router/1","node":"n:1","how":777}`}, "how: unknown outcome code 777"},
		{[]string{batchStart, beginEvent, `{"op":"JOB_IN","router":"router/1","call":"c:1","class":"x","ttl":1,"groupNo":1}`},
			`class: unknown request class "x"`},
		{[]string{batchStart, strings.Replace(beginEvent, `"silent"`, `"sometimes"`, 1)},
			`facts: familyInfo.serverChecks: unknown value "sometimes"`},
		{[]string{batchStart, strings.Replace(beginEvent, `"fragile"`, `"glass"`, 1)},
			`facts: profiles[1].idempotency: unknown value "glass"`},
		{[]string{batchStart, strings.Replace(beginEvent, `"push"`, `3`, 1)}, "facts: discovery: must be text"},
	} {
		out, err := runLines(c.lines...)
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: error %v, want %q", c.lines[len(c.lines)-1], err, c.want)
		}
		if out != "" {
			t.Errorf("%q: got output %q, want none", c.lines[len(c.lines)-1], out)
		}
	}
}
