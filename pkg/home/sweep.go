package home

import (
	"time"

	"limpetspan/core"
	"limpetspan/core/group"
)

const (
	// sweepInterval paces the look at idle connections and overdue requests.
	sweepInterval = time.Second
	// overdueGrace is how long after its deadline a request is ended by the
	// shell, should the reducer not have done so.
	overdueGrace = time.Second
)

// sweep finds idle connections that have ended, so that they neither count
// against the budget nor cost a request its first try, and requests that are
// overdue.
func (s *Shard) sweep() {
	s.mu.Lock()
	if s.closed {
		s.mu.Unlock()
		return
	}
	for _, id := range s.endedConns() {
		s.dropEnded(id)
	}
	s.endOverdue()
	s.startUpkeep()
	s.sweepTimer.Reset(sweepInterval)
	s.mu.Unlock()
}

// endedConns lists the idle connections that have something to read.
func (s *Shard) endedConns() []group.ConnID {
	var ended []group.ConnID
	for id, p := range s.conns {
		if p.conn != nil && !p.busy && p.conn.Ended() {
			ended = append(ended, id)
		}
	}
	return ended
}

// dropEnded reports one of them, if a request has not got it meanwhile.
func (s *Shard) dropEnded(id group.ConnID) {
	p := s.conns[id]
	if p == nil || p.busy {
		return
	}
	delete(s.conns, id)
	s.metrics.open.Add(-1)
	p.conn.Abort()
	s.reduce(&group.ConnClosed{Conn: id})
}

// endOverdue ends requests whose deadline has passed by more than the grace. The
// reducer does that in time as long as its Ticks come; this keeps a caller from
// hanging when a fault in here swallows one.
func (s *Shard) endOverdue() {
	limit := s.manager.options.Now().Add(-overdueGrace)
	var overdue []*waiter
	for _, w := range s.waiters {
		if w.deadline < limit {
			overdue = append(overdue, w)
		}
	}
	for _, w := range overdue {
		s.logger.Error("request was not ended at its deadline", "request", uint64(w.id))
		s.reduce(&group.Abandoned{Request: w.id})
		if w.over {
			continue
		}
		outcome := core.OutcomeNotRun
		if w.conn != nil {
			outcome = core.OutcomeUnknown
		}
		s.failRequest(&group.Fail{Request: w.id, Reason: group.ReasonDeadline, Outcome: outcome, Step: "home.sweep"})
	}
}
