package home

import (
	"context"
	"time"

	"limpetspan/core/group"
	"limpetspan/pkg/fleet"
)

// peerTimeout bounds one message to another daemon where the effect names no
// bound.
const peerTimeout = 2 * time.Second

// handoverTimeout bounds the delivery of a handover.
const handoverTimeout = time.Second

// carryOut hands one effect out; s.mu is held, and nothing here may block. The
// effect's memory is reused by the next Reduce, so goroutines get copies.
func (s *Shard) carryOut(effect group.Effect) {
	switch e := effect.(type) {
	case *group.Dispatch:
		s.dispatch(e)
	case *group.Acknowledge:
		if w := s.waiters[e.Request]; w != nil {
			s.resolve(w, verdict{kind: verdictAcknowledge, position: e.Position})
		}
	case *group.Fail:
		s.failRequest(e)
	case *group.OpenConn:
		s.openConn(e)
	case *group.CloseConn:
		s.closeConn(e.Conn)
	case *group.Probe:
		s.probe(*e)
	case *group.Fence:
		s.fence(*e)
	case *group.Promote:
		s.promote(*e)
	case *group.AskOpinion:
		s.askOpinion(*e)
	case *group.Beat:
		s.beat(e)
	case *group.SendHandover:
		s.sendHandover(e)
	case *group.Drained:
		s.drainOnce.Do(func() { close(s.drained) })
	case *group.Log:
		s.log(*e)
	case *group.WakeAt:
		s.wakeAt(e.At)
	}
}

// dispatch gives a request its connection, or none if that is gone or closing:
// the request then reports that it was not sent.
func (s *Shard) dispatch(e *group.Dispatch) {
	p := s.conns[e.Conn]
	w := s.waiters[e.Request]
	if w == nil {
		return
	}
	if p != nil {
		p.busy = true
	}
	if p != nil && p.closing {
		p = nil
	}
	w.conn = p
	s.metrics.dispatched.Add(1)
	w.verdicts <- verdict{
		kind: verdictDispatch, dispatch: *e, conn: p,
		verify: p != nil && s.needsProof(p, s.manager.options.Now()),
	}
}

// failRequest ends a request. Its connection may be in the middle of an answer,
// which must not reach the connection's next user.
func (s *Shard) failRequest(e *group.Fail) {
	w := s.waiters[e.Request]
	if w == nil {
		return
	}
	if w.conn != nil {
		s.suspect(w.conn)
		s.discard(w.conn)
	}
	s.metrics.fail(e.Reason)
	s.resolve(w, verdict{kind: verdictFail, fail: *e})
}

// resolve gives a request its last verdict.
func (s *Shard) resolve(w *waiter, v verdict) {
	if w.over {
		return
	}
	w.over = true
	delete(s.waiters, w.id)
	w.verdicts <- v
}

// beat sends the home's heartbeat to the other candidates and, if Announce is set, announces the home
// to the whole fleet.
func (s *Shard) beat(e *group.Beat) {
	self := s.manager.options.Self
	home := fleet.Home{Group: s.id, Term: e.Term, Daemon: self, Primary: e.Primary, Released: e.Released}
	s.lastBeat = home
	for _, candidate := range s.others {
		if candidate.ID == self {
			continue
		}
		box := s.beats[candidate.ID]
		if box == nil {
			box = &mailbox[fleet.Home]{}
			s.beats[candidate.ID] = box
		}
		to := candidate.ID
		box.put(home, func(h fleet.Home) {
			ctx, cancel := context.WithTimeout(s.ctx, peerTimeout)
			defer cancel()
			if err := s.manager.options.Peers.SendBeat(ctx, to, h); err != nil {
				s.logger.Debug("heartbeat not delivered", "peer", string(to), "error", err)
			}
		})
	}
	if e.Announce {
		s.outbox.put(func() { s.manager.options.News(home) })
	}
}

// forgetBeats drops the mailboxes of daemons that are no candidates any more.
func (s *Shard) forgetBeats() {
	for id := range s.beats {
		if !isCandidate(s.others, id) {
			delete(s.beats, id)
		}
	}
}

// sendHandover delivers a handover. A drain waits for it: otherwise the end of
// the shard would cancel it, and the successor would claim only after the old
// home's heartbeats have been missed and its lease has expired.
func (s *Shard) sendHandover(e *group.SendHandover) {
	handover := *e
	handover.Sessions = append([]group.SessionPosition(nil), e.Sessions...)
	s.handovers.Go(func() {
		ctx, cancel := context.WithTimeout(s.ctx, handoverTimeout)
		defer cancel()
		err := s.manager.options.Peers.SendHandover(ctx, handover.To, s.id, handover.Term, handover.Sessions)
		if err != nil {
			s.logger.Warn("handover not delivered", "peer", string(handover.To), "term", handover.Term, "error", err)
		}
	})
}

func (s *Shard) askOpinion(e group.AskOpinion) {
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, e.Timeout)
		defer cancel()
		opinion, err := s.manager.options.Peers.AskOpinion(ctx, e.Peer, s.id, e.Member)
		if err != nil {
			// A peer that cannot be asked says nothing about the member.
			s.logger.Debug("no opinion", "peer", string(e.Peer), "member", string(e.Member), "error", err)
			return
		}
		s.post(&group.Opinion{Member: e.Member, From: e.Peer, Zone: opinion.Zone, Reachable: opinion.Reachable})
	}()
}

func (s *Shard) log(e group.Log) {
	s.outbox.put(func() {
		args := make([]any, 0, 8)
		if e.Member != "" {
			args = append(args, "member", string(e.Member))
		}
		if e.Peer != "" {
			args = append(args, "peer", string(e.Peer))
		}
		if e.Term != 0 {
			args = append(args, "term", uint64(e.Term))
		}
		if e.Detail != "" {
			args = append(args, "detail", e.Detail)
		}
		s.logger.Info(e.Message, args...)
	})
}
