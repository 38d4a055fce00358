package scale

import (
	"sync/atomic"

	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/encoding/proto"
	"google.golang.org/grpc/mem"

	"wayloft/internal/fleetpb"
)

// messageCounter is a gRPC codec that counts the messages that this process sends and receives, by kind. It wraps gRPC's protobuf
// codec.
type messageCounter struct {
	encoding.CodecV2
	sent, received [messageKinds]messageCount
}

type messageCount struct{ messages, bytes atomic.Int64 }

func (c *messageCount) add(bytes int) {
	c.messages.Add(1)
	c.bytes.Add(int64(bytes))
}

// messageKind is a kind of message between a router and the coordinator, or between routers.
type messageKind int

const (
	tokenQuery messageKind = iota
	proposal
	response
	redirect
	completeUpdate // the first message of a watch
	changeUpdate
	keepalive
	order
	orderResponse
	policyFetch
	policyPart
	messageKinds
	unknownKind messageKind = -1
)

// messageKindNames are the first parts of the keys of the counts in reports.
var messageKindNames = [messageKinds]string{"stand", "call", "answer", "moved", "whole", "change", "alive", "order", "verdict", "fetch", "part"}

// Suffixes of the keys of the counts.
const (
	sentSuffix     = "_out"
	receivedSuffix = "_in"
	bytesSuffix    = "_bytes"
)

func kindOf(message any) messageKind {
	switch m := message.(type) {
	case *fleetpb.Request:
		if m.Stand != "" || len(m.Stands) > 0 {
			return tokenQuery
		}
		return proposal
	case *fleetpb.Answer:
		if m.Moved {
			return redirect
		}
		return response
	case *fleetpb.Update:
		switch {
		case m.Whole:
			return completeUpdate
		case len(m.Sessions)+len(m.Duties)+len(m.Policies) > 0:
			return changeUpdate
		}
		return keepalive
	case *fleetpb.Order:
		return order
	case *fleetpb.Verdict:
		return orderResponse
	case *fleetpb.PolicyFrom:
		return policyFetch
	case *fleetpb.PolicyPart:
		return policyPart
	}
	return unknownKind
}

func newMessageCounter() *messageCounter {
	return &messageCounter{CodecV2: encoding.GetCodecV2(proto.Name)}
}

// register makes gRPC use the counter for new connections and servers. Existing ones keep their codec.
func (c *messageCounter) register() { encoding.RegisterCodecV2(c) }

// Marshal encodes and counts a message.
func (c *messageCounter) Marshal(message any) (mem.BufferSlice, error) {
	encoded, err := c.CodecV2.Marshal(message)
	if kind := kindOf(message); kind != unknownKind && err == nil {
		c.sent[kind].add(encoded.Len())
	}
	return encoded, err
}

// Unmarshal decodes and counts a message.
func (c *messageCounter) Unmarshal(encoded mem.BufferSlice, message any) error {
	bytes := encoded.Len()
	err := c.CodecV2.Unmarshal(encoded, message)
	if kind := kindOf(message); kind != unknownKind && err == nil {
		c.received[kind].add(bytes)
	}
	return err
}

// addTo adds the nonzero counts to a map.
func (c *messageCounter) addTo(counts map[string]int64) {
	for kind, name := range messageKindNames {
		for suffix, count := range map[string]*messageCount{sentSuffix: &c.sent[kind], receivedSuffix: &c.received[kind]} {
			if messages := count.messages.Load(); messages > 0 {
				counts[name+suffix] = messages
				counts[name+suffix+bytesSuffix] = count.bytes.Load()
			}
		}
	}
}
