package target

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"limpetspan/pkg/resetconn"
)

// Keepalive settings of member connections: a peer that vanished without a
// trace is found after keepaliveIdle + keepaliveCount*keepaliveInterval.
const (
	keepaliveIdle     = 5 * time.Second
	keepaliveInterval = 2 * time.Second
	keepaliveCount    = 3
)

// netDialer sets the socket options that find silent connections. A middlebox
// that forgot a connection drops its packets without a reset: the statement
// would hang until the caller's deadline and each one after it again. The
// keepalive finds it while idle, TCP_USER_TIMEOUT while bytes are under way.
func (d *Dialer) netDialer() *net.Dialer {
	return &net.Dialer{
		Timeout: d.dialTimeout(),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepaliveIdle,
			Interval: keepaliveInterval,
			Count:    keepaliveCount,
		},
		Control: d.setUserTimeout,
	}
}

func (d *Dialer) setUserTimeout(_, _ string, raw syscall.RawConn) error {
	timeout := d.UserTimeout
	if timeout <= 0 {
		timeout = DefaultUserTimeout
	}
	return resetconn.SetRawUnackedTimeout(raw, timeout)
}

// readiness asks the kernel whether a socket has anything to read: bytes, an
// end of stream or an error.
type readiness struct {
	raw   syscall.RawConn
	fds   [1]unix.PollFd
	ready bool
	poll  func(fd uintptr)
}

func (r *readiness) init(raw syscall.RawConn) {
	r.raw = raw
	r.poll = func(fd uintptr) {
		r.fds[0] = unix.PollFd{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}
		n, err := unix.Poll(r.fds[:], 0)
		r.ready = n > 0 || (err != nil && err != unix.EINTR)
	}
}

// check reports whether there is something to read. A closed socket counts.
func (r *readiness) check() bool {
	if err := r.raw.Control(r.poll); err != nil {
		return true
	}
	return r.ready
}
