package discovery

import (
	"context"
	"math/rand/v2"
	"time"
)

// Watch follows the list until ctx ends. When a watch ends, it starts another one after a backoff.
func (w *Watcher) Watch(ctx context.Context) {
	backoff := minBackoff
	for {
		started := time.Now()
		w.runOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		if time.Since(started) >= w.heartbeatTimeout {
			backoff = minBackoff // a watch this long keeps the rate of requests low by itself
		}
		select {
		case <-ctx.Done():
			return
		case <-w.addressChanged:
			backoff = minBackoff
		case <-time.After(jitter(backoff)):
			backoff = min(2*backoff, maxBackoff)
		}
	}
}

// jitter spreads the requests of many routers.
func jitter(backoff time.Duration) time.Duration {
	return time.Duration((minJitter + (maxJitter-minJitter)*rand.Float64()) * float64(backoff))
}
