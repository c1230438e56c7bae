package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/yamux"
	"golang.org/x/sync/errgroup"

	"limpetspan/core"
	"limpetspan/pkg/exchange"
	"limpetspan/pkg/peer/peerpb"
)

const (
	// handshakeTimeout bounds the TLS handshake of a new connection.
	handshakeTimeout = 10 * time.Second
	// quietPeriod is how long a server that stops must have carried nothing:
	// daemons that have not heard of the stop still get their "not home".
	quietPeriod = 200 * time.Millisecond
	// quietPoll is how often that is looked at.
	quietPoll = 20 * time.Millisecond
	// defaultMaxRequest bounds the frontend messages of one request.
	defaultMaxRequest = 32 << 20
)

// Calls answers the unary calls of other daemons, apart from those that end a
// caller's work, which the server passes to its Handler.
type Calls interface {
	Call(ctx context.Context, call *peerpb.Call) (*peerpb.Reply, error)
}

// ServerOptions configure a Server.
type ServerOptions struct {
	// Handler runs the exchanges that other daemons forward.
	Handler exchange.Handler
	Calls   Calls
	// TLS from TLS.Server; nil: plain TCP.
	TLS *tls.Config
	// MaxRequest bounds the frontend messages of one request, in bytes.
	MaxRequest int64
	// Now is the process's monotonic clock.
	Now func() core.Time
	Log hclog.Logger
}

// Server takes the connections of other daemons.
type Server struct {
	options ServerOptions
	// inflight counts exchanges and calls; lastUse is when one last ended.
	inflight atomic.Int64
	lastUse  atomic.Int64

	mu       sync.Mutex
	sessions map[*serverSession]struct{}
	// open says over which connection each caller with an open transaction
	// was last served.
	open    map[core.CallerID]*serverSession
	closing bool
}

// serverSession is one connection of another daemon.
type serverSession struct {
	mux  *yamux.Session
	addr string
}

// NewServer returns a server.
func NewServer(options ServerOptions) *Server {
	if options.Log == nil {
		options.Log = hclog.NewNullLogger()
	}
	if options.MaxRequest <= 0 {
		options.MaxRequest = defaultMaxRequest
	}
	return &Server{
		options:  options,
		sessions: make(map[*serverSession]struct{}),
		open:     make(map[core.CallerID]*serverSession),
	}
}

// Serve accepts connections until ctx ends or the listener is closed, then
// closes those that are left. Call Shutdown first for a planned stop.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(ctx, func() { s.closeAll(ln) })()
	var connections errgroup.Group
	for {
		conn, err := ln.Accept()
		if err != nil {
			cancel()
			s.closeAll(ln)
			_ = connections.Wait()
			return s.acceptError(err)
		}
		connections.Go(func() error {
			s.serveConn(ctx, conn)
			return nil
		})
	}
}

func (s *Server) acceptError(err error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func (s *Server) closeAll(ln net.Listener) {
	s.mu.Lock()
	s.closing = true
	sessions := s.sessions
	s.sessions = make(map[*serverSession]struct{})
	s.mu.Unlock()
	_ = ln.Close()
	for session := range sessions {
		_ = session.mux.Close()
	}
}

// Shutdown tells the peers to open nothing new, and waits until what runs has
// ended and no more requests arrive, or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	for session := range s.sessions {
		_ = session.mux.GoAway()
	}
	s.mu.Unlock()
	started := s.options.Now()
	ticker := time.NewTicker(quietPoll)
	defer ticker.Stop()
	for {
		since := max(started, core.Time(s.lastUse.Load()))
		if s.inflight.Load() == 0 && s.options.Now().Sub(since) >= quietPeriod {
			return nil
		}
		select {
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-ticker.C:
		}
	}
}

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	log := s.options.Log.With("step", "peer.serve", "peer", conn.RemoteAddr().String())
	setKeepAlive(conn)
	if s.options.TLS != nil {
		secure := tls.Server(conn, s.options.TLS)
		handshake, cancel := context.WithTimeout(ctx, handshakeTimeout)
		err := secure.HandshakeContext(handshake)
		cancel()
		if err != nil {
			log.Warn("TLS handshake with peer failed", "error", err)
			_ = conn.Close()
			return
		}
		conn = secure
	}
	mux, err := yamux.Server(&joinedConn{Conn: conn}, yamuxConfig(s.options.Log))
	if err != nil {
		log.Error("cannot start yamux", "error", err)
		_ = conn.Close()
		return
	}
	session := &serverSession{mux: mux, addr: conn.RemoteAddr().String()}
	if !s.add(session) {
		_ = mux.Close()
		return
	}
	s.serveSession(ctx, session)
}

func (s *Server) serveSession(ctx context.Context, session *serverSession) {
	// What a lost connection carried is cancelled: nobody awaits it.
	ctx, cancel := context.WithCancel(ctx)
	var streams errgroup.Group
	for {
		raw, err := session.mux.AcceptStream()
		if err != nil {
			break
		}
		streams.Go(func() error {
			s.serveStream(ctx, session, raw)
			return nil
		})
	}
	cancel()
	_ = session.mux.Close()
	_ = streams.Wait()
	s.remove(session)
}

func (s *Server) add(session *serverSession) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	s.sessions[session] = struct{}{}
	return true
}

// remove rolls back the transactions whose callers were last served over the
// connection. It ends when their entry dies in the middle of a transaction:
// without this, the target's connection would keep its locks until the
// transaction times out.
func (s *Server) remove(session *serverSession) {
	var hungUp []core.CallerID
	s.mu.Lock()
	delete(s.sessions, session)
	for caller, at := range s.open {
		if at == session {
			hungUp = append(hungUp, caller)
			delete(s.open, caller)
		}
	}
	s.mu.Unlock()
	for _, caller := range hungUp {
		s.options.Handler.Hangup(caller)
	}
}

// HangUpEntry rolls back the open transactions of all callers of an entry
// that is known to be dead, before its connections are found to be.
func (s *Server) HangUpEntry(entry core.DaemonID) {
	var hungUp []core.CallerID
	s.mu.Lock()
	for caller := range s.open {
		if caller.Entry == entry {
			hungUp = append(hungUp, caller)
			delete(s.open, caller)
		}
	}
	s.mu.Unlock()
	for _, caller := range hungUp {
		s.options.Handler.Hangup(caller)
	}
}

// noteTransaction records whether the caller has an open transaction.
func (s *Server) noteTransaction(session *serverSession, caller core.CallerID, before, after byte) {
	if before == txIdle && after == txIdle {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if after == txIdle {
		delete(s.open, caller)
	} else {
		s.open[caller] = session
	}
}
