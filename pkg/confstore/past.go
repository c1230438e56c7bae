package confstore

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"

	"github.com/hashicorp/go-hclog"

	"limpetspan/core/config"
	"limpetspan/pkg/store"
)

// past reads the history when the first entry needs it. An entry that cannot be decoded has the value of the last
// change that set it: without it, a take-over's buckets would be served by a group that no longer owns them, and the
// daemon would give the document to its peers and write it back to the store.
type past struct {
	reader *reader
	head   head
	// known is a document of which the daemon knows all entries, or nil.
	known *config.Document
	read  *config.Past
}

// pastValue returns the entry's value before it was overwritten, nil if the document does not have the entry. cause is
// why the entry cannot be decoded.
func pastValue[K ~string, V any](ctx context.Context, p *past, name K, value func(*config.Past, K) (*V, error), cause error) (*V, error) {
	if p.read == nil {
		if err := p.load(ctx); err != nil {
			return nil, errors.Join(cause, err)
		}
	}
	v, err := value(p.read, name)
	if err != nil {
		return nil, fmt.Errorf("%w, and its last change is not in the history: %w", cause, err)
	}
	return v, nil
}

func (p *past) load(ctx context.Context) error {
	kvs, _, err := p.reader.list(ctx, p.reader.keys.changes())
	if err != nil {
		return err
	}
	changes := make(map[config.Revision]*config.Change, len(kvs))
	for _, kv := range kvs {
		record, err := p.reader.decodeRecord(&kv)
		if err == nil && kv.Key == p.reader.keys.change(record.Change.Revision) {
			changes[record.Change.Revision] = &record.Change
		}
	}
	p.read = &config.Past{Revision: p.head.Revision, ChangeID: p.head.ChangeID, Changes: changes, Known: p.known}
	return nil
}

var errNull = errors.New("the value is null")

func decodeEntry[V any](value []byte) (*V, error) {
	entry := new(V)
	if err := config.Decode(value, maxValueSize, entry); err != nil {
		return nil, err
	}
	if bytes.Equal(bytes.TrimSpace(value), []byte("null")) {
		return nil, errNull
	}
	return entry, nil
}

// unreadableValues are the values that were noted, by key.
type unreadableValues struct {
	// log is nil in an editor, whose callers get errors.
	log   hclog.Logger
	mu    sync.Mutex
	noted map[string]store.Revision
}

// maxNoted bounds the keys that are remembered.
const maxNoted = 4096

// noteUnreadable counts and logs each revision of a value that cannot be decoded once.
func (r *reader) noteUnreadable(kv *store.KeyValue, err error) {
	u := &r.unreadable
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.noted[kv.Key] == kv.ModRevision {
		return
	}
	if u.noted == nil || len(u.noted) >= maxNoted {
		u.noted = make(map[string]store.Revision)
	}
	u.noted[kv.Key] = kv.ModRevision
	r.calls.Unreadable.Add(1)
	if u.log != nil {
		u.log.Warn("value of the configuration cannot be decoded", "key", fmt.Sprintf("%+.200q", kv.Key), "revision", kv.ModRevision, "error", fmt.Sprintf("%.300s", err))
	}
}
