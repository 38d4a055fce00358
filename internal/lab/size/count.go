package size

import (
	"strings"
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
	ear     *ear
}

const (
	standing = iota // asks where a duty stands
	calling         // brings the council an entry
	answering
	moving // an answer that names another process to ask
	whole  // a watch's first word
	change
	alive // an empty word
	ordering
	judging
	kinds
)

var kindNames = [kinds]string{"stand", "call", "answer", "moved", "whole", "change", "alive", "order", "verdict"}

func kindOf(v any) int {
	switch m := v.(type) {
	case *fleetpb.Request:
		if m.Stand != "" {
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
		case len(m.Sessions)+len(m.Duties) > 0:
			return change
		}
		return alive
	case *fleetpb.Order:
		return ordering
	case *fleetpb.Verdict:
		return judging
	}
	return -1
}

// count takes the place of the codec. It must be called before anything is dialled or served.
func count(e *ear) *counter {
	c := &counter{CodecV2: encoding.GetCodecV2(proto.Name), ear: e}
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
		if u, is := v.(*fleetpb.Update); is {
			c.ear.update(u)
		}
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
	heard Heard
}

const mostHeard = 2 << 20 // times of each kind

func (e *ear) set(m *Mark) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mark, e.heard = m, Heard{}
}

func (e *ear) note(into *[]float64) {
	if len(*into) < mostHeard {
		*into = append(*into, unixMs())
	}
}

func (e *ear) update(u *fleetpb.Update) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.mark == nil || e.mark.Sessions == "" {
		return
	}
	for _, s := range u.Sessions {
		if !s.Ended && strings.HasPrefix(s.Name, e.mark.Sessions) && float64(s.Incarnation) >= e.mark.From {
			e.note(&e.heard.Sessions)
		}
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

func (e *ear) tell() *Heard {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.heard
	h.Sessions, h.Lists, h.Primaries = append([]float64(nil), h.Sessions...), append([]float64(nil), h.Lists...), append([]float64(nil), h.Primaries...)
	return &h
}
