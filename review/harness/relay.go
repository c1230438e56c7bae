package harness

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
)

// Relay forwards TCP connections. While it is cut it forwards nothing and holds what it receives, as
// the network stack of the sender holds the bytes that a partition keeps back. When the cut ends, it
// forwards the held bytes also if the sender has closed its connection meanwhile, but drops them if the
// sender has reset it. A connection that is opened during a cut is never established.
type Relay struct {
	target   string
	listener net.Listener
	// Inspect, if set, is called with what a client sends before it is forwarded.
	Inspect func(data []byte)

	mu  sync.Mutex
	cut chan struct{}
	all map[net.Conn]struct{}
}

// NewRelay starts a relay to the target on a loopback address.
func NewRelay(target string, inspect func(data []byte)) (*Relay, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Relay{target: target, listener: l, Inspect: inspect, all: make(map[net.Conn]struct{})}
	go r.accept()
	return r, nil
}

// Addr returns the address at which the relay listens.
func (r *Relay) Addr() string { return r.listener.Addr().String() }

// Cut starts a cut.
func (r *Relay) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut == nil {
		r.cut = make(chan struct{})
	}
}

// Heal ends a cut.
func (r *Relay) Heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut != nil {
		close(r.cut)
		r.cut = nil
	}
}

// wait waits for the end of a cut, and reports whether there was one.
func (r *Relay) wait() (waited bool) {
	r.mu.Lock()
	cut := r.cut
	r.mu.Unlock()
	if cut == nil {
		return false
	}
	<-cut
	return true
}

func (r *Relay) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serve(c)
	}
}

func (r *Relay) serve(c net.Conn) {
	if r.wait() {
		_ = c.Close()
		return
	}
	t, err := net.Dial("tcp", r.target)
	if err != nil {
		_ = c.Close()
		return
	}
	done := make(chan struct{})
	go func() {
		r.forward(t, c, r.Inspect)
		close(done)
	}()
	r.forward(c, t, nil)
	<-done
	_ = c.Close()
	_ = t.Close()
}

// chunk is a piece of a stream, or its end.
type chunk struct {
	data []byte
	err  error
}

// forward copies a stream. It reads ahead during a cut, so that it notices a reset.
func (r *Relay) forward(dst, src net.Conn, inspect func([]byte)) {
	chunks := make(chan chunk, 1024)
	go func() {
		defer close(chunks)
		for {
			buf := make([]byte, 32<<10)
			n, err := src.Read(buf)
			if n > 0 {
				if inspect != nil {
					inspect(buf[:n])
				}
				chunks <- chunk{data: buf[:n]}
			}
			if err != nil {
				chunks <- chunk{err: err}
				return
			}
		}
	}()
	for x := range chunks {
		if r.wait() {
			var reset bool
			if x, reset = held(x, chunks); reset {
				break
			}
		}
		if len(x.data) > 0 {
			if _, err := dst.Write(x.data); err != nil {
				break
			}
		}
		if x.err != nil {
			if !errors.Is(x.err, io.EOF) {
				break
			}
			if tcp, ok := dst.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
	_ = dst.Close()
	_ = src.Close()
	for range chunks {
		// The reader ends once its connection is closed.
		continue
	}
}

// held returns what was received during a cut as one chunk, and whether the sender has reset the
// connection, which discards it.
func held(first chunk, chunks <-chan chunk) (all chunk, reset bool) {
	all = first
	for all.err == nil {
		select {
		case x, ok := <-chunks:
			if !ok {
				return all, false
			}
			all.data, all.err = append(all.data, x.data...), x.err
			continue
		default:
		}
		break
	}
	return all, errors.Is(all.err, syscall.ECONNRESET)
}
