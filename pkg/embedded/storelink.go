package embedded

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
)

// watchPath is where the gateway takes watches.
const watchPath = "/v3/watch"

// StoreLink is one daemon's network path to the store. While it is cut, calls
// and waiting watches go silent, as behind a firewall that drops packets; the
// other daemons' paths are not affected.
type StoreLink struct {
	store http.Handler
	// watches counts the waiting watches.
	watches atomic.Int32

	mu sync.Mutex
	// restored is closed when the link works; a new one stands for a cut.
	restored chan struct{}
}

func newStoreLink(store http.Handler) *StoreLink {
	l := &StoreLink{store: store, restored: make(chan struct{})}
	close(l.restored)
	return l
}

// Cut makes the link silent.
func (l *StoreLink) Cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.works() {
		l.restored = make(chan struct{})
	}
}

// Watches reports whether the daemon has a watch waiting over the link.
func (l *StoreLink) Watches() bool { return l.watches.Load() > 0 }

// Restore ends the cut.
func (l *StoreLink) Restore() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.works() {
		close(l.restored)
	}
}

func (l *StoreLink) works() bool {
	select {
	case <-l.restored:
		return true
	default:
		return false
	}
}

// wait returns when the link works, false when the request ended before.
func (l *StoreLink) wait(r *http.Request) bool {
	l.mu.Lock()
	restored := l.restored
	l.mu.Unlock()
	select {
	case <-restored:
		return true
	case <-r.Context().Done():
		return false
	}
}

// ServeHTTP passes a call on once the link works. The body is read first:
// before that the server does not notice that the client has given up, and the
// call would take effect after the cut.
func (l *StoreLink) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	r.Body = io.NopCloser(bytes.NewReader(body))
	if r.URL.Path == watchPath {
		l.watches.Add(1)
		defer l.watches.Add(-1)
	}
	if l.wait(r) {
		l.store.ServeHTTP(&linkWriter{ResponseWriter: w, link: l, request: r}, r)
	}
}

// linkWriter holds answers back while the link is cut.
type linkWriter struct {
	http.ResponseWriter
	link    *StoreLink
	request *http.Request
}

// Write implements http.ResponseWriter.
func (w *linkWriter) Write(p []byte) (int, error) {
	if !w.link.wait(w.request) {
		return 0, http.ErrAbortHandler
	}
	return w.ResponseWriter.Write(p)
}

// Unwrap gives http.ResponseController the writer below.
func (w *linkWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
