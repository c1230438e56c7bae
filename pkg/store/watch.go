package store

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"
)

// watchBuffer is how many events wait for a slow consumer before the stream
// itself is held up.
const watchBuffer = 64

// Watch implements Store. It returns once the service has confirmed the watch.
// ErrCompacted asks the consumer to list anew: events were forgotten, or the
// store has gone back behind the given revision. As the service tells of a
// compaction only after it confirmed the watch, the channel may be closed
// first; the next Watch of the prefix then returns ErrCompacted once.
func (c *Client) Watch(ctx context.Context, prefix string, after Revision) (<-chan Event, error) {
	if c.takeCompacted(prefix) {
		return nil, ErrCompacted
	}
	ctx, cancel := context.WithCancel(ctx)
	w := &watch{client: c, prefix: prefix, cancel: cancel, events: make(chan Event, watchBuffer)}
	if err := w.open(ctx, after); err != nil {
		w.close()
		return nil, c.failed(callWatch, err)
	}
	go w.run(ctx)
	return w.events, nil
}

func (c *Client) takeCompacted(prefix string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	found := c.compacted[prefix]
	delete(c.compacted, prefix)
	return found
}

func (c *Client) noteCompacted(prefix string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.compacted[prefix] = true
}

// watch is one open stream.
type watch struct {
	client *Client
	prefix string
	cancel context.CancelFunc
	body   io.ReadCloser
	in     *json.Decoder
	events chan Event
}

func (w *watch) open(ctx context.Context, after Revision) error {
	// The timer bounds the opening only; a stream has no deadline of its own.
	timer := time.AfterFunc(w.client.timeout, w.cancel)
	defer timer.Stop()
	req := &watchRequest{Create: watchCreate{Key: prefixStart(w.prefix), RangeEnd: prefixEnd(w.prefix), StartRevision: int64Text(after + 1)}}
	body, err := w.client.send(ctx, callWatch, req)
	if err != nil {
		return err
	}
	w.body, w.in = body, json.NewDecoder(body)
	var first watchResponse
	if err := w.in.Decode(&first); err != nil {
		return callWatch.lost(err)
	}
	if !first.Result.Created {
		return fmt.Errorf("%w: the watch was not confirmed", ErrRefused)
	}
	// Prevents a silent wait for revisions that a restored store has yet to
	// reach again: changes made on the way there would never be seen.
	if Revision(first.Result.Header.Revision) < after {
		return ErrCompacted
	}
	return nil
}

// run delivers events until the stream ends, is idle for too long, or the
// consumer is gone.
func (w *watch) run(ctx context.Context) {
	defer close(w.events)
	defer w.close()
	idle := time.AfterFunc(w.client.watchIdle, w.cancel)
	defer idle.Stop()
	for {
		var resp watchResponse
		if err := w.in.Decode(&resp); err != nil {
			return
		}
		if resp.Result.Canceled {
			if resp.Result.CompactRevision > 0 {
				w.client.noteCompacted(w.prefix)
			}
			return
		}
		idle.Reset(w.client.watchIdle)
		for _, ev := range resp.Result.Events {
			select {
			case w.events <- Event{KeyValue: ev.KV.toKeyValue(), Deleted: ev.Type == "DELETE"}:
			case <-ctx.Done():
				return
			}
		}
	}
}

func (w *watch) close() {
	w.cancel()
	if w.body != nil {
		_ = w.body.Close()
	}
}
