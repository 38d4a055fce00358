package discovery

import (
	"context"
	"fmt"
	"io"
	"net/http"
)

const (
	maxListBytes   = 4 << 20
	readBufferSize = 4 << 10 // bytes
)

func (w *Watcher) get(ctx context.Context, url string) (io.ReadCloser, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := w.client.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		_ = response.Body.Close() // the caller needs the status as the error
		return nil, fmt.Errorf("get %s: status %d", url, response.StatusCode)
	}
	return response.Body, nil
}

// fetchList requests the complete list and delivers it.
func (w *Watcher) fetchList(ctx context.Context, url string, heartbeat *heartbeatTimer) error {
	body, err := w.get(ctx, url)
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }() // read-only: the error is irrelevant
	text, err := io.ReadAll(io.LimitReader(timedReader{body, heartbeat}, maxListBytes+1))
	if err != nil {
		return fmt.Errorf("read list: %w", err)
	}
	if len(text) > maxListBytes {
		return InvalidListError{Err: errListTooLong}
	}
	list, err := parseList(text)
	if err != nil {
		return err
	}
	heartbeat.lineCompleted()
	return w.deliverUnlessCanceled(ctx, list, true)
}

// followChanges requests the changes after the last known revision and delivers each list received.
func (w *Watcher) followChanges(ctx context.Context, url string, heartbeat *heartbeatTimer) error {
	body, err := w.get(ctx, fmt.Sprintf("%s?stream=1&index=%d", url, w.revision))
	if err != nil {
		return err
	}
	defer func() { _ = body.Close() }() // read-only: the error is irrelevant
	lists := listReader{input: timedReader{body, heartbeat}}
	for first := true; ; first = false {
		text, err := lists.next()
		if err != nil {
			return err
		}
		heartbeat.lineCompleted()
		if err := w.handleLine(ctx, text, first); err != nil {
			return err
		}
	}
}

// handleLine delivers a list. An empty line is delivered only if it is the first line of a response, where it means that nothing has
// changed; it is delivered as a list without entries.
func (w *Watcher) handleLine(ctx context.Context, text []byte, first bool) error {
	if len(text) == 0 {
		if !first {
			return nil
		}
		return w.deliverUnlessCanceled(ctx, &List{Revision: w.revision}, false)
	}
	list, err := parseList(text)
	if err != nil {
		return err
	}
	if list.Revision < w.revision {
		return InvalidListError{Err: &olderRevisionError{received: list.Revision, known: w.revision}}
	}
	return w.deliverUnlessCanceled(ctx, list, false)
}

// listReader reads lists and empty lines from a stream.
type listReader struct {
	input    io.Reader
	buffer   [readBufferSize]byte
	unread   []byte // the unread part of buffer
	splitter listSplitter
}

// next returns the text of the next list, or empty text for an empty line. It is valid until the next call.
func (r *listReader) next() ([]byte, error) {
	r.splitter = listSplitter{text: r.splitter.text[:0]}
	for {
		if err := r.fill(); err != nil {
			return nil, err
		}
		n, complete := r.splitter.split(r.unread[:min(len(r.unread), maxListBytes-r.splitter.size)])
		r.unread = r.unread[n:]
		if complete {
			return r.splitter.text, nil
		}
		if len(r.unread) > 0 {
			return nil, InvalidListError{Err: errListTooLong}
		}
	}
}

// fill reads until there are unread bytes. Bytes returned together with an error are processed first; the next read returns the error
// again.
func (r *listReader) fill() error {
	for len(r.unread) == 0 {
		n, err := r.input.Read(r.buffer[:])
		r.unread = r.buffer[:n]
		if n == 0 && err != nil {
			return fmt.Errorf("read changes: %w", err)
		}
	}
	return nil
}
