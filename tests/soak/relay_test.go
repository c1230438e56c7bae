package soak

import (
	"io"
	"net"
	"sync"
	"time"
)

// relay stands between the daemons and one server, and injects the faults of a
// network.
type relay struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	pairs map[*pair]struct{}
	delay time.Duration
	// cut drops what goes to the server (0) or comes from it (1), for connections
	// old and new.
	cut [2]bool
}

// pair is a connection through the relay.
type pair struct {
	client, server net.Conn
	// silent: nothing passes any more, although both ends stay open.
	silent bool
}

func newRelay(target string) (*relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{listener: l, target: target, pairs: make(map[*pair]struct{})}
	go r.accept()
	return r, nil
}

func (r *relay) addr() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		s, err := net.Dial("tcp", r.target)
		if err != nil {
			_ = c.Close()
			continue
		}
		p := &pair{client: c, server: s}
		r.mu.Lock()
		r.pairs[p] = struct{}{}
		r.mu.Unlock()
		go r.pass(p, 0, c, s)
		go r.pass(p, 1, s, c)
	}
}

// pass copies one direction until either end closes.
func (r *relay) pass(p *pair, direction int, from, to net.Conn) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if n > 0 && !r.lost(p, direction) {
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			if err != io.EOF {
				reset(to)
			}
			break
		}
	}
	_ = from.Close()
	_ = to.Close()
	r.mu.Lock()
	delete(r.pairs, p)
	r.mu.Unlock()
}

func (r *relay) lost(p *pair, direction int) bool {
	r.mu.Lock()
	delay := r.delay
	lost := p.silent || r.cut[direction]
	r.mu.Unlock()
	time.Sleep(delay)
	return lost
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
}

// setDelay delays all bytes, cutOff drops one direction, heal ends both.
func (r *relay) setDelay(d time.Duration) { r.locked(func() { r.delay = d }) }
func (r *relay) cutOff(direction int)     { r.locked(func() { r.cut[direction] = true }) }
func (r *relay) heal()                    { r.locked(func() { r.delay, r.cut = 0, [2]bool{} }) }

// silence makes all open connections silent for good; new ones work.
func (r *relay) silence() {
	r.locked(func() {
		for p := range r.pairs {
			p.silent = true
		}
	})
}

// resetAll resets all open connections.
func (r *relay) resetAll() {
	r.locked(func() {
		for p := range r.pairs {
			reset(p.client)
			reset(p.server)
			_ = p.client.Close()
			_ = p.server.Close()
		}
	})
}

func (r *relay) locked(f func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f()
}

func (r *relay) close() {
	_ = r.listener.Close()
	r.resetAll()
}
