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
	watchCoalesceDelay = 5 * time.Millisecond // delay after a change, so that changes in quick succession are sent as one update
	watchKeepalive     = time.Second          // interval without updates after which an empty one shows the client that the stream is alive
)

// Watch sends the changes since the index in the request, or the complete state, and then each further change. It implements the gRPC
// service.
func (s *Server) Watch(from *fleetpb.WatchFrom, stream grpc.ServerStreamingServer[fleetpb.Update]) error {
	since, first, lastSent := from.Index, true, time.Now()
	for {
		stateChanged := s.stateChangeSignal()
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
		// Heartbeats keep changing the state without producing updates, so the keepalive interval counts from the last update sent.
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

// stateChangeSignal returns a channel that is closed at the next state change.
func (s *Server) stateChangeSignal() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stateChanged
}

// notifyWatchers makes all watchers read the state again.
func (s *Server) notifyWatchers() {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.stateChanged)
	s.stateChanged = make(chan struct{})
}

// changesSince returns the changes of the state since an index, or the complete state if the index is 0 or the changes are no longer kept.
func (s *Server) changesSince(ctx context.Context, since uint64, withoutSessions bool) (*fleetpb.Update, error) {
	return query(ctx, s, func() *fleetpb.Update {
		changes, index := leaseclient.Changes(s.node.State(), since, withoutSessions)
		update := rpc.EncodeUpdate(changes)
		update.Index = index
		return update
	})
}

// waitForChange waits until the state changes, the timeout expires or the client disconnects. It reports whether the state has changed.
func (s *Server) waitForChange(ctx context.Context, stateChanged <-chan struct{}, timeout time.Duration) (changed bool, err error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-stateChanged:
		time.Sleep(watchCoalesceDelay)
		return true, nil
	case <-timer.C:
		return false, nil
	case <-ctx.Done():
		return false, nil
	case <-s.ctx.Done():
		return false, errShuttingDown
	}
}
