package front

import "net"

// waiter waits for the first bytes of an exchange and returns them in a
// workspace; it needs next to no memory meanwhile.
type waiter interface {
	wait(pool *workspaces) (*workspace, error)
}

// firstRead is how many bytes a streamWaiter reads at first.
const firstRead = 5

// streamWaiter works on any connection. It waits with a few bytes of its own;
// the rest of the message is read when they have come.
type streamWaiter struct {
	conn  net.Conn
	first [firstRead]byte
}

func (w *streamWaiter) wait(pool *workspaces) (*workspace, error) {
	n, err := w.conn.Read(w.first[:])
	if n == 0 {
		return nil, err
	}
	return pool.with(w.first[:n]), nil
}
