// Package simadapter runs decision modules for the bench, which simulates everything around them. It reads events from the bench, one
// JSON object a line, passes them on to the routers that they are for, and writes the routers' decisions. The names on the wire are the
// bench's; they are translated here and nowhere else. Times on the wire are in microseconds, in the program in milliseconds.
package simadapter

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/valyala/fastjson"

	"wayloft/internal/settings"
	"wayloft/router"
)

const (
	ioBufferBytes = 1 << 16
	// maxMemberLists is how many member lists the bench may define at a time.
	maxMemberLists = 16
	// microsecondsPerMs translates between times on the wire and in the program.
	microsecondsPerMs = 1000
	// msPerSecond translates positions in load reports, which are in seconds.
	msPerSecond = 1000
)

// instance is one router that the bench has begun.
type instance struct {
	name           string
	router         *router.Router
	positionOrigin float64 // the time from which positions are counted, in ms
	advanced       bool    // it has had an event in this batch
}

// adapter is the state of one connection to the bench.
type adapter struct {
	now            float64
	batchNumber    int64 // the number of the batch
	inBatch        bool
	instances      map[string]*instance
	batchInstances []*instance // those that have had an event in this batch, in order of their first one
	memberLists    [maxMemberLists][]byte

	out        *bufio.Writer
	parser     fastjson.Parser
	listParser fastjson.Parser
	arena      fastjson.Arena
	buffer     []byte
}

// Run answers batches of events from in on out until in ends. An error names the line that caused it.
func Run(in io.Reader, out io.Writer) error {
	a := &adapter{instances: map[string]*instance{}, out: bufio.NewWriterSize(out, ioBufferBytes)}
	lines := bufio.NewReaderSize(in, ioBufferBytes)
	for number := 1; ; number++ {
		line, err := lines.ReadBytes('\n')
		if len(bytes.TrimSpace(line)) > 0 {
			if lineErr := a.handleLine(line); lineErr != nil {
				return fmt.Errorf("line %d: %w", number, lineErr)
			}
		}
		if errors.Is(err, io.EOF) {
			if a.inBatch {
				return fmt.Errorf("line %d: input ends inside a batch", number)
			}
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func (a *adapter) handleLine(line []byte) error {
	value, err := a.parser.ParseBytes(line)
	if err != nil {
		return fmt.Errorf("not JSON: %w", err)
	}
	if value.Type() != fastjson.TypeObject {
		return errors.New("not an object")
	}
	fields := &settings.Fields{Value: value}
	op := fields.Text("op")
	if fields.Err != nil {
		return fields.Err
	}
	if err := a.handleEvent(op, fields); err != nil {
		return fmt.Errorf("%s: %w", op, err)
	}
	if fields.Err != nil {
		return fmt.Errorf("%s: %w", op, fields.Err)
	}
	return nil
}

// handleEvent handles an event of the batch itself, or passes it on to its instance.
func (a *adapter) handleEvent(op string, fields *settings.Fields) error {
	if op == "BATCH" {
		return a.beginBatch(fields)
	}
	if !a.inBatch {
		return errors.New("outside a batch")
	}
	switch op {
	case "EOF_BATCH":
		return a.endBatch()
	case "SNAPSHOT_ROWS":
		return a.defineMemberList(fields)
	case "BEGIN":
		return a.beginInstance(fields)
	}
	handle, known := instanceEventHandlers[op]
	if !known {
		return errors.New("unknown event")
	}
	i := a.eventInstance(fields)
	if fields.Err != nil {
		return fields.Err
	}
	return handle(a, i, fields)
}

func (a *adapter) beginBatch(fields *settings.Fields) error {
	if a.inBatch {
		return errors.New("the batch before it has not ended")
	}
	a.inBatch = true
	a.now = fields.Number("wall") / microsecondsPerMs
	a.batchNumber = int64(fields.Number("frame"))
	return fields.Err
}

// eventInstance returns the eventInstance that an event is for, and tells it the time.
func (a *adapter) eventInstance(fields *settings.Fields) *instance {
	name := fields.Text("router")
	i := a.instances[name]
	if fields.Err == nil && i == nil {
		fields.Err = fmt.Errorf("router: %q has not begun", name)
	}
	if i != nil {
		a.advanceOnFirstEvent(i)
	}
	return i
}

// advanceOnFirstEvent tells an instance the time before its first event of a batch.
func (a *adapter) advanceOnFirstEvent(i *instance) {
	if !i.advanced {
		i.advanced = true
		i.router.Advance(a.now)
		a.batchInstances = append(a.batchInstances, i)
	}
}

func (a *adapter) beginInstance(fields *settings.Fields) error {
	name, platformSettings := fields.Text("router"), fields.Value.Get("facts")
	seed := fields.Value.Get("rngSeed")
	if fields.Err != nil {
		return fields.Err
	}
	if platformSettings == nil || platformSettings.Type() != fastjson.TypeObject {
		return errors.New("facts: must be an object")
	}
	if seed == nil || seed.Type() != fastjson.TypeNumber {
		return errors.New("rngSeed: must be a number")
	}
	routerSettings, host, err := settings.Decode(platformSettings)
	if err != nil {
		return fmt.Errorf("facts: %w", err)
	}
	// A seed beyond 64 bits, or with a sign, still differs from others by its digits.
	routerSeed, err := strconv.ParseUint(seed.String(), 10, 64)
	if err != nil {
		routerSeed = uint64(int64(seed.GetFloat64()))
	}
	i := &instance{name: name, router: router.New(routerSettings, routerSeed), positionOrigin: host.PositionOrigin}
	a.instances[name] = i
	a.advanceOnFirstEvent(i)
	return nil
}
