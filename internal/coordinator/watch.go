package coordinator

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"wayloft/internal/decide/leaseclient"
	"wayloft/internal/fleetpb"
	"wayloft/internal/rpc"
)

const (
	watchCoalescing = 5 * time.Millisecond // after a change, for those that follow it closely
	watchKeepalive  = time.Second          // an empty update after so long without one, by which a client knows that the stream is alive
)

// Watch sends the state, then what changes in it. It implements the gRPC service.
func (s *Server) Watch(from *fleetpb.WatchFrom, stream grpc.ServerStreamingServer[fleetpb.Update]) error {
	since, first, lastSent := from.Index, true, time.Now()
	for {
		stateChanged := s.stateChange()
		update, err := s.changesSince(stream.Context(), since, from.WithoutSessions)
		if err != nil {
			return err
		}
		if first || update.Whole || len(update.Sessions)+len(update.Duties)+len(update.Policies) > 0 {
			if err := stream.Send(update); err != nil {
				return err
			}
			lastSent = time.Now()
		}
		since, first = update.Index, false
		// Heartbeats change the state all the time without anything to send, so the wait counts from the last update that was sent.
		changed, err := s.waitForChange(stream.Context(), stateChanged, time.Until(lastSent.Add(watchKeepalive)))
		if err != nil {
			return err
		}
		if stream.Context().Err() != nil {
			return nil
		}
		if changed {
			continue
		}
		if err := stream.Send(&fleetpb.Update{Index: since}); err != nil {
			return err
		}
		lastSent = time.Now()
	}
}

// stateChange returns a channel that is closed when the state changes.
func (s *Server) stateChange() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stateChanged
}

// wakeWatchers has watchers read the state again.
func (s *Server) wakeWatchers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.stateChanged)
	s.stateChanged = make(chan struct{})
}

// changesSince returns what has changed in the state since an index; 0: the complete state.
func (s *Server) changesSince(ctx context.Context, since uint64, withoutSessions bool) (*fleetpb.Update, error) {
	return query(ctx, s, func() *fleetpb.Update {
		changes, index := leaseclient.Changes(s.node.State(), since, withoutSessions)
		update := rpc.EncodeUpdate(changes)
		update.Index = index
		return update
	})
}

// waitForChange waits until the state has changed, the timeout has passed or the client has gone. It reports whether the state has changed.
func (s *Server) waitForChange(ctx context.Context, stateChanged <-chan struct{}, timeout time.Duration) (changed bool, err error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-stateChanged:
		time.Sleep(watchCoalescing)
		return true, nil
	case <-timer.C:
		return false, nil
	case <-ctx.Done():
		return false, nil
	case <-s.ctx.Done():
		return false, errEnding
	}
}
