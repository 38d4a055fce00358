package discovery

import (
	"context"
	"math/rand/v2"
	"time"
)

// Watch follows the list until ctx is done. When a watch ends, it starts another after a backoff.
func (w *Watcher) Watch(ctx context.Context) {
	backoff := minBackoff
	for {
		started := time.Now()
		w.runOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		if time.Since(started) >= w.heartbeatTimeout {
			backoff = minBackoff // watches of this length already limit the request rate
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

// jitter randomizes a backoff, so that the requests of many routers are spread over time.
func jitter(backoff time.Duration) time.Duration {
	return time.Duration((minJitter + (maxJitter-minJitter)*rand.Float64()) * float64(backoff))
}
