package peer

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"golang.org/x/sync/errgroup"

	"limpetspan/core"
	"limpetspan/core/pipeline"
)

const (
	// silenceAfter is how long an awaited answer may leave a connection
	// silent before it is pinged. Answers may take longer; pings may not.
	silenceAfter = time.Second
	// pingTimeout is how long the answer to a ping may take; well above the
	// scheduling delays of a busy host.
	pingTimeout = 2 * time.Second
	// suspectAfter is how long a ping may stay unanswered before new requests
	// use a fresh connection. It is above a round trip between regions, so
	// that a statement that is merely slow costs no connection.
	suspectAfter = 300 * time.Millisecond
	// streamIdleTimeout closes pooled streams that are not needed any more.
	streamIdleTimeout = 10 * time.Second
	// maxIdleStreams bounds the pooled streams of one kind and session.
	maxIdleStreams = 256
)

// session is one connection to a daemon, with its pooled streams.
type session struct {
	mux  *yamux.Session
	addr string
	now  func() core.Time

	// heard is when something last arrived, or when waiting began.
	heard atomic.Int64
	// pinging is set while a ping awaits its answer.
	pinging atomic.Bool
	// transactions counts the callers with an open transaction over here.
	transactions atomic.Int64

	mu       sync.Mutex
	idle     map[byte][]*stream
	inflight int
	lastUse  core.Time
	suspect  bool
}

// stream is one yamux stream and its reused buffers.
type stream struct {
	*yamux.Stream
	kind    byte
	lastUse core.Time
	// requests matches the answers to the requests.
	requests pipeline.Requests
	sendBuf  []byte
	frameBuf []byte
}

func newSession(mux *yamux.Session, addr string, now func() core.Time) *session {
	s := &session{mux: mux, addr: addr, now: now, lastUse: now(),
		idle: make(map[byte][]*stream)}
	s.heard.Store(int64(now()))
	return s
}

func (s *session) close() { _ = s.mux.Close() }

func (s *session) usable() bool {
	if s.mux.IsClosed() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.suspect
}

// take returns a pooled stream or opens one.
func (s *session) take(kind byte) (*stream, error) {
	now := s.now()
	s.mu.Lock()
	if s.inflight == 0 {
		s.heard.Store(int64(now))
	}
	s.inflight++
	s.lastUse = now
	if n := len(s.idle[kind]); n > 0 {
		x := s.idle[kind][n-1]
		s.idle[kind] = s.idle[kind][:n-1]
		s.mu.Unlock()
		return x, nil
	}
	s.mu.Unlock()
	raw, err := s.mux.OpenStream()
	if err != nil {
		s.finish()
		return nil, err
	}
	// The kind goes out with the first frame.
	return &stream{Stream: raw, kind: kind, sendBuf: []byte{kind}}, nil
}

// put gives a stream back whose last answer arrived completely.
func (s *session) put(x *stream) {
	if cap(x.frameBuf) > smallBuffer {
		// yamux's own buffer has grown with ours.
		x.Shrink()
	}
	x.sendBuf, x.frameBuf = trim(x.sendBuf), trim(x.frameBuf)
	s.mu.Lock()
	s.inflight--
	s.lastUse = s.now()
	x.lastUse = s.lastUse
	keep := len(s.idle[x.kind]) < maxIdleStreams
	if keep {
		s.idle[x.kind] = append(s.idle[x.kind], x)
	}
	s.mu.Unlock()
	if !keep {
		_ = x.Close()
	}
}

// drop closes a stream whose state is not known, so that a late answer can
// never be taken for the answer of the next request.
func (s *session) drop(x *stream) {
	_ = x.Close()
	s.finish()
}

func (s *session) finish() {
	s.mu.Lock()
	s.inflight--
	s.mu.Unlock()
}

func (s *session) noteHeard() { s.heard.Store(int64(s.now())) }

// lookOver pings sessions that owe an answer and are silent, closes idle ones
// and trims their streams.
func (c *Client) lookOver(pings *errgroup.Group) {
	c.mu.Lock()
	sessions := slices.Collect(maps.Keys(c.sessions))
	c.mu.Unlock()
	for _, s := range sessions {
		switch {
		case s.mux.IsClosed(), s.isIdle(c.options.IdleTimeout):
			c.retire(s)
			s.close()
		case s.isSilent() && s.pinging.CompareAndSwap(false, true):
			pings.Go(func() error {
				c.ping(s)
				return nil
			})
		default:
			s.trimStreams()
		}
	}
}

func (s *session) isIdle(timeout time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inflight == 0 && s.transactions.Load() == 0 && s.now().Sub(s.lastUse) > timeout
}

func (s *session) isSilent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inflight > 0 && s.now().Sub(core.Time(s.heard.Load())) > silenceAfter
}

// ping tells a slow answer from a connection that went silent because
// something in between lost track of it: such a connection accepts writes and
// answers nothing for many minutes. While a ping is overdue, new requests use a
// fresh connection. Without an answer the connection is closed, which fails
// what it carries as unknown instead of letting it wait for its deadline.
func (c *Client) ping(s *session) {
	defer s.pinging.Store(false)
	answered := make(chan error, 1)
	go func() {
		_, err := s.mux.Ping()
		answered <- err
	}()
	suspect := time.AfterFunc(suspectAfter, func() { s.setSuspect(true) })
	defer suspect.Stop()
	timer := time.NewTimer(pingTimeout)
	defer timer.Stop()
	select {
	case err := <-answered:
		if err == nil {
			s.noteHeard()
			s.setSuspect(false)
			return
		}
	case <-timer.C:
	}
	c.options.Log.Warn("connection to peer went silent", "step", "peer.ping", "peer", s.addr)
	c.retire(s)
	s.close()
}

func (s *session) setSuspect(suspect bool) {
	s.mu.Lock()
	s.suspect = suspect
	s.mu.Unlock()
}

// trimStreams closes pooled streams that have not been used for a while.
// The pool is a stack, so those at the bottom are the oldest.
func (s *session) trimStreams() {
	limit := s.now().Add(-streamIdleTimeout)
	var old []*stream
	s.mu.Lock()
	for kind, idle := range s.idle {
		n := 0
		for n < len(idle) && idle[n].lastUse < limit {
			n++
		}
		old = append(old, idle[:n]...)
		s.idle[kind] = append([]*stream(nil), idle[n:]...)
	}
	s.mu.Unlock()
	for _, x := range old {
		_ = x.Close()
	}
}
