// Package control is the fault injection address of the stand-ins: an
// http.Handler at which each stand-in registers its faults by path, to be set
// by a JSON POST. GET / lists what is registered.
package control

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"sort"
	"sync"
)

// MaxBody bounds the body of a POST, in bytes.
const MaxBody = 1 << 20

// Func carries out one POST. Its argument is the request body, "{}" when the
// body was empty; what it returns is sent back as JSON. A *StatusError decides
// the status of the answer, any other error gives 400.
type Func func(ctx context.Context, arg json.RawMessage) (any, error)

// StatusError is an error with an HTTP status.
type StatusError struct {
	Status int
	Err    error
}

func (e *StatusError) Error() string { return e.Err.Error() }

// Unwrap returns the error without its status.
func (e *StatusError) Unwrap() error { return e.Err }

// Endpoint describes one registered path.
type Endpoint struct {
	Path string `json:"path"`
	// Doc says in one line what the path does and shows a body.
	Doc string `json:"doc"`
}

// Mux routes fault injection requests. It is safe for concurrent use.
type Mux struct {
	mu        sync.RWMutex
	endpoints map[string]endpoint
}

type endpoint struct {
	doc string
	run Func
}

// New returns an empty Mux.
func New() *Mux { return &Mux{endpoints: make(map[string]endpoint)} }

// Handle registers f for POST requests to path, which begins with a slash. A
// later registration of the same path replaces the earlier one, so that a
// restarted stand-in takes its place again.
func (m *Mux) Handle(path, doc string, f func(ctx context.Context, arg json.RawMessage) (any, error)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endpoints[path] = endpoint{doc: doc, run: f}
}

// Endpoints lists what is registered, by path.
func (m *Mux) Endpoints() []Endpoint {
	m.mu.RLock()
	defer m.mu.RUnlock()
	list := make([]Endpoint, 0, len(m.endpoints))
	for path, e := range m.endpoints {
		list = append(list, Endpoint{Path: path, Doc: e.doc})
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Path < list[j].Path })
	return list
}

// ServeHTTP answers GET / with the list of endpoints and POST with the result
// of the endpoint.
func (m *Mux) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet && r.URL.Path == "/" {
		reply(w, http.StatusOK, m.Endpoints())
		return
	}
	m.mu.RLock()
	e, ok := m.endpoints[r.URL.Path]
	m.mu.RUnlock()
	if !ok {
		replyError(w, http.StatusNotFound, errors.New("no such path; GET / lists them"))
		return
	}
	if r.Method != http.MethodPost {
		replyError(w, http.StatusMethodNotAllowed, errors.New("use POST with a JSON body"))
		return
	}
	arg, err := readBody(w, r)
	if err != nil {
		replyError(w, http.StatusBadRequest, err)
		return
	}
	result, err := e.run(r.Context(), arg)
	if err != nil {
		replyError(w, statusOf(err), err)
		return
	}
	if result == nil {
		result = struct{}{}
	}
	reply(w, http.StatusOK, result)
}

func readBody(w http.ResponseWriter, r *http.Request) (json.RawMessage, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBody))
	if err != nil {
		return nil, err
	}
	if len(body) == 0 {
		return json.RawMessage("{}"), nil
	}
	if !json.Valid(body) {
		return nil, errors.New("the body is not JSON")
	}
	return body, nil
}

func statusOf(err error) int {
	if e, ok := errors.AsType[*StatusError](err); ok {
		return e.Status
	}
	return http.StatusBadRequest
}

func reply(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		replyError(w, http.StatusInternalServerError, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The peer is gone if this fails; there is nobody to tell.
	_, _ = w.Write(append(body, '\n'))
}

func replyError(w http.ResponseWriter, status int, err error) {
	reply(w, status, struct {
		Error string `json:"error"`
	}{err.Error()})
}
