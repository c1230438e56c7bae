package target

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"

	"limpetspan/pkg/pgframe"
)

// terminateTimeout bounds the write of the Terminate message.
const terminateTimeout = 50 * time.Millisecond

// Conn is one connection to a member, past its start-up. One
// goroutine at a time may run batches on it; Abort, Cancel and MarkCancelled may
// be called from others.
type Conn struct {
	dialer *Dialer
	addr   string
	net    net.Conn
	// socket is the TCP connection below TLS.
	socket    net.Conn
	readiness readiness

	processID uint32
	secret    []byte

	txStatus byte
	prepared preparedSet
	// marker is the number of the last marker.
	marker       uint32
	markerDigits int
	// stateful is set once a statement changed the session's own state, such
	// as a setting, which the next caller must not inherit.
	stateful bool
	// broken is set after any deviation from the protocol.
	broken bool

	cancelled atomic.Bool
	aborted   atomic.Bool
}

func newConn(d *Dialer, addr string, h *pgconn.HijackedConn) (*Conn, error) {
	socket := h.Conn
	if t, ok := socket.(*tls.Conn); ok {
		socket = t.NetConn()
	}
	c := &Conn{
		dialer: d, addr: addr, net: h.Conn, socket: socket,
		processID: h.PID, secret: h.SecretKey, txStatus: h.TxStatus, marker: rand.Uint32(), markerDigits: markerDigits,
	}
	control, ok := socket.(syscall.Conn)
	if !ok {
		_ = socket.Close()
		return nil, fmt.Errorf("target connection: %T has no socket", socket)
	}
	raw, err := control.SyscallConn()
	if err != nil {
		_ = socket.Close()
		return nil, fmt.Errorf("target connection: %w", err)
	}
	c.readiness.init(raw)
	return c, nil
}

// TxStatus returns the status of the last ReadyForQuery: 'I', 'T' or 'E'.
func (c *Conn) TxStatus() byte { return c.txStatus }

// ErrGone says that a connection had ended before it was used.
var ErrGone = errors.New("target: the connection had ended before use")

// Check reports whether the connection may be used: nil, ErrGone, or a *Broken
// with the SQLSTATE the member ended it with. Between exchanges a member has
// nothing to say, so anything to read means the end of the connection or a
// message that is nobody's answer; it must not become the next one's.
func (c *Conn) Check() error {
	if c.broken || c.aborted.Load() {
		return ErrGone
	}
	if !c.readiness.check() {
		return nil
	}
	code, err := c.lastWords()
	return &Broken{Code: code, Err: err}
}

// lastWords reads the SQLSTATE of an ErrorResponse that waits to be read. The error is ErrGone, and ErrOutOfStep too
// where a part of an answer waits.
func (c *Conn) lastWords() (string, error) {
	c.broken = true
	_ = c.net.SetReadDeadline(time.Now().Add(terminateTimeout))
	r := pgframe.NewReader(c.net, lastWordsBuffer, lastWordsBuffer)
	for {
		message, err := r.Next()
		if err != nil {
			return "", ErrGone
		}
		switch message.Type() {
		case msgNoticeResponse, msgParameterStatus, msgNotificationResponse:
		case msgErrorResponse:
			return parseError(message.Body()).code, ErrGone
		default:
			return "", fmt.Errorf("%w: %w: message %q between two exchanges", ErrGone, ErrOutOfStep, message.Type())
		}
	}
}

// lastWordsBuffer bounds what is read of a connection that has ended, in bytes.
const lastWordsBuffer = 4 << 10

// Reusable reports whether the next caller may have the connection: nothing
// broke, no cancel request is under way that could hit the next statement, and
// no session state was left behind.
func (c *Conn) Reusable() bool {
	return !c.broken && !c.stateful && !c.cancelled.Load() && !c.aborted.Load()
}

// MarkCancelled says that a cancel request is about to be sent. A cancel
// request names a connection, not a statement, and can arrive after its
// statement has ended: it would hit whichever runs next. So the connection is
// not reused once its transaction has ended.
func (c *Conn) MarkCancelled() { c.cancelled.Store(true) }

// Cancel asks the member to cancel what runs on the connection, over a
// connection of its own that closes at once. MarkCancelled comes first.
func (c *Conn) Cancel(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, c.dialer.dialTimeout())
	defer stop()
	conn, err := c.dialer.dialCancel(ctx, c.addr)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	request := pgproto3.CancelRequest{ProcessID: c.processID, SecretKey: c.secret}
	packet, err := request.Encode(nil)
	if err != nil {
		return err
	}
	if deadline, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(deadline)
	}
	if _, err := conn.Write(packet); err != nil {
		return err
	}
	// The member closes the connection once it has handled the request.
	_, _ = conn.Read(make([]byte, 1))
	return nil
}

// Abort ends the connection at once; a batch that runs on it fails.
func (c *Conn) Abort() {
	if c.aborted.CompareAndSwap(false, true) {
		_ = c.socket.Close()
	}
}

// Close ends an idle connection in the way the protocol wants.
func (c *Conn) Close() {
	if !c.broken && !c.aborted.Load() {
		_ = c.net.SetWriteDeadline(time.Now().Add(terminateTimeout))
		_, _ = c.net.Write([]byte{msgTerminate, 0, 0, 0, 4})
	}
	c.Abort()
}

// Ended reports, without reading, whether an idle connection must not be used
// any more; see Check.
func (c *Conn) Ended() bool {
	return c.broken || c.aborted.Load() || c.readiness.check()
}
