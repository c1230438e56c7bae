package operator

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/hashicorp/go-hclog"
)

// More paths of the interface.
const (
	// PathVars (GET) answers all metrics of the process.
	PathVars = "/debug/vars"
	// PathHealth (GET) answers 200 while the process runs.
	PathHealth = "/healthz"
	// PathReady (GET) answers 200 while callers may be sent here, else 503.
	PathReady = "/readyz"
	// PathConfigWait (GET, query revision=N) answers a Revision once the daemon
	// has the revision in force, 504 when that takes too long.
	PathConfigWait = "/config/wait"
)

const (
	headerTimeout = 5 * time.Second
	// maxConfigWait bounds the answer to PathConfigWait.
	maxConfigWait = 30 * time.Second
	stopTimeout   = time.Second
)

// Revision is the answer to PathConfigWait.
type Revision struct {
	ConfigRevision uint64 `json:"config_revision"`
}

// Failure is the JSON form of a refusal.
type Failure struct {
	Error string `json:"error"`
}

// Daemon is what the server shows and steers.
type Daemon interface {
	// Status is the present status, with the view of the fleet if asked for.
	Status(fleet bool) *Status
	// Ready is nil while callers may be sent here.
	Ready() error
	// Drain begins the planned stop and returns at once.
	Drain()
	// AwaitRevision returns the revision in force once it is at least the given one.
	AwaitRevision(ctx context.Context, revision uint64) (uint64, error)
	// Verify compares both sides of the kind's take-over.
	Verify(ctx context.Context, kind string) (*Verification, error)
}

// Server serves the interface.
type Server struct {
	daemon Daemon
	log    hclog.Logger
}

// NewServer returns a server for the daemon.
func NewServer(daemon Daemon, log hclog.Logger) *Server {
	return &Server{daemon: daemon, log: log}
}

// Serve answers operators until ctx ends.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	server := &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: headerTimeout,
		ErrorLog:          s.log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
		BaseContext:       func(net.Listener) context.Context { return ctx },
	}
	stop := context.AfterFunc(ctx, func() {
		bounded, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		if server.Shutdown(bounded) != nil {
			_ = server.Close()
		}
	})
	defer stop()
	if err := server.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Handler returns the HTTP handler.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+PathVars, expvar.Handler())
	mux.HandleFunc("GET "+PathHealth, func(w http.ResponseWriter, _ *http.Request) { s.answer(w, http.StatusOK, struct{}{}) })
	mux.HandleFunc("GET "+PathReady, s.ready)
	mux.HandleFunc("GET "+PathStatus, s.status)
	mux.HandleFunc("POST "+PathDrain, s.drain)
	mux.HandleFunc("GET "+PathConfigWait, s.configWait)
	mux.HandleFunc("POST "+PathVerify, s.verify)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		s.refuse(w, http.StatusNotFound, "no such path or method: "+r.Method+" "+r.URL.Path)
	})
	return mux
}

func (s *Server) ready(w http.ResponseWriter, _ *http.Request) {
	if err := s.daemon.Ready(); err != nil {
		s.refuse(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	s.answer(w, http.StatusOK, struct{}{})
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	s.answer(w, http.StatusOK, s.daemon.Status(r.URL.Query().Get("fleet") == "true"))
}

func (s *Server) drain(w http.ResponseWriter, r *http.Request) {
	s.log.Info("planned stop asked for", "step", "operator.drain", "peer", r.RemoteAddr)
	s.daemon.Drain()
	s.answer(w, http.StatusAccepted, struct{}{})
}

func (s *Server) configWait(w http.ResponseWriter, r *http.Request) {
	revision, err := strconv.ParseUint(r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		s.refuse(w, http.StatusBadRequest, "query revision: not a number")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), maxConfigWait)
	defer cancel()
	current, err := s.daemon.AwaitRevision(ctx, revision)
	if err != nil {
		s.refuse(w, http.StatusGatewayTimeout, "revision "+strconv.FormatUint(current, 10)+" is in force")
		return
	}
	s.answer(w, http.StatusOK, Revision{ConfigRevision: current})
}

func (s *Server) verify(w http.ResponseWriter, r *http.Request) {
	kind := r.URL.Query().Get("kind")
	if kind == "" {
		s.refuse(w, http.StatusBadRequest, "query kind: missing")
		return
	}
	v, err := s.daemon.Verify(r.Context(), kind)
	if err != nil {
		s.refuse(w, http.StatusConflict, err.Error())
		return
	}
	s.answer(w, http.StatusOK, v)
}

func (s *Server) refuse(w http.ResponseWriter, code int, message string) {
	s.answer(w, code, Failure{Error: message})
}

func (s *Server) answer(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		s.log.Debug("answer to operator not sent", "step", "operator.answer", "error", err)
	}
}
