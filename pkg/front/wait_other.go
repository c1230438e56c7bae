//go:build !linux

package front

import "net"

// newWaiter returns the waiter for a connection.
func newWaiter(conn net.Conn) waiter { return &streamWaiter{conn: conn} }

// belowTLS returns the connection that TLS is to be put on.
func belowTLS(conn net.Conn) net.Conn { return conn }

// hungUp is not known here; a caller that is gone is noticed when it is written to.
func hungUp(net.Conn) bool { return false }
