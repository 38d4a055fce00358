package discovery

import "context"

// Poll runs one watch for each request and for each change of address, until ctx is done.
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
