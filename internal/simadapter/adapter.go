// Package simadapter connects router instances to the bench, a simulator of their environment. It reads events from the bench as one JSON
// object per line, dispatches them to the routers that they address, and writes the routers' decisions. The bench defines the names in the
// wire format; this package translates them, except for the settings in a BEGIN event, which internal/settings decodes. Times are in
// microseconds on the wire and in milliseconds in the program.
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
	// maxMemberLists is the number of member lists that the bench can define at a time.
	maxMemberLists = 16
	// microsecondsPerMs converts between times on the wire and in the program.
	microsecondsPerMs = 1000
	// msPerSecond converts positions in load reports, which are in seconds.
	msPerSecond = 1000
)

// instance is a router that the bench has created with a BEGIN event.
type instance struct {
	name           string
	router         *router.Router
	positionOrigin float64 // the time in ms to which positions on the wire are relative
	advanced       bool    // the router was advanced to the time of the current batch
}

// adapter holds the state of one connection to the bench.
type adapter struct {
	now            float64 // the time of the current batch, in ms
	batchNumber    int64   // echoed in the acknowledgment of the batch
	inBatch        bool
	instances      map[string]*instance
	batchInstances []*instance // instances with an event in the current batch, in the order of their first event
	memberLists    [maxMemberLists][]byte

	out        *bufio.Writer
	parser     fastjson.Parser
	listParser fastjson.Parser
	arena      fastjson.Arena
	buffer     []byte
}

// Run reads batches of events from in and writes the resulting decisions to out, until in ends. Errors in the input include the line
// number.
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
		return fmt.Errorf("invalid JSON: %w", err)
	}
	if value.Type() != fastjson.TypeObject {
		return errors.New("not a JSON object")
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

// handleEvent handles batch, list and BEGIN events, and dispatches all other events to the instance that they address.
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
		return errors.New("previous batch has not ended")
	}
	a.inBatch = true
	a.now = fields.Number("wall") / microsecondsPerMs
	a.batchNumber = int64(fields.Number("frame"))
	return fields.Err
}

// eventInstance returns the instance that an event addresses, after advancing it to the time of the batch.
func (a *adapter) eventInstance(fields *settings.Fields) *instance {
	name := fields.Text("router")
	i := a.instances[name]
	if fields.Err == nil && i == nil {
		fields.Err = fmt.Errorf("router: unknown instance %q", name)
	}
	if i != nil {
		a.advanceOnFirstEvent(i)
	}
	return i
}

// advanceOnFirstEvent advances an instance to the time of the batch before its first event in the batch.
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
	routerSettings, runtimeSettings, err := settings.DecodePlatform(platformSettings)
	if err != nil {
		return fmt.Errorf("facts: %w", err)
	}
	// Seeds that are not unsigned 64-bit integers are converted through floating point, so that negative seeds remain distinct.
	routerSeed, err := strconv.ParseUint(seed.String(), 10, 64)
	if err != nil {
		routerSeed = uint64(int64(seed.GetFloat64()))
	}
	i := &instance{name: name, router: router.New(routerSettings, routerSeed), positionOrigin: runtimeSettings.PositionOrigin}
	a.instances[name] = i
	a.advanceOnFirstEvent(i)
	return nil
}
