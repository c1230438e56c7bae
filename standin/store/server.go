package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

// maxBody bounds a request's body: the largest transaction in base64.
const maxBody = 4 << 20

// Server speaks the gateway's HTTP in front of an Engine and carries out the
// faults. It is an http.Handler and Faults.
type Server struct {
	engine *Engine
	faults *faults
	mux    *http.ServeMux
}

var _ Faults = (*Server)(nil)

// NewServer returns a server without faults.
func NewServer(e *Engine) *Server {
	s := &Server{engine: e, faults: newFaults(e.clock), mux: http.NewServeMux()}
	unary(s, "/v3/kv/range", KindRange, s.kvRange)
	unary(s, "/v3/kv/put", KindPut, s.kvPut)
	unary(s, "/v3/kv/deleterange", KindDeleteRange, s.kvDelete)
	unary(s, "/v3/kv/txn", KindTxn, s.kvTxn)
	unary(s, "/v3/lease/grant", KindGrant, s.leaseGrant)
	unary(s, "/v3/lease/revoke", KindRevoke, s.leaseRevoke)
	unary(s, "/v3/kv/lease/revoke", KindRevoke, s.leaseRevoke)
	unary(s, "/v3/lease/keepalive", KindKeepAlive, s.leaseKeepAlive)
	s.mux.HandleFunc("POST /v3/watch", s.watch)
	return s
}

// Engine returns the engine behind the server.
func (s *Server) Engine() *Engine { return s.engine }

// Counts returns the calls so far.
func (s *Server) Counts() Counts { return s.faults.snapshot() }

// SetOutage implements Faults.
func (s *Server) SetOutage(o Outage) error { return s.faults.setOutage(o) }

// SetDelay implements Faults.
func (s *Server) SetDelay(d time.Duration, kinds ...Kind) { s.faults.setDelay(d, kinds) }

// LoseAnswers implements Faults.
func (s *Server) LoseAnswers(n int, kinds ...Kind) { s.faults.loseAnswers(n, kinds) }

// SetLimits implements Faults.
func (s *Server) SetLimits(writes, reads float64) { s.faults.setLimits(writes, reads) }

// Restore implements Faults.
func (s *Server) Restore(revision int64) error { return s.engine.Restore(revision) }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// unary registers a call with one request and one answer.
func unary[Req, Resp any](s *Server, path string, k Kind, run func(*Req) (Resp, error)) {
	s.mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		req, err := decode[Req](w, r)
		if err != nil {
			replyError(w, err)
			return
		}
		if err := s.faults.admit(r.Context(), k); err != nil {
			replyError(w, err)
			return
		}
		resp, err := run(req)
		if s.faults.losesAnswer(k) {
			err = errCut
		}
		if err != nil {
			replyError(w, err)
			return
		}
		reply(w, http.StatusOK, resp)
	})
}

// badRequest is an error of the caller's message.
type badRequest struct{ err error }

func (e *badRequest) Error() string { return e.err.Error() }

func decode[Req any](w http.ResponseWriter, r *http.Request) (*Req, error) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		return nil, &badRequest{err}
	}
	req := new(Req)
	if err := json.Unmarshal(body, req); err != nil {
		return nil, &badRequest{err}
	}
	return req, nil
}

func (s *Server) kvRange(m *rangeRequest) (*rangeResponse, error) {
	r, revision, err := s.engine.Range(m.toRange())
	return newRangeResponse(r, revision), err
}

func (s *Server) kvPut(m *putRequest) (*putResponse, error) {
	revision, err := s.engine.Put(m.toPut())
	return &putResponse{Header: newHeader(revision)}, err
}

func (s *Server) kvDelete(m *deleteRequest) (*deleteResponse, error) {
	deleted, revision, err := s.engine.Delete(keyRange(m.Key, m.RangeEnd))
	return &deleteResponse{Header: newHeader(revision), Deleted: int64Text(deleted)}, err
}

func (s *Server) kvTxn(m *txnRequest) (*txnResponse, error) {
	t := m.toTxn()
	r, err := s.engine.Txn(t)
	if err != nil {
		return nil, err
	}
	return newTxnResponse(t, r), nil
}

func (s *Server) leaseGrant(m *leaseRequest) (*leaseResponse, error) {
	id, ttl := s.engine.Grant(time.Duration(m.TTL) * time.Second)
	return s.leaseResponse(id, ttl), nil
}

func (s *Server) leaseRevoke(m *leaseRequest) (*leaseResponse, error) {
	err := s.engine.Revoke(int64(m.ID))
	return &leaseResponse{Header: newHeader(s.engine.Revision())}, err
}

func (s *Server) leaseKeepAlive(m *leaseRequest) (*streamMessage[*leaseResponse], error) {
	ttl := s.engine.KeepAlive(int64(m.ID))
	return &streamMessage[*leaseResponse]{s.leaseResponse(int64(m.ID), ttl)}, nil
}

func (s *Server) leaseResponse(id int64, ttl time.Duration) *leaseResponse {
	return &leaseResponse{Header: newHeader(s.engine.Revision()), ID: int64Text(id), TTL: int64Text(ttl / time.Second)}
}

// watch streams changes until the caller goes away or the service stops it.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	req, err := decode[watchRequest](w, r)
	if err == nil && req.Create == nil {
		err = &badRequest{errors.New("create_request is missing")}
	}
	if err == nil {
		err = s.faults.admit(r.Context(), KindWatch)
	}
	if err != nil {
		replyError(w, err)
		return
	}
	s.faults.watchOpened(1)
	defer s.faults.watchOpened(-1)
	watcher := s.engine.Watch(keyRange(req.Create.Key, req.Create.RangeEnd), int64(req.Create.StartRevision))
	out := json.NewEncoder(w)
	send(w, out, &watchResponse{Header: newHeader(s.engine.Revision()), Created: true})
	for {
		events, revision, err := s.next(r.Context(), watcher)
		switch {
		case errors.Is(err, ErrCompacted):
			send(w, out, &watchResponse{Header: newHeader(s.engine.Revision()), Canceled: true,
				CompactRevision: int64Text(revision), CancelReason: err.Error()})
			return
		case err != nil:
			panic(http.ErrAbortHandler)
		}
		send(w, out, newWatchResponse(events, revision))
	}
}

// next waits for changes. An outage that refuses ends the watch; a silent one
// holds the changes back, also those that came just before it.
func (s *Server) next(ctx context.Context, w *Watcher) ([]Event, int64, error) {
	for {
		_, changed := s.faults.current()
		if err := s.faults.waitOutage(ctx); err != nil {
			return nil, 0, err
		}
		events, revision, err := w.Next(ctx, changed)
		if err != nil {
			return nil, revision, err
		}
		if len(events) > 0 {
			return events, revision, s.faults.waitOutage(ctx)
		}
	}
}

func send(w http.ResponseWriter, out *json.Encoder, m *watchResponse) {
	// A write to a caller that is gone ends with the request's context.
	_ = out.Encode(streamMessage[*watchResponse]{m})
	_ = http.NewResponseController(w).Flush()
}

func reply(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode answer: %v", err))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
