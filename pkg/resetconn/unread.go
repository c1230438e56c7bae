package resetconn

import (
	"errors"
	"io"
	"syscall"

	"golang.org/x/sys/unix"
)

// PeekUnread copies the first bytes that have arrived on the connection and were not read into b, and returns
// their number. It does not wait. The error is io.EOF if the peer has closed the connection.
func PeekUnread(raw syscall.RawConn, b []byte) (n int, err error) {
	var peekErr error
	err = raw.Control(func(fd uintptr) {
		n, _, peekErr = unix.Recvfrom(int(fd), b, unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	switch {
	case err != nil:
		return 0, err
	case errors.Is(peekErr, unix.EAGAIN) || errors.Is(peekErr, unix.EINTR):
		return 0, nil
	case peekErr != nil:
		return 0, peekErr
	case n == 0:
		return 0, io.EOF
	}
	return n, nil
}
