package front

import (
	"crypto/tls"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// errWouldBlock says that a probing read found nothing. It is temporary, so
// that the TLS connection above stays usable.
type errWouldBlock struct{}

func (errWouldBlock) Error() string   { return "front: nothing to read yet" }
func (errWouldBlock) Timeout() bool   { return true }
func (errWouldBlock) Temporary() bool { return true }

// tlsSocket is a TCP connection below TLS. Waiting inside a TLS read would
// hold a stack of twice the size (8 KB); so a tlsWaiter lets TLS take only what
// is there, and waits for the socket itself.
type tlsSocket struct {
	*net.TCPConn
	raw syscall.RawConn
	// probing makes Read return errWouldBlock instead of waiting.
	probing bool
	buf     []byte
	n       int
	err     error
	// try and readable are kept as func values so that they allocate nothing.
	try, readable func(fd uintptr) bool
}

// belowTLS returns the connection that TLS is to be put on.
func belowTLS(conn net.Conn) net.Conn {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return conn
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return conn
	}
	s := &tlsSocket{TCPConn: tcp, raw: raw}
	s.try, s.readable = s.read, isReadable
	return s
}

func (s *tlsSocket) Read(b []byte) (int, error) {
	if !s.probing {
		return s.TCPConn.Read(b)
	}
	s.buf = b
	err := s.raw.Read(s.try)
	s.buf = nil
	switch {
	case err != nil:
		return 0, err
	case s.err == unix.EAGAIN:
		return 0, errWouldBlock{}
	case s.err != nil:
		return 0, s.err
	}
	return s.n, eofIfNone(s.n)
}

// read never waits.
func (s *tlsSocket) read(fd uintptr) bool {
	s.n, s.err = readSocket(fd, s.buf)
	return true
}

func isReadable(fd uintptr) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
	n, err := unix.Poll(fds, 0)
	return err == nil && n > 0
}

// tlsWaiter waits on a TLS connection.
type tlsWaiter struct {
	conn   *tls.Conn
	socket *tlsSocket
	first  [firstRead]byte
}

func (w *tlsWaiter) wait(pool *workspaces) (*workspace, error) {
	for {
		w.socket.probing = true
		n, err := w.conn.Read(w.first[:])
		w.socket.probing = false
		if n > 0 {
			return pool.with(w.first[:n]), nil
		}
		if err != (errWouldBlock{}) {
			return nil, err
		}
		if err := w.socket.raw.Read(w.socket.readable); err != nil {
			return nil, err
		}
	}
}
