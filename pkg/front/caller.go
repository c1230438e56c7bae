package front

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"limpetspan/core"
	"limpetspan/pkg/errs"
	"limpetspan/pkg/exchange"
	"limpetspan/pkg/pgframe"
)

// Bounds of saying goodbye.
const (
	fatalWriteTimeout = time.Second
	// lingerTimeout is how long the front goes on reading after its last
	// message: closing with unread bytes would reset the connection, and the
	// caller could lose the message that says why.
	lingerTimeout = 500 * time.Millisecond
)

// phase is what a caller's goroutine is doing.
type phase uint8

const (
	phaseStarting phase = iota
	// phaseWaiting: reading, with no complete exchange at hand.
	phaseWaiting
	phaseRunning
)

// caller is one client connection. Its goroutine owns the fields that no lock
// is named for.
type caller struct {
	server *Server
	// socket is the TCP connection, conn the same or TLS over it.
	socket, conn net.Conn
	waiter       waiter
	id           core.CallerID
	key          cancelKey
	// session is the session of statements that name none.
	session core.SessionID
	user    string
	address string
	ctx     context.Context
	cancel  context.CancelFunc

	settings   directives
	statements statements
	floors     exchange.Floors
	tx         transaction
	ws         *workspace
	// skipping drops messages up to a Sync, after an error before a Flush.
	skipping bool
	// used is set once the handler knows the caller.
	used bool
	// admitted is set while the caller counts towards the limits.
	admitted bool

	// mu guards phase and woken; in phaseWaiting it also lets others read tx.
	mu    sync.Mutex
	phase phase
	// woken is set when the read was interrupted to look at the server's state.
	woken bool

	// cancelMu is held while a cancel is passed on, so that it reaches the
	// running exchange and never the next one.
	cancelMu sync.Mutex
	running  bool

	gone atomic.Bool
	// busySince and writingSince are ticks of the server; 0: not.
	busyIndex    int
	busySince    int64
	writingSince atomic.Int64
}

// run serves the connection to its end.
func (c *caller) run() {
	defer c.finish()
	if err := c.start(); err != nil {
		c.part(err)
		return
	}
	c.part(c.serve())
}

// errTerminated says that the caller said goodbye.
var errTerminated = errors.New("front: terminated by the caller")

// errBrokenOff says that an answer ended inside a message.
var errBrokenOff = errors.New("front: the answer broke off inside a message")

func (c *caller) serve() error {
	for {
		kind, err := c.receive()
		if err != nil {
			return err
		}
		if kind == messageTerminate {
			return errTerminated
		}
		if err := c.exchange(kind); err != nil {
			return err
		}
		if c.gone.Load() {
			return errTerminated
		}
	}
}

// receive collects the messages of one exchange and returns the type of the last.
func (c *caller) receive() (byte, error) {
	for {
		if c.ws != nil {
			kind, err := c.ws.in.scan()
			if err != nil {
				return 0, err
			}
			if c.skipping && kind != 0 && kind != messageSync && kind != messageTerminate {
				c.ws.in.done()
				continue
			}
			if kind != 0 {
				return kind, nil
			}
			c.release()
		}
		if err := c.read(); err != nil {
			return 0, err
		}
	}
}

// release gives the workspace back when nothing is buffered.
func (c *caller) release() {
	if c.ws != nil && c.ws.in.empty() {
		c.server.workspaces.put(c.ws)
		c.ws = nil
	}
}

// read waits for more bytes.
func (c *caller) read() error {
	if err := c.beginWait(); err != nil {
		return err
	}
	var err error
	if c.ws == nil {
		c.ws, err = c.waiter.wait(c.server.workspaces)
	} else {
		err = c.ws.in.fill(c.conn)
	}
	return c.endWait(err)
}

func (c *caller) beginWait() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	idle := c.tx.idle()
	if idle && c.server.draining.Load() {
		return shuttingDown()
	}
	c.phase = phaseWaiting
	if timeout := c.server.options.IdleTimeout; timeout > 0 && idle {
		c.conn.SetReadDeadline(time.Now().Add(timeout))
	}
	return nil
}

func (c *caller) endWait(err error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.phase = phaseRunning
	woken := c.woken
	c.woken = false
	if woken || c.server.options.IdleTimeout > 0 {
		c.conn.SetReadDeadline(time.Time{})
	}
	switch {
	case !errors.Is(err, os.ErrDeadlineExceeded):
		return err
	case woken:
		return nil
	}
	return notRun(kindIdleTimeout, stepIdle, "no request for %v", c.server.options.IdleTimeout)
}

// drain ends the connection if it is idle, and interrupts its wait to do so.
// One that is in an exchange or a transaction looks at draining by itself.
func (c *caller) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == phaseStarting || c.phase == phaseWaiting && c.tx.idle() {
		c.woken = true
		c.conn.SetReadDeadline(time.Unix(1, 0))
	}
}

func shuttingDown() *errs.Error {
	return notRun(errs.ShuttingDown, stepShutdown, "terminating connection: limpetspan is shutting down here, connect again")
}

// part says why the connection ends, if that is not the caller's doing.
func (c *caller) part(err error) {
	e, ok := errors.AsType[*errs.Error](err)
	if !ok {
		return
	}
	c.server.metrics.countError(e.Kind.SQLState)
	c.server.options.Logger.Debug("connection ended", "caller", c.id.Number, "address", c.address,
		"state", e.Kind.SQLState, "error", e.Message())
	c.conn.SetWriteDeadline(time.Now().Add(fatalWriteTimeout))
	if _, err := c.conn.Write(pgframe.AppendError(nil, pgframe.SeverityFatal, e)); err != nil {
		return
	}
	c.linger()
}

// linger closes the sending half and drops what the caller still sends.
func (c *caller) linger() {
	for _, half := range []net.Conn{c.conn, c.socket} {
		if h, ok := half.(interface{ CloseWrite() error }); ok {
			h.CloseWrite()
		}
	}
	c.socket.SetReadDeadline(time.Now().Add(lingerTimeout))
	var scrap [512]byte
	for {
		if _, err := c.socket.Read(scrap[:]); err != nil {
			return
		}
	}
}

// hangUp tells the handler that the caller is gone; from now on no exchange is
// passed on.
func (c *caller) hangUp() {
	c.gone.Store(true)
	c.cancel()
	c.server.options.Handler.Hangup(c.id)
}

// finish forgets the connection. The handler is told even if the watch has
// done so: an exchange may have begun at that very moment and pinned a
// connection that nobody else would give back.
func (c *caller) finish() {
	c.cancel()
	if c.used {
		c.hangUp()
	}
	c.conn.Close()
	if c.ws != nil {
		c.ws.in.next, c.ws.in.end, c.ws.in.start = 0, 0, 0
		c.release()
	}
	c.server.remove(c)
}

// socketWriter is a caller as the destination of answers. It marks the time of
// each write for the watch on callers that do not read.
type socketWriter caller

func (w *socketWriter) Write(b []byte) (int, error) {
	w.writingSince.Store(w.server.tick.Load())
	n, err := w.conn.Write(b)
	w.writingSince.Store(0)
	return n, err
}

var _ io.Writer = (*socketWriter)(nil)
