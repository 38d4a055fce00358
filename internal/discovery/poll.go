package discovery

import "context"

// Poll watches once for each request and for each change of address, until ctx ends.
func (w *Watcher) Poll(ctx context.Context, requests <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-w.addressChanged:
		case <-requests:
		}
		w.runOnce(ctx)
	}
}
