package discovery

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"wayloft/internal/failpoint"
)

// Watcher follows the list. Either Watch or Poll must run, in a goroutine of its own.
type Watcher struct {
	revision         int64
	deliver          func(*List)
	failed           func(error)
	client           *http.Client
	heartbeatTimeout time.Duration

	mu             sync.Mutex // guards the fields below
	addr           string
	needsFullList  bool                    // revisions of this address may have nothing to do with the last known one
	cancelWatch    context.CancelCauseFunc // of the watch that is running
	addressChanged chan struct{}
}

// NewWatcher returns a watcher for changes after a revision. The goroutine of Watch or Poll calls deliver with each list and failed
// with the error of each watch that has ended.
func NewWatcher(addr string, revision int64, deliver func(*List), failed func(error)) *Watcher {
	return &Watcher{
		addr:             addr,
		revision:         revision,
		deliver:          deliver,
		failed:           failed,
		heartbeatTimeout: heartbeatTimeout,
		addressChanged:   make(chan struct{}, 1),
		client:           &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// ChangeAddress sets the address of the list service. A watch of the old address ends, and the complete list is requested from the new
// one at once; what was delivered before stays valid until it responds. ChangeAddress is safe for concurrent use.
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
	default: // an earlier change has not been noticed yet
	}
}

// watchOnce follows the list until the connection ends, goes silent or delivers something invalid, and returns the reason. If the address
// is new, the complete list is fetched first and accepted whatever its revision. The same is done, once and without a pause, if revisions
// go back.
func (w *Watcher) watchOnce(ctx context.Context) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	heartbeat := newHeartbeatTimer(w.heartbeatTimeout, func() { cancel(ErrNoHeartbeat) })
	defer heartbeat.stop()

	url, needsFullList := w.start(cancel)
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

// start returns what to request in a watch, which ChangeAddress ends by cancel from now on.
func (w *Watcher) start(cancel context.CancelCauseFunc) (url string, needsFullList bool) {
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

// deliverUnlessCanceled delivers a list, unless the address has changed since it was read.
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

// runOnce watches once and reports the error, unless ctx or a change of address has ended the watch.
func (w *Watcher) runOnce(ctx context.Context) {
	err := w.watchOnce(ctx)
	if ctx.Err() == nil && !errors.Is(err, errAddressChanged) {
		w.failed(err)
	}
}

// causeOr returns the cause for which a watch was cancelled, or err if it was not.
func causeOr(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}
