package storetest

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
)

// Transport is an http.RoundTripper that hands requests to a handler in the
// same process and streams the answer. A handler that aborts looks like a
// connection that broke.
type Transport struct {
	handler http.Handler
	down    atomic.Bool
}

// NewTransport returns a transport to the handler.
func NewTransport(h http.Handler) *Transport { return &Transport{handler: h} }

// SetDown makes connecting fail, as when no process listens.
func (t *Transport) SetDown(down bool) { t.down.Store(down) }

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.down.Load() {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: errors.New("connection refused")}
	}
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	in, out := io.Pipe()
	w := &responseWriter{header: make(http.Header), body: out, started: make(chan struct{})}
	stop := watchContext(r, out)
	go func() {
		defer stop()
		defer func() {
			switch v := recover(); v {
			case nil:
			case http.ErrAbortHandler:
				w.fail(io.ErrUnexpectedEOF)
				return
			default:
				panic(v)
			}
			w.WriteHeader(http.StatusOK)
			_ = out.Close()
		}()
		t.handler.ServeHTTP(w, r)
	}()
	select {
	case <-r.Context().Done():
		return nil, r.Context().Err()
	case <-w.started:
	}
	if w.err != nil {
		return nil, w.err
	}
	return &http.Response{StatusCode: w.status, Status: http.StatusText(w.status), Proto: "HTTP/1.1", ProtoMajor: 1,
		ProtoMinor: 1, Header: w.header, Body: in, ContentLength: -1, Request: r}, nil
}

// watchContext breaks the answer when the request's context ends.
func watchContext(r *http.Request, out *io.PipeWriter) (stop func()) {
	done := make(chan struct{})
	go func() {
		select {
		case <-r.Context().Done():
			_ = out.CloseWithError(r.Context().Err())
		case <-done:
		}
	}()
	return func() { close(done) }
}

// responseWriter passes an answer on as it is written.
type responseWriter struct {
	header  http.Header
	body    *io.PipeWriter
	once    sync.Once
	started chan struct{}
	status  int
	err     error
}

func (w *responseWriter) Header() http.Header { return w.header }

// Flush does nothing: a pipe keeps nothing back.
func (w *responseWriter) Flush() {}

func (w *responseWriter) WriteHeader(status int) {
	w.once.Do(func() {
		w.status = status
		close(w.started)
	})
}

func (w *responseWriter) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	return w.body.Write(p)
}

func (w *responseWriter) fail(err error) {
	w.once.Do(func() {
		w.err = err
		close(w.started)
	})
	_ = w.body.CloseWithError(err)
}
