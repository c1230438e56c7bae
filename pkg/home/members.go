package home

import (
	"context"
	"errors"
	"slices"
	"time"

	"limpetspan/core"
	"limpetspan/core/group"
	"limpetspan/pkg/target"
)

// errNoMember says that a member is not configured any more.
var errNoMember = errors.New("home: the member is not configured")

func isCandidate(list []group.Candidate, id core.DaemonID) bool {
	return slices.ContainsFunc(list, func(c group.Candidate) bool { return c.ID == id })
}

// control returns the member's control client; s.mu is held.
func (s *Shard) control(member core.MemberID) *target.Control {
	if c := s.controls[member]; c != nil {
		return c
	}
	m, ok := s.members[member]
	if !ok || s.closed {
		return nil
	}
	c := s.dialer.Control(m.Addr)
	c.OnOutOfStep = func(err error) { s.noteBroken(member, err) }
	s.controls[member] = c
	return c
}

// probe asks a member for its status. The lease counts from SentAt, so that is
// taken before anything is sent.
func (s *Shard) probe(e group.Probe) {
	control, sentAt := s.control(e.Member), s.manager.options.Now()
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, e.Timeout)
		defer cancel()
		status, err := core.Status{}, errNoMember
		if control != nil {
			status, err = control.Status(ctx, e.Fresh)
		}
		s.post(&group.Probed{
			Member: e.Member, SentAt: sentAt, Fresh: e.Fresh, Status: status, Err: target.Classify(err),
		})
	}()
}

func (s *Shard) fence(e group.Fence) {
	s.changeTerm("fence failed", e.Member, e.Term, e.Timeout, (*target.Control).Fence,
		func(status core.Status, failure group.Failure) group.Event {
			return &group.Fenced{Member: e.Member, Term: e.Term, Status: status, Err: failure}
		})
}

func (s *Shard) promote(e group.Promote) {
	s.changeTerm("promotion failed", e.Member, e.Term, e.Timeout, (*target.Control).Promote,
		func(status core.Status, failure group.Failure) group.Event {
			return &group.Promoted{Member: e.Member, Term: e.Term, Status: status, Err: failure}
		})
}

// changeTerm makes one call to a member and posts the event of its answer.
func (s *Shard) changeTerm(
	failed string, member core.MemberID, term core.Term, timeout time.Duration,
	call func(*target.Control, context.Context, core.Term) (core.Status, error),
	event func(core.Status, group.Failure) group.Event,
) {
	control := s.control(member)
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, timeout)
		defer cancel()
		status, err := core.Status{}, errNoMember
		if control != nil {
			status, err = call(control, ctx, term)
		}
		if err != nil {
			s.logger.Warn(failed, "member", string(member), "term", uint64(term), "error", err)
		}
		s.post(event(status, target.Classify(err)))
	}()
}
