package home

import (
	"context"
	"time"

	"limpetspan/core"
	"limpetspan/core/group"
	"limpetspan/pkg/target"
)

// pooledConn is a connection that the reducer knows by its number. All but conn
// is guarded by the shard's mutex; conn is used by the request that has it.
type pooledConn struct {
	id     group.ConnID
	member core.MemberID
	// conn is nil while it is being opened.
	conn *target.Conn
	// stopDial ends the dial, while conn is nil.
	stopDial context.CancelFunc
	// provenAt is when it last answered.
	provenAt core.Time
	// busy: a request has it.
	busy bool
	// closing: it is clean but not reusable, and is closed after its request.
	closing bool
	// cancelling: a cancel request is on its way.
	cancelling bool
}

// closer returns what ends the connection, which may wait a little; s.mu is
// held. One in the middle of an answer is aborted.
func (p *pooledConn) closer() func() {
	switch {
	case p.conn == nil:
		return p.stopDial
	case p.busy:
		return p.conn.Abort
	default:
		return p.conn.Close
	}
}

// openConn dials; s.mu is held.
func (s *Shard) openConn(e *group.OpenConn) {
	p := &pooledConn{id: e.Conn, member: e.Member}
	ctx, stop := context.WithCancel(s.ctx)
	p.stopDial = stop
	s.conns[e.Conn] = p
	addr := s.members[e.Member].Addr
	go func() {
		defer stop()
		start := time.Now()
		conn, err := s.dialer.Dial(ctx, addr)
		s.opened(p, conn, time.Since(start), err)
	}()
}

// opened reports the end of a dial. The connection may have been given up
// meanwhile; then it is closed, and counted as closed only now.
func (s *Shard) opened(p *pooledConn, conn *target.Conn, took time.Duration, err error) {
	s.metrics.dials.Add(1)
	if err != nil {
		s.metrics.dialFailures.Add(1)
		s.logger.Debug("dial failed", "member", string(p.member), "error", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.conns[p.id] != p {
		if conn != nil {
			go conn.Close()
		}
		s.reduce(&group.ConnClosed{Conn: p.id})
		return
	}
	p.stopDial = nil
	if err != nil {
		delete(s.conns, p.id)
	} else {
		p.conn = conn
		p.provenAt = s.manager.options.Now()
		s.metrics.open.Add(1)
	}
	s.reduce(&group.ConnOpened{Conn: p.id, Member: p.member, Took: took, Err: target.Classify(err)})
}

// closeConn closes a connection on the reducer's wish; s.mu is held.
func (s *Shard) closeConn(id group.ConnID) {
	p := s.conns[id]
	if p == nil {
		return
	}
	delete(s.conns, id)
	end := p.closer()
	if p.conn == nil {
		end() // The dial reports the end.
		return
	}
	s.metrics.open.Add(-1)
	go func() {
		end()
		s.post(&group.ConnClosed{Conn: id})
	}()
}

// discard drops a connection whose protocol state is not known any more; s.mu is
// held. The reducer has dropped it already; the ConnClosed confirms that it does
// not count any more.
func (s *Shard) discard(p *pooledConn) {
	if s.conns[p.id] != p {
		return
	}
	delete(s.conns, p.id)
	s.metrics.open.Add(-1)
	s.metrics.dropped.Add(1)
	p.conn.Abort()
	go s.post(&group.ConnClosed{Conn: p.id})
}
