package coordinator

import (
	"context"

	"google.golang.org/grpc/status"

	"wayloft/internal/decide/raftnode"
)

// post has the loop run a function; it may be called from any goroutine but the loop's.
func (s *Server) post(ctx context.Context, f func()) error {
	select {
	case s.inbox <- f:
		return nil
	case <-ctx.Done():
		return status.FromContextError(ctx.Err()).Err()
	case <-s.ctx.Done():
		return errEnding
	}
}

// query has the loop run f, and returns its result. The error is errStorage, and f isn't run, while the node is suspended.
func query[T any](ctx context.Context, s *Server, f func() T) (result T, err error) {
	results := make(chan T, 1)
	if err := s.post(ctx, func() {
		if s.suspended() {
			close(results)
			return
		}
		results <- f()
	}); err != nil {
		return result, err
	}
	select {
	case result, ok := <-results:
		if !ok {
			return result, errStorage
		}
		return result, nil
	case <-s.ctx.Done():
		return result, errEnding
	}
}

// request has the loop begin something under a new request number and waits for the decision that ends it: Done or Redirect. A result that
// can't be known is errUnknown.
func (s *Server) request(ctx context.Context, begin func(request uint64)) (raftnode.Decision, error) {
	answer := make(chan raftnode.Decision, 1)
	suspended := make(chan struct{})
	var request uint64
	if err := s.post(ctx, func() {
		if s.suspended() {
			close(suspended)
			return
		}
		s.lastRequest++
		request = s.lastRequest
		s.pending[request] = func(d raftnode.Decision) { answer <- d }
		s.node.Advance(s.now())
		begin(request)
	}); err != nil {
		return raftnode.Decision{}, err
	}
	select {
	case d := <-answer:
		if d.Action == raftnode.ResultUnknown {
			return d, errUnknown
		}
		return d, nil
	case <-suspended:
		return raftnode.Decision{}, errStorage
	case <-ctx.Done():
		// An error means that the process ends, and the request with it.
		_ = s.post(s.ctx, func() { delete(s.pending, request) })
		return raftnode.Decision{}, status.FromContextError(ctx.Err()).Err()
	case <-s.ctx.Done():
		return raftnode.Decision{}, errEnding
	}
}

// read has the loop run atRead once the state is confirmed to hold everything that was answered before. The decision is Done, or Redirect
// if atRead wasn't run.
func (s *Server) read(ctx context.Context, atRead func()) (raftnode.Decision, error) {
	return s.request(ctx, func(request uint64) {
		deliver := s.pending[request]
		s.pending[request] = func(d raftnode.Decision) {
			if d.Action == raftnode.Done {
				atRead()
			}
			deliver(d)
		}
		s.node.Read(request)
	})
}
