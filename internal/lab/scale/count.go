package scale

import (
	"slices"
	"sync"
	"sync/atomic"

	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/encoding/proto"
	"google.golang.org/grpc/mem"

	"wayloft/internal/fleetpb"
)

// counter counts the messages that this process's routers say and hear, by what they are, where they become bytes. It is put in
// the place of gRPC's own codec, which does the work, so that the code that is measured stays as it is.
type counter struct {
	encoding.CodecV2
	out, in [kinds]struct{ messages, bytes atomic.Int64 }
}

const (
	standing = iota // asks where leases stand
	calling         // brings the coordinator an entry
	answering
	moving // an answer that names another process to ask
	whole  // a watch's first word
	change
	alive // an empty word
	ordering
	judging
	fetching // a part of the policy
	fetched
	kinds
)

var kindNames = [kinds]string{"stand", "call", "answer", "moved", "whole", "change", "alive", "order", "verdict", "fetch", "part"}

func kindOf(v any) int {
	switch m := v.(type) {
	case *fleetpb.Request:
		if m.Stand != "" || len(m.Stands) > 0 {
			return standing
		}
		return calling
	case *fleetpb.Answer:
		if m.Moved {
			return moving
		}
		return answering
	case *fleetpb.Update:
		switch {
		case m.Whole:
			return whole
		case len(m.Sessions)+len(m.Duties)+len(m.Policies) > 0:
			return change
		}
		return alive
	case *fleetpb.Order:
		return ordering
	case *fleetpb.Verdict:
		return judging
	case *fleetpb.PolicyFrom:
		return fetching
	case *fleetpb.PolicyPart:
		return fetched
	}
	return -1
}

// count takes the place of the codec. It must be called before anything is dialled or served.
func count() *counter {
	c := &counter{CodecV2: encoding.GetCodecV2(proto.Name)}
	encoding.RegisterCodecV2(c)
	return c
}

func (c *counter) Marshal(v any) (mem.BufferSlice, error) {
	b, err := c.CodecV2.Marshal(v)
	if k := kindOf(v); k >= 0 && err == nil {
		c.out[k].messages.Add(1)
		c.out[k].bytes.Add(int64(b.Len()))
	}
	return b, err
}

func (c *counter) Unmarshal(b mem.BufferSlice, v any) error {
	n := b.Len()
	err := c.CodecV2.Unmarshal(b, v)
	if k := kindOf(v); k >= 0 && err == nil {
		c.in[k].messages.Add(1)
		c.in[k].bytes.Add(int64(n))
	}
	return err
}

func (c *counter) counts(into map[string]int64) {
	for k, name := range kindNames {
		for way, of := range map[string]*struct{ messages, bytes atomic.Int64 }{"out": &c.out[k], "in": &c.in[k]} {
			if n := of.messages.Load(); n > 0 {
				into[name+"_"+way], into[name+"_"+way+"_bytes"] = n, of.bytes.Load()
			}
		}
	}
}

// ear notes when routers hear of what a mark names.
type ear struct {
	mu    sync.Mutex
	mark  *Mark
	heard ReceivedTimes
}

const mostHeard = 2 << 20 // times of each kind

func (e *ear) set(m *Mark) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mark, e.heard = m, ReceivedTimes{}
}

func (e *ear) note(into *[]float64) {
	if len(*into) < mostHeard {
		*into = append(*into, unixMs())
	}
}

// policy notes that a router goes by another version.
func (e *ear) policy() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.mark != nil && e.mark.Policy {
		e.note(&e.heard.Policies)
	}
}

// list and primary report whether what was heard is what the mark names; a router is to say so once.
func (e *ear) list(revision int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.mark != nil && e.mark.Revision > 0 && revision >= e.mark.Revision {
		e.note(&e.heard.Lists)
	}
}

func (e *ear) primary(member string, of *Mark) *Mark {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.mark != nil && e.mark != of && e.mark.Primary == member {
		e.note(&e.heard.Primaries)
		return e.mark
	}
	return of
}

func (e *ear) tell() *ReceivedTimes {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.heard
	h.Policies, h.Lists, h.Primaries = slices.Clone(h.Policies), slices.Clone(h.Lists), slices.Clone(h.Primaries)
	return &h
}
