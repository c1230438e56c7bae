package resetconn

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Options are the options of a connection.
type Options struct {
	// Timeout bounds opening the connection; 0: only the context does.
	Timeout time.Duration
	// UnackedTimeout is how long sent data may stay unacknowledged before the kernel resets the
	// connection, also while the process itself is stopped; 0: the kernel's default of many minutes.
	UnackedTimeout time.Duration
}

// Dial opens a connection to the address.
func Dial(ctx context.Context, addr string, o Options) (*net.TCPConn, error) {
	d := net.Dialer{Timeout: o.Timeout}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return nil, errors.Join(fmt.Errorf("connection to %s is a %T", addr, c), c.Close())
	}
	if err := setOptions(tcp, o); err != nil {
		return nil, errors.Join(fmt.Errorf("options of the connection to %s: %w", addr, err), tcp.Close())
	}
	return tcp, nil
}

func setOptions(c *net.TCPConn, o Options) error {
	if err := c.SetLinger(0); err != nil {
		return err
	}
	if o.UnackedTimeout == 0 {
		return nil
	}
	return SetUnackedTimeout(c, o.UnackedTimeout)
}

// SetUnackedTimeout changes Options.UnackedTimeout of an open connection; 0 restores the kernel's
// default.
func SetUnackedTimeout(c *net.TCPConn, d time.Duration) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	return SetRawUnackedTimeout(raw, d)
}

// SetRawUnackedTimeout is SetUnackedTimeout for a socket that may not be connected yet.
func SetRawUnackedTimeout(raw syscall.RawConn, d time.Duration) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	return errors.Join(err, optErr)
}
