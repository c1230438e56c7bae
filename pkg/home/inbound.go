package home

import (
	"context"
	"time"

	"limpetspan/core"
	"limpetspan/core/group"
	"limpetspan/pkg/errs"
	"limpetspan/pkg/fleet"
)

// opinionTimeout bounds the connection attempt for another daemon's question.
const opinionTimeout = time.Second

// HomeNews takes in that a daemon is home of a group. direct marks a heartbeat
// from that daemon itself.
func (m *Manager) HomeNews(home fleet.Home, direct bool) {
	if s := m.shard(home.Group); s != nil {
		s.post(&group.HomeNews{
			Home: home.Daemon, Term: home.Term, Primary: home.Primary, Direct: direct, Released: home.Released,
		})
	}
}

// Handover takes in that a daemon gave the home of a term up in favour of this
// one, with the positions it knew.
func (m *Manager) Handover(id core.GroupID, from core.DaemonID, term core.Term, sessions []group.SessionPosition) error {
	s := m.shard(id)
	if s == nil {
		return errs.New(errs.NotHome, core.OutcomeNotRun, "home.handover", string(m.options.Self),
			"this daemon is no candidate of group %s", id)
	}
	s.post(&group.HandedOver{From: from, Term: term, Sessions: sessions})
	return nil
}

// Opinion answers another candidate's question whether a fresh connection from
// here reaches the member as primary. A kept connection would not do: it may be
// silent while the member is well, or alive while the member takes no new ones.
// Questions that overlap share one attempt, since connections are scarce.
func (m *Manager) Opinion(ctx context.Context, id core.GroupID, member core.MemberID) (Opinion, error) {
	s := m.shard(id)
	if s == nil {
		return Opinion{}, errs.New(errs.NotHome, core.OutcomeNotRun, "home.opinion", string(m.options.Self),
			"this daemon is no candidate of group %s", id)
	}
	answer := s.opinions.DoChan(string(member), func() (any, error) { return s.tryFresh(member), nil })
	select {
	case result := <-answer:
		return Opinion{Reachable: result.Val.(bool), Zone: m.options.Zone}, nil
	case <-ctx.Done():
		return Opinion{}, ctx.Err()
	}
}

// tryFresh reports whether a new connection finds the member as primary.
func (s *Shard) tryFresh(member core.MemberID) bool {
	addr, ok := s.address(member)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(s.ctx, opinionTimeout)
	defer cancel()
	control := s.dialer.Control(addr)
	control.OnOutOfStep = func(err error) { s.noteBroken(member, err) }
	status, err := control.Status(ctx, true)
	_ = control.Close()
	return err == nil && status.Role == core.RolePrimary
}
