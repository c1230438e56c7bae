package front

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"errors"
	"expvar"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// startReserve is how many connections beyond MaxConnections may be in
	// their startup, so that a caller above the bound is told so, and a
	// CancelRequest gets through at the bound.
	startReserve = 100
	// acceptPause is the wait after a failed accept, such as one for want of
	// file descriptors.
	acceptPause = 50 * time.Millisecond
	// refusedRetry is when a caller above a bound is told to come back.
	refusedRetry = time.Second
	sessionBytes = 8
)

// Server serves callers.
type Server struct {
	options    Options
	tls        *tls.Config
	workspaces *workspaces
	keys       keyring
	metrics    *metrics
	countError func(state string)
	// parameters are the encoded ParameterStatus messages.
	parameters []byte
	// instance begins the names of default sessions; it differs in each run.
	instance string

	busy     busySet
	tick     atomic.Int64
	draining atomic.Bool

	mu        sync.Mutex
	listeners map[net.Listener]struct{}
	callers   map[uint64]*caller
	admitted  int
	byUser    map[string]int
	byAddress map[string]int
	lastID    uint64
	// empty is closed when a draining server has lost its last caller.
	empty chan struct{}
}

// New checks the options and returns a Server.
func New(options Options) (*Server, error) {
	if err := options.complete(); err != nil {
		return nil, err
	}
	instance := make([]byte, sessionBytes)
	rand.Read(instance)
	s := &Server{
		options:    options,
		workspaces: newWorkspaces(options.MaxMessage, options.MaxBatch),
		keys:       keyring{tag: KeyTag(options.Daemon), callers: make(map[cancelKey]*caller)},
		metrics:    newMetrics(),
		instance:   hex.EncodeToString(instance),
		listeners:  make(map[net.Listener]struct{}),
		callers:    make(map[uint64]*caller),
		byUser:     make(map[string]int),
		byAddress:  make(map[string]int),
		empty:      make(chan struct{}),
	}
	s.countError = s.metrics.countError
	s.tick.Store(1)
	if options.Certificate != nil {
		s.tls = options.Certificate.config()
	}
	parameters := maps.Clone(defaultParameters)
	maps.Copy(parameters, options.Parameters)
	for _, name := range slices.Sorted(maps.Keys(parameters)) {
		s.parameters = appendParameter(s.parameters, name, parameters[name])
	}
	return s, nil
}

// Metrics returns the server's counters, to be published by expvar.
func (s *Server) Metrics() expvar.Var { return &s.metrics.vars }

// ReloadCertificate reads the TLS certificate's files again now.
func (s *Server) ReloadCertificate() error {
	if s.options.Certificate == nil {
		return nil
	}
	return s.options.Certificate.Reload()
}

// CancelKey cancels the request of the caller that holds the key. It reports
// false when there is no such caller.
func (s *Server) CancelKey(pid, secret uint32) bool {
	c := s.keys.find(cancelKey{pid, secret})
	if c == nil {
		return false
	}
	c.cancelRunning()
	return true
}

// Serve accepts callers from the listener until Shutdown is called, and
// returns nil when the last of them has gone, or at once if Shutdown was
// called before. When ctx ends, callers are cut off; a graceful stop keeps ctx
// alive until Shutdown has returned.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	if !s.open(listener) {
		return listener.Close()
	}
	stop := context.AfterFunc(ctx, func() {
		listener.Close()
		s.cutOff()
	})
	defer stop()
	watching, stopWatching := context.WithCancel(context.WithoutCancel(ctx))
	var watch, callers errgroup.Group
	watch.Go(func() error { return s.watch(watching) })
	err := s.accept(ctx, listener, &callers)
	callers.Wait()
	stopWatching()
	return errors.Join(err, watch.Wait())
}

// open registers the listener. It reports false after Shutdown.
func (s *Server) open(listener net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining.Load() {
		return false
	}
	s.listeners[listener] = struct{}{}
	return true
}

// accept runs a goroutine for each caller until the listener is closed.
func (s *Server) accept(ctx context.Context, listener net.Listener, group *errgroup.Group) error {
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			if c := s.add(ctx, conn); c != nil {
				group.Go(func() error {
					c.run()
					return nil
				})
			}
		case errors.Is(err, net.ErrClosed):
			if s.draining.Load() || ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("front: accept: %w", err)
		default:
			s.options.Logger.Warn("accept failed", "error", err)
			time.Sleep(acceptPause)
		}
	}
}

// closeEmpty reports that no caller is left; s.mu is held.
func (s *Server) closeEmpty() {
	select {
	case <-s.empty:
	default:
		close(s.empty)
	}
}

// Shutdown stops accepting, closes idle callers at once with SQLSTATE 57P01
// and lets requests and transactions in flight finish. When ctx ends before
// they have, it cuts the rest off and returns ctx's error.
func (s *Server) Shutdown(ctx context.Context) error {
	callers := s.beginDrain()
	for _, c := range callers {
		c.drain()
	}
	select {
	case <-s.empty:
		return nil
	case <-ctx.Done():
		s.cutOff()
		return ctx.Err()
	}
}

func (s *Server) beginDrain() []*caller {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining.Store(true)
	for listener := range s.listeners {
		listener.Close()
	}
	if len(s.callers) == 0 {
		s.closeEmpty()
	}
	return slices.Collect(maps.Values(s.callers))
}

// cutOff closes all connections. Their goroutines find out and end; requests
// in flight end by their context. The socket is closed first: the error of a
// cancelled request could otherwise still go out, or not.
func (s *Server) cutOff() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.callers {
		c.socket.Close()
		c.cancel()
	}
}
