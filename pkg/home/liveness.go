package home

import (
	"time"

	"limpetspan/core"
	"limpetspan/core/group"
	"limpetspan/pkg/pgframe"
)

// A connection can go silent for good while new ones work: something between its
// ends has lost track of it. A request sent over it would be lost with an unknown
// outcome at its deadline, and so would the next one on the next connection. So
// a connection that has not answered lately is asked first, with a short wait:
// silence is then found before anything of the request was sent.
const (
	// livenessIdle is how long ago an answer still proves a connection alive.
	livenessIdle = time.Second
	// livenessTimeout bounds the wait for the proof.
	livenessTimeout = 250 * time.Millisecond
)

// needsProof reports whether the connection has to prove itself before use: it
// was idle for long, or another one to its member was lost since; s.mu is held.
func (s *Shard) needsProof(p *pooledConn, now core.Time) bool {
	return now.Sub(p.provenAt) > livenessIdle || p.provenAt < s.suspects[p.member]
}

// suspect makes the other connections to the member prove themselves; s.mu is held.
func (s *Shard) suspect(p *pooledConn) {
	s.suspects[p.member] = s.manager.options.Now()
}

// prove asks the connection for a sign of life. Inside a transaction it does not:
// the question could end what the caller has open there.
func (c *call) prove(v *verdict) (run, bool) {
	conn := v.conn.conn
	if !v.verify || conn.TxStatus() != pgframe.StatusIdle {
		return run{}, true
	}
	err := c.runner.Ping(conn, livenessTimeout)
	if err == nil {
		return run{}, true
	}
	c.shard.noteBroken(v.dispatch.Member, err)
	r := classifyBroken(err, &c.ran.answer)
	r.silent = r.result == group.ResultNotSent
	return r, false
}

// dropSilent closes the idle connections to a member that have not answered since
// before the one that was found silent was asked; s.mu is held. What made that
// one silent has most likely hit them all, and each would cost its next request
// the wait. A new connection costs less.
func (s *Shard) dropSilent(found *pooledConn) {
	limit := s.manager.options.Now().Add(-livenessTimeout)
	var stale []group.ConnID
	for id, p := range s.conns {
		idle := p != found && p.member == found.member && p.conn != nil && !p.busy
		if idle && p.provenAt < limit && p.conn.TxStatus() == pgframe.StatusIdle {
			stale = append(stale, id)
		}
	}
	for _, id := range stale {
		s.dropEnded(id)
	}
}
