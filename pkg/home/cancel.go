package home

import (
	"context"

	"limpetspan/core"
	"limpetspan/core/group"
)

// maxCancels bounds the connections that a shard's cancel requests have open at
// a time. They live for a round trip and are not among the reducer's, so that
// the bound keeps the group's budget.
const maxCancels = 2

// cancel ends what the caller is running: a statement that runs is cancelled at
// its member and answers with that, one that waits is failed at once.
func (s *Shard) cancel(caller core.CallerID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.waiters {
		if w.caller != caller {
			continue
		}
		if w.conn == nil || !s.cancelRunning(w.conn) {
			s.reduce(&group.Abandoned{Request: w.id})
		}
		return
	}
}

// cancelRunning sends a cancel request, unless too many are under way.
func (s *Shard) cancelRunning(p *pooledConn) bool {
	if p.conn == nil {
		return false
	}
	if p.cancelling {
		return true
	}
	select {
	case s.cancels <- struct{}{}:
	default:
		return false
	}
	p.cancelling = true
	p.conn.MarkCancelled()
	s.metrics.cancels.Add(1)
	go s.sendCancel(p)
	return true
}

func (s *Shard) sendCancel(p *pooledConn) {
	ctx, stop := context.WithTimeout(s.ctx, peerTimeout)
	defer stop()
	if err := p.conn.Cancel(ctx); err != nil {
		s.logger.Debug("cancel request not delivered", "member", string(p.member), "error", err)
	}
	<-s.cancels
	s.mu.Lock()
	p.cancelling = false
	s.mu.Unlock()
}

// hangup ends everything of a caller that is gone: its request is abandoned, its
// open transaction rolled back by closing the connection it is pinned to.
func (s *Shard) hangup(caller core.CallerID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var abandoned core.RequestID
	for _, w := range s.waiters {
		if w.caller == caller {
			abandoned = w.id
			if w.conn != nil {
				s.cancelRunning(w.conn)
			}
			break
		}
	}
	_, pinned := s.pinned[caller]
	if abandoned != 0 {
		s.reduce(&group.Abandoned{Request: abandoned})
	}
	if pinned || abandoned != 0 {
		delete(s.pinned, caller)
		s.reduce(&group.HungUp{Caller: caller})
	}
}

// abandon gives a request up: its caller does not wait any more.
func (s *Shard) abandon(id core.RequestID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiters[id] != nil {
		s.reduce(&group.Abandoned{Request: id})
	}
}
