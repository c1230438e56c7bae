package peer

import (
	"net"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/yamux"
)

const (
	// yamuxHeader is the size of a yamux frame header; yamux writes it by
	// itself before a body.
	yamuxHeader = 12
	// yamuxTypeData is the type byte of a frame with a body.
	yamuxTypeData = 0
	// acceptBacklog is how many streams may wait to be accepted.
	acceptBacklog = 256
	// writeTimeout bounds one write to a peer. A peer reads always, so a
	// longer wait means that it is gone or stopped.
	writeTimeout = 5 * time.Second
	// streamCloseTimeout ends a stream that only one side has closed.
	streamCloseTimeout = 10 * time.Second
	// tcpIdle, tcpInterval and tcpCount find idle connections whose other end
	// vanished. They are slow on purpose: a daemon may have a connection to
	// each of 1,700 others. Connections in use are watched by pings.
	tcpIdle     = 2 * time.Minute
	tcpInterval = 20 * time.Second
	tcpCount    = 3
)

// yamuxConfig has no keepalive: it would cost pings to every peer all the
// time. The client pings a connection only while an answer is overdue.
func yamuxConfig(log hclog.Logger) *yamux.Config {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false
	config.AcceptBacklog = acceptBacklog
	config.ConnectionWriteTimeout = writeTimeout
	config.StreamCloseTimeout = streamCloseTimeout
	config.StreamOpenTimeout = 0
	config.LogOutput = nil
	config.Logger = log.Named("yamux").StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug})
	return config
}

func setKeepAlive(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		// A failure leaves the system's defaults, which are slower but safe.
		_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: tcpIdle, Interval: tcpInterval, Count: tcpCount})
	}
}

// joinedConn holds a yamux header back until its body is written, so that both
// take one system call and one TLS record. Only yamux's single send loop writes.
type joinedConn struct {
	net.Conn
	held []byte
}

func (c *joinedConn) Write(b []byte) (int, error) {
	if len(c.held) == 0 && isDataHeader(b) {
		c.held = append(c.held, b...)
		return len(b), nil
	}
	if len(c.held) == 0 {
		return c.Conn.Write(b)
	}
	c.held = append(c.held, b...)
	_, err := c.Conn.Write(c.held)
	c.held = trim(c.held)
	if err != nil {
		return 0, err
	}
	return len(b), nil
}

// isDataHeader reports whether b is the header of a frame whose body follows
// in the next write.
func isDataHeader(b []byte) bool {
	return len(b) == yamuxHeader && b[1] == yamuxTypeData && (b[8]|b[9]|b[10]|b[11]) != 0
}
