package front

import (
	"context"
	"net"
	"strconv"

	"limpetspan/core"
	"limpetspan/pkg/errs"
	"limpetspan/pkg/pgframe"
)

// add registers a connection; nil when there are too many by far or the server
// stops.
func (s *Server) add(ctx context.Context, conn net.Conn) *caller {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.callers) >= s.options.MaxConnections+startReserve || s.draining.Load() || ctx.Err() != nil {
		s.metrics.refused.Add(1)
		conn.Close()
		return nil
	}
	s.lastID++
	c := &caller{
		server:  s,
		socket:  conn,
		conn:    conn,
		id:      core.CallerID{Entry: s.options.Daemon, Number: s.lastID},
		session: core.SessionID(s.instance + "-" + strconv.FormatUint(s.lastID, 36)),
		address: hostOf(conn),
		tx:      transaction{remote: pgframe.StatusIdle},
	}
	c.ctx, c.cancel = context.WithCancel(ctx)
	s.callers[c.id.Number] = c
	s.metrics.connections.Add(1)
	s.metrics.opened.Add(1)
	return c
}

func hostOf(conn net.Conn) string {
	host, _, err := net.SplitHostPort(conn.RemoteAddr().String())
	if err != nil {
		return conn.RemoteAddr().String()
	}
	return host
}

// admit counts an authenticated caller towards the limits and gives it its
// cancel key.
func (s *Server) admit(c *caller) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	limit := ""
	switch o := &s.options; {
	case s.admitted >= o.MaxConnections:
		limit = "too many connections"
	case o.MaxPerUser > 0 && s.byUser[c.user] >= o.MaxPerUser:
		limit = "too many connections of this user"
	case o.MaxPerAddress > 0 && s.byAddress[c.address] >= o.MaxPerAddress:
		limit = "too many connections from this address"
	}
	if limit != "" {
		s.metrics.refused.Add(1)
		return notRun(errs.Overloaded, stepStartup, "%s", limit).WithRetryAfter(refusedRetry)
	}
	s.admitted++
	s.byUser[c.user]++
	s.byAddress[c.address]++
	c.admitted = true
	c.key = s.keys.add(c)
	c.waiter = newWaiter(c.conn)
	return nil
}

// remove forgets a caller.
func (s *Server) remove(c *caller) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.callers, c.id.Number)
	s.metrics.connections.Add(-1)
	if c.admitted {
		s.keys.remove(c.key)
		s.admitted--
		decrement(s.byUser, c.user)
		decrement(s.byAddress, c.address)
	}
	if s.draining.Load() && len(s.callers) == 0 {
		s.closeEmpty()
	}
}

func decrement(counts map[string]int, name string) {
	counts[name]--
	if counts[name] == 0 {
		delete(counts, name)
	}
}
