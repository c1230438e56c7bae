package peer

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/yamux"
	"golang.org/x/sync/errgroup"

	"limpetspan/core"
)

// txIdle is the ReadyForQuery status outside a transaction.
const txIdle = 'I'

const (
	// housekeepingInterval is how often sessions are looked over.
	housekeepingInterval = 500 * time.Millisecond
	// dialPause is how long a failed attempt to connect stands for others.
	dialPause = 100 * time.Millisecond
	// defaultDialTimeout and defaultIdleTimeout stand in for unset options.
	defaultDialTimeout = time.Second
	defaultIdleTimeout = time.Minute
)

// errClosed is the failure of calls on a closed client.
var errClosed = errors.New("peer client is closed")

// ClientOptions configure a Client.
type ClientOptions struct {
	// TLS of both ends, from TLS.Client; nil: plain TCP.
	TLS *tls.Config
	// DialTimeout bounds connecting, the TLS handshake included.
	DialTimeout time.Duration
	// IdleTimeout closes connections that carried nothing for so long.
	IdleTimeout time.Duration
	// Now is the process's monotonic clock.
	Now func() core.Time
	Log hclog.Logger
	// Dial replaces net.Dialer in tests.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
}

// Client sends exchanges and calls to other daemons. It keeps at most one
// connection in use per daemon, and only to daemons that are in use.
type Client struct {
	options ClientOptions

	mu    sync.Mutex
	peers map[string]*peerState
	// sessions are all open connections, those out of use included.
	sessions map[*session]struct{}
	// open says over which connection each caller with an open transaction
	// was last served. Such a connection is kept: its end rolls them back.
	open   map[core.CallerID]*session
	closed bool
}

// peerState is the present connection to one address.
type peerState struct {
	current *session
	// dialing is non-nil while a connection is being made, and for a short
	// time after that failed: of the many requests for a daemon that is gone
	// most then fail at once and try another daemon.
	dialing *dial
}

// dial is one attempt to connect, shared by all who wait for it.
type dial struct {
	done    chan struct{}
	session *session
	err     error
}

// NewClient returns a client; Run must be called for it to notice silent and
// idle connections.
func NewClient(options ClientOptions) *Client {
	if options.DialTimeout <= 0 {
		options.DialTimeout = defaultDialTimeout
	}
	if options.IdleTimeout <= 0 {
		options.IdleTimeout = defaultIdleTimeout
	}
	if options.Log == nil {
		options.Log = hclog.NewNullLogger()
	}
	if options.Dial == nil {
		options.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		}
	}
	return &Client{
		options:  options,
		peers:    make(map[string]*peerState),
		sessions: make(map[*session]struct{}),
		open:     make(map[core.CallerID]*session),
	}
}

// Run looks after the connections until ctx ends, then closes them.
func (c *Client) Run(ctx context.Context) error {
	var pings errgroup.Group
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			c.Close()
			return pings.Wait()
		case <-ticker.C:
			c.lookOver(&pings)
		}
	}
}

// Close closes all connections; exchanges in flight fail.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	sessions := c.sessions
	c.sessions = make(map[*session]struct{})
	c.peers = make(map[string]*peerState)
	c.mu.Unlock()
	for s := range sessions {
		s.close()
	}
}

// Connections returns the number of open connections.
func (c *Client) Connections() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.sessions)
}

// session returns a live session to addr, connecting if there is none.
func (c *Client) session(ctx context.Context, addr string) (*session, error) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return nil, errClosed
	}
	p := c.peers[addr]
	if p == nil {
		p = &peerState{}
		c.peers[addr] = p
	}
	if p.current != nil && p.current.usable() {
		s := p.current
		c.mu.Unlock()
		return s, nil
	}
	if p.dialing == nil {
		p.dialing = &dial{done: make(chan struct{})}
		go c.connect(addr, p, p.dialing)
	}
	d := p.dialing
	c.mu.Unlock()
	select {
	case <-d.done:
		return d.session, d.err
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// connect runs apart from the request that asked for it, so that a request
// that is given up does not fail the others that wait for the connection.
func (c *Client) connect(addr string, p *peerState, d *dial) {
	ctx, cancel := context.WithTimeout(context.Background(), c.options.DialTimeout)
	defer cancel()
	d.session, d.err = c.dial(ctx, addr)
	c.mu.Lock()
	defer c.mu.Unlock()
	defer close(d.done)
	switch {
	case d.err != nil:
		p.current = nil
		time.AfterFunc(dialPause, func() { c.forgetDial(addr, p) })
		return
	case c.closed:
		d.session.close()
		d.session, d.err = nil, errClosed
	default:
		p.current = d.session
		c.sessions[d.session] = struct{}{}
	}
	p.dialing = nil
}

// forgetDial lets the next request try to connect again.
func (c *Client) forgetDial(addr string, p *peerState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p.dialing = nil
	if p.current == nil && c.peers[addr] == p {
		delete(c.peers, addr)
	}
}

func (c *Client) dial(ctx context.Context, addr string) (*session, error) {
	conn, err := c.options.Dial(ctx, addr)
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	setKeepAlive(conn)
	if c.options.TLS != nil {
		secure := tls.Client(conn, c.options.TLS)
		if err := secure.HandshakeContext(ctx); err != nil {
			conn.Close()
			return nil, fmt.Errorf("TLS handshake: %w", err)
		}
		conn = secure
	}
	mux, err := yamux.Client(&joinedConn{Conn: conn}, yamuxConfig(c.options.Log))
	if err != nil {
		conn.Close()
		return nil, fmt.Errorf("start yamux: %w", err)
	}
	if err := greet(ctx, mux); err != nil {
		_ = mux.Close()
		return nil, fmt.Errorf("greet: %w", err)
	}
	return newSession(mux, addr, c.options.Now), nil
}

// greet waits until the other end has answered once. Something in between, such
// as a forwarder whose own target is gone, may accept connections and end them
// after the first bytes: a write that was sent blindly would be unknown then,
// instead of not run.
func greet(ctx context.Context, mux *yamux.Session) error {
	answered := make(chan error, 1)
	go func() {
		_, err := mux.Ping()
		answered <- err
	}()
	select {
	case err := <-answered:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// retire takes a closed session out of use.
func (c *Client) retire(s *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.sessions, s)
	for caller, at := range c.open {
		if at == s {
			delete(c.open, caller)
		}
	}
	if p := c.peers[s.addr]; p != nil && p.current == s {
		p.current = nil
		if p.dialing == nil {
			delete(c.peers, s.addr)
		}
	}
}

// noteTransaction records whether the caller has an open transaction.
func (c *Client) noteTransaction(s *session, caller core.CallerID, before, after byte) {
	if before == txIdle && after == txIdle {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if previous := c.open[caller]; previous != nil {
		previous.transactions.Add(-1)
		delete(c.open, caller)
	}
	if after != txIdle && !c.closed {
		c.open[caller] = s
		s.transactions.Add(1)
	}
}

// forgetTransaction drops the record of a caller that is gone.
func (c *Client) forgetTransaction(caller core.CallerID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.open[caller]; s != nil {
		s.transactions.Add(-1)
		delete(c.open, caller)
	}
}
