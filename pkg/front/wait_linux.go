package front

import (
	"crypto/tls"
	"io"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// socketWaiter waits for a TCP socket to be readable without holding a buffer,
// and reads with the first system call that finds bytes.
type socketWaiter struct {
	raw  syscall.RawConn
	pool *workspaces
	ws   *workspace
	n    int
	err  error
	// try is read, kept as a func value so that waiting allocates nothing.
	try func(fd uintptr) bool
}

// newWaiter returns the waiter for a connection.
func newWaiter(conn net.Conn) waiter {
	switch conn := conn.(type) {
	case *net.TCPConn:
		if raw, err := conn.SyscallConn(); err == nil {
			w := &socketWaiter{raw: raw}
			w.try = w.read
			return w
		}
	case *tls.Conn:
		if socket, ok := conn.NetConn().(*tlsSocket); ok {
			return &tlsWaiter{conn: conn, socket: socket}
		}
	}
	return &streamWaiter{conn: conn}
}

func (w *socketWaiter) wait(pool *workspaces) (*workspace, error) {
	w.pool = pool
	err := w.raw.Read(w.try)
	ws := w.ws
	w.ws = nil
	if err == nil && w.err != nil {
		err = w.err
	}
	if err == nil {
		err = eofIfNone(w.n)
	}
	if err == nil {
		ws.in.end = w.n
		return ws, nil
	}
	if ws != nil {
		pool.put(ws)
	}
	return nil, err
}

// read reports false when the socket has nothing to read yet.
func (w *socketWaiter) read(fd uintptr) bool {
	ws := w.pool.get()
	n, err := readSocket(fd, ws.in.buf)
	if err == unix.EAGAIN {
		w.pool.put(ws)
		return false
	}
	w.ws, w.n, w.err = ws, n, err
	return true
}

// readSocket is one read without waiting.
func readSocket(fd uintptr, b []byte) (int, error) {
	for {
		n, err := unix.Read(int(fd), b)
		if err != unix.EINTR {
			return max(n, 0), err
		}
	}
}

func eofIfNone(n int) error {
	if n == 0 {
		return io.EOF
	}
	return nil
}

// hungUp reports whether the peer has closed its sending half or the
// connection is broken, whatever bytes are still unread.
func hungUp(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	gone := false
	err = raw.Control(func(fd uintptr) {
		fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(fds, 0)
		gone = err == nil && n > 0
	})
	return err == nil && gone
}
