package coordinator

import (
	"context"

	"google.golang.org/grpc/status"

	"wayloft/internal/decide/raftnode"
)

// post queues f to be run by the loop. It must not be called from the loop's goroutine.
func (s *Server) post(ctx context.Context, f func()) error {
	select {
	case s.inbox <- f:
		return nil
	case <-ctx.Done():
		return status.FromContextError(ctx.Err()).Err()
	case <-s.ctx.Done():
		return errShuttingDown
	}
}

// query runs f in the loop and returns its result. While the node is suspended, it returns errStorage without running f.
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
		return result, errShuttingDown
	}
}

// request calls start in the loop with a new request number, and waits for the decision that completes the request: Done or Redirect. It
// returns errResultUnknown if the result can't be determined.
func (s *Server) request(ctx context.Context, start func(request uint64)) (raftnode.Decision, error) {
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
		start(request)
	}); err != nil {
		return raftnode.Decision{}, err
	}
	select {
	case d := <-answer:
		if d.Action == raftnode.ResultUnknown {
			return d, errResultUnknown
		}
		return d, nil
	case <-suspended:
		return raftnode.Decision{}, errStorage
	case <-ctx.Done():
		// post fails only when the node shuts down, which also ends the request.
		_ = s.post(s.ctx, func() { delete(s.pending, request) })
		return raftnode.Decision{}, status.FromContextError(ctx.Err()).Err()
	case <-s.ctx.Done():
		return raftnode.Decision{}, errShuttingDown
	}
}

// read performs a linearizable read: the loop runs onConfirmed once the state is confirmed to include everything that was answered before.
// The decision is Done, or Redirect if onConfirmed wasn't run.
func (s *Server) read(ctx context.Context, onConfirmed func()) (raftnode.Decision, error) {
	return s.request(ctx, func(request uint64) {
		deliver := s.pending[request]
		s.pending[request] = func(d raftnode.Decision) {
			if d.Action == raftnode.Done {
				onConfirmed()
			}
			deliver(d)
		}
		s.node.Read(request)
	})
}
