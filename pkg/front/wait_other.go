//go:build !linux

package front

import "net"

// newWaiter returns the waiter for a connection.
func newWaiter(conn net.Conn) waiter { return &streamWaiter{conn: conn} }

// hungUp is not known here; a caller that is gone is noticed when it is written to.
func hungUp(net.Conn) bool { return false }
