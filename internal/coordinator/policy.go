package coordinator

import (
	"context"
	"slices"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"wayloft/internal/decide/policy"
	"wayloft/internal/decide/raftnode"
	"wayloft/internal/fleetpb"
	"wayloft/internal/rpc"
)

const (
	maxCachedContents   = 64
	maxCachedBytes      = 4 << 20
	maxPolicyPartBytes  = 64 << 10
	maxPolicyHashBytes  = 64
	maxPolicyPartOffset = 1 << 30 // fits in an int on all platforms
)

// policyContent is a policy document, or a sequence of changes that leads to it, compressed for sending in parts.
type policyContent struct {
	base       uint64 // packed version that the changes start from; not used for a full document
	full       bool
	version    policy.Version // resulting version; zero: not known to this node
	compressed []byte
}

// Policy returns a part of the content that takes a router to the version in force, as far as this node knows. The node may lag behind the
// leader, which is harmless because routers never revert to an earlier version. It implements the gRPC service.
func (s *Server) Policy(ctx context.Context, request *fleetpb.PolicyFrom) (*fleetpb.PolicyPart, error) {
	if len(request.Hash) > maxPolicyHashBytes || request.Most == 0 {
		return nil, status.Error(codes.InvalidArgument, "unsound")
	}
	content, err := query(ctx, s, func() policyContent {
		content, _ := s.policyContent(policy.Request{
			Have:   request.Have,
			Want:   request.Want,
			Full:   request.Whole,
			Offset: int(min(request.Offset, maxPolicyPartOffset)),
		})
		return content
	})
	if err != nil {
		return nil, err
	}
	if content.version.Number == 0 {
		return nil, status.Error(codes.NotFound, "this process knows of no such version: it may lag, ask another")
	}
	return content.part(request), nil
}

// part returns the requested part, or the first part if the request is for another version or for an offset at or past the end.
func (c policyContent) part(request *fleetpb.PolicyFrom) *fleetpb.PolicyPart {
	total := uint64(len(c.compressed))
	start := min(request.Offset, total)
	if c.version.Packed() != request.Want || start == total {
		start = 0
	}
	end := min(start+min(request.Most, maxPolicyPartBytes), total)
	return &fleetpb.PolicyPart{Version: rpc.EncodePolicy(c.version, nil), Whole: c.full, Offset: start, Total: total,
		Bytes: c.compressed[start:end]}
}

// policyContent returns the content for a request, or false and a zero content if this node doesn't know the version. A transfer that has
// begun can be completed even if another version has come into force meanwhile, for as long as its content is cached.
func (s *Server) policyContent(request policy.Request) (policyContent, bool) {
	history := s.node.State().Policy()
	if content, cached := s.cachedContent(request, history.Version.Packed()); cached {
		return content, true
	}
	encoded, full, known := history.Serve(request)
	if !known {
		return policyContent{}, false
	}
	if full && !request.Full {
		request.Full, request.Offset = true, 0
		return s.policyContent(request)
	}
	content := policyContent{request.Have, full, history.Version, rpc.Compress(encoded)}
	s.cacheContent(content)
	return content, true
}

// cachedContent returns a cached content that answers a request, and marks it as most recently used.
func (s *Server) cachedContent(request policy.Request, inForce uint64) (policyContent, bool) {
	for i, content := range slices.Backward(s.policyCache) {
		number := content.version.Packed()
		sameBase := content.full == request.Full && (content.full || content.base == request.Have)
		isInForce := number == inForce && request.Want <= number && request.Have <= number
		isContinuation := request.Offset > 0 && number == request.Want
		if sameBase && (isInForce || isContinuation) {
			s.policyCache = append(slices.Delete(s.policyCache, i, i+1), content)
			return content, true
		}
	}
	return policyContent{}, false
}

// cacheContent adds a content to the cache and evicts the least recently used ones that exceed its limits.
func (s *Server) cacheContent(content policyContent) {
	s.policyCache = append(s.policyCache, content)
	size := 0
	for i, cached := range slices.Backward(s.policyCache) {
		size += len(cached.compressed)
		if size > maxCachedBytes || len(s.policyCache)-i > maxCachedContents {
			s.policyCache = slices.Delete(s.policyCache, 0, i+1)
			return
		}
	}
}

// Policies returns the policy in force and its history by a linearizable read. It implements the gRPC service.
func (s *Server) Policies(ctx context.Context, _ *fleetpb.Empty) (*fleetpb.PolicyBook, error) {
	var book *fleetpb.PolicyBook
	d, err := s.read(ctx, func() { book = s.encodePolicyBook() })
	if err != nil {
		return nil, err
	}
	if d.Action == raftnode.Redirect {
		return &fleetpb.PolicyBook{Moved: true, Leader: d.Leader.Name, Address: d.Leader.Addr}, nil
	}
	return book, nil
}

// encodePolicyBook converts the policy and its history to a protocol message. The message is cached, so that each version is compressed
// only once.
func (s *Server) encodePolicyBook() *fleetpb.PolicyBook {
	history := s.node.State().Policy()
	if s.policyBook == nil || s.policyVersion != history.Version {
		s.policyVersion = history.Version
		s.policyBook = &fleetpb.PolicyBook{Version: rpc.EncodePolicy(history.Version, nil), Document: rpc.Compress(history.Document.Encode()),
			History: rpc.Compress(policy.EncodeChanges(history.Changes))}
	}
	return s.policyBook
}
