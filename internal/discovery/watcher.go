package discovery

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"wayloft/internal/failpoint"
)

// Watcher follows the endpoint list. Either Watch or Poll must run in its own goroutine.
type Watcher struct {
	revision         int64
	deliver          func(*List)
	onError          func(error)
	client           *http.Client
	heartbeatTimeout time.Duration

	mu             sync.Mutex // guards the fields below
	addr           string
	needsFullList  bool                    // revisions of this address may be unrelated to the last known one
	cancelWatch    context.CancelCauseFunc // cancels the current watch
	addressChanged chan struct{}
}

// NewWatcher returns a watcher for the changes after a revision. The goroutine of Watch or Poll calls deliver with each list, and onError
// with the error of each watch that has ended.
func NewWatcher(addr string, revision int64, deliver func(*List), onError func(error)) *Watcher {
	return &Watcher{
		addr:             addr,
		revision:         revision,
		deliver:          deliver,
		onError:          onError,
		heartbeatTimeout: heartbeatTimeout,
		addressChanged:   make(chan struct{}, 1),
		client:           &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// ChangeAddress sets the address of the list service. It ends a watch of the old address and makes the watcher request the complete list
// from the new one immediately. Lists delivered earlier stay valid until the new address responds. ChangeAddress is safe for concurrent
// use.
func (w *Watcher) ChangeAddress(addr string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if addr == w.addr {
		return
	}
	w.addr = addr
	w.needsFullList = true
	if w.cancelWatch != nil {
		w.cancelWatch(errAddressChanged)
	}
	select {
	case w.addressChanged <- struct{}{}:
	default: // an earlier change is still pending
	}
}

// watchOnce follows the list until the connection ends, becomes silent or delivers an invalid list, and returns the reason. After a change
// of address it first fetches the complete list and accepts any revision. It does the same, once and without a pause, if a received
// revision is older than the last one.
func (w *Watcher) watchOnce(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	heartbeat := newHeartbeatTimer(w.heartbeatTimeout, func() { cancel(ErrNoHeartbeat) })
	defer heartbeat.stop()

	url, needsFullList := w.beginWatch(cancel)
	for retried := false; ; retried = true {
		if needsFullList {
			if err := w.fetchList(ctx, url, heartbeat); err != nil {
				return causeOr(ctx, err)
			}
		}
		err := w.followChanges(ctx, url, heartbeat)
		var older *olderRevisionError
		if !errors.As(err, &older) {
			return causeOr(ctx, err)
		}
		w.requireFullList()
		if retried {
			return causeOr(ctx, err)
		}
		needsFullList = true
	}
}

// beginWatch registers cancel, with which ChangeAddress ends the watch, and returns the URL and whether to fetch the complete list.
func (w *Watcher) beginWatch(cancel context.CancelCauseFunc) (url string, needsFullList bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cancelWatch = cancel
	return "http://" + w.addr + "/api/targets", w.needsFullList
}

func (w *Watcher) requireFullList() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.needsFullList = true
}

// deliverUnlessCanceled delivers a list, unless the watch has been cancelled in the meantime, for instance by a change of address.
func (w *Watcher) deliverUnlessCanceled(ctx context.Context, list *List, isFullList bool) error {
	failpoint.Hit("discovery.deliver")
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if isFullList {
		w.needsFullList = false
	}
	w.revision = list.Revision
	w.deliver(list)
	return nil
}

// runOnce runs one watch and reports its error, unless ctx or a change of address ended it.
func (w *Watcher) runOnce(ctx context.Context) {
	err := w.watchOnce(ctx)
	if ctx.Err() == nil && !errors.Is(err, errAddressChanged) {
		w.onError(err)
	}
}

// causeOr returns the cancellation cause of a watch, or err if it was not cancelled.
func causeOr(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}
