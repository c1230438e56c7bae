package gossip

import (
	"context"
	"slices"
	"strings"
	"time"

	"limpetspan/core"
	"limpetspan/core/membership"
	"limpetspan/pkg/fleet"
)

var _ fleet.View = (*Service)(nil)

func toMember(d fleet.Daemon) membership.Daemon {
	return membership.Daemon{
		ID: d.ID, Zone: d.Zone, Region: d.Region,
		PeerAddr: d.PeerAddr, GossipAddr: d.GossipAddr, OperatorAddr: d.OperatorAddr,
		Incarnation: d.Incarnation, ConfigRevision: d.ConfigRevision,
	}
}

func fromMember(d *membership.Daemon) fleet.Daemon {
	return fleet.Daemon{
		ID: d.ID, Zone: d.Zone, Region: d.Region,
		PeerAddr: d.PeerAddr, GossipAddr: d.GossipAddr, OperatorAddr: d.OperatorAddr,
		State: fleet.State(d.State), Incarnation: d.Incarnation, ConfigRevision: d.ConfigRevision,
	}
}

// Self returns this daemon.
func (s *Service) Self() fleet.Daemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	self := s.reducer.Self()
	return fromMember(&self)
}

// Daemons returns all known daemons that are not dead, by id. Their
// ConfigRevision is as of the last change of membership or later.
func (s *Service) Daemons() []fleet.Daemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.daemons == nil {
		for _, d := range s.reducer.Daemons(nil) {
			s.daemons = append(s.daemons, fromMember(&d))
		}
		slices.SortFunc(s.daemons, func(a, b fleet.Daemon) int { return strings.Compare(string(a.ID), string(b.ID)) })
	}
	return s.daemons
}

// Fingerprint returns the number of daemons that are not dead and a digest of
// the whole view: views that agree have the same.
func (s *Service) Fingerprint() (live int, root uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reducer.LiveCount(), s.reducer.RootDigest()
}

// Daemon returns what is known of one daemon, the dead that are remembered
// included.
func (s *Service) Daemon(id core.DaemonID) (fleet.Daemon, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d, ok := s.reducer.Daemon(id)
	return fromMember(&d), ok
}

// Home returns the newest known home record of a group.
func (s *Service) Home(group core.GroupID) (fleet.Home, bool) {
	h, ok := s.homes.Load(group)
	if !ok {
		return fleet.Home{}, false
	}
	return h.(fleet.Home), true
}

// AnnounceHome announces a home record to the fleet.
func (s *Service) AnnounceHome(h fleet.Home) {
	s.reduce(&membership.AnnounceHome{Home: membership.Home(h)})
}

// AnnounceConfig announces that this daemon has a revision in force.
func (s *Service) AnnounceConfig(revision uint64) {
	s.reduce(&membership.AnnounceConfig{Revision: revision})
}

// AnnounceLeaving announces whether a target host is leaving.
func (s *Service) AnnounceLeaving(addr string, leaving bool) {
	s.reduce(&membership.AnnounceTarget{Addr: addr, Leaving: leaving})
}

// TargetLeaving reports whether a target host is known to be leaving.
func (s *Service) TargetLeaving(addr string) bool {
	_, ok := (*s.targets.Load())[addr]
	return ok
}

// Leave announces that this daemon is stopping. Run continues until its context
// is done, which should be at least a second later, so that other daemons receive
// the announcement.
func (s *Service) Leave() { s.reduce(&membership.Leave{}) }

// SetGroups gives the groups of the configuration in force, with the zones of
// their members.
func (s *Service) SetGroups(groups []membership.Group) {
	s.reduce(&membership.SetGroups{Groups: groups})
}

// Candidates returns the daemons that may be home of the group, best first.
func (s *Service) Candidates(group core.GroupID) []fleet.Daemon {
	if c, ok := s.candidates.Load(group); ok {
		return c.([]fleet.Daemon)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var ids [membership.CandidateCount]core.DaemonID
	list := s.lookup(s.reducer.Assignment().Candidates(ids[:0], group))
	s.candidates.Store(group, list)
	return list
}

// Assignment returns the groups for which this daemon is a candidate, sorted.
func (s *Service) Assignment() []core.GroupID {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reducer.Assignment().GroupsOf(s.reducer.Self().ID)
}

// Watchers returns the daemons of this region that watch the store.
func (s *Service) Watchers() []fleet.Daemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lookup(s.reducer.Assignment().Watchers(s.reducer.Self().Region))
}

// IsWatcher reports whether this daemon watches the store for its region; not
// before its view is whole, or, alone, a few seconds after the start.
func (s *Service) IsWatcher() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	self := s.reducer.Self()
	if !s.reducer.Ready(core.Time(time.Since(s.epoch))) {
		return false
	}
	return slices.Contains(s.reducer.Assignment().Watchers(self.Region), self.ID)
}

func (s *Service) lookup(ids []core.DaemonID) []fleet.Daemon {
	list := make([]fleet.Daemon, 0, len(ids))
	for _, id := range ids {
		if d, ok := s.reducer.Daemon(id); ok {
			list = append(list, fromMember(&d))
		}
	}
	return list
}

// Subscribe calls f, never concurrently, after each change.
func (s *Service) Subscribe(f func(fleet.Change)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := append(slices.Clone(*s.subscribers.Load()), f)
	s.subscribers.Store(&list)
}

// publish brings the copies that are read without the mutex up to date and
// collects the change for the subscribers. The mutex is held.
func (s *Service) publish(c *membership.Change) {
	if c.IsEmpty() {
		return
	}
	for _, group := range c.Homes {
		if h, ok := s.reducer.Home(group); ok {
			s.homes.Store(group, fleet.Home(h))
		} else {
			s.homes.Delete(group)
		}
	}
	if c.Membership {
		s.daemons = nil
		s.candidates.Clear()
	}
	for _, group := range c.Candidates {
		s.candidates.Delete(group)
	}
	if c.Targets {
		leaving := s.reducer.LeavingTargets()
		s.targets.Store(&leaving)
	}
	s.collect(c)
}

func (s *Service) collect(c *membership.Change) {
	p := &s.change
	p.Membership = p.Membership || c.Membership
	p.Leaving = p.Leaving || c.Targets
	p.Homes = appendNew(p.Homes, c.Homes)
	p.Candidates = appendNew(p.Candidates, c.Candidates)
	if c.ConfigRevision >= p.ConfigRevision && c.ConfigRevision > 0 {
		p.ConfigRevision, p.ConfigPeer = c.ConfigRevision, c.ConfigPeer
	}
	select {
	case s.notify <- struct{}{}:
	default: // a notification is under way and will see this change
	}
}

// dedupeAbove is the number of collected groups from which on doubles are
// looked for; below, they cost less than the search.
const dedupeAbove = 64

func appendNew(list, more []core.GroupID) []core.GroupID {
	list = append(list, more...)
	if len(list) > dedupeAbove && len(list) == cap(list) {
		slices.Sort(list)
		list = slices.Compact(list)
	}
	return list
}

func (s *Service) notifyLoop(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.notify:
		}
		s.mu.Lock()
		change := s.change
		s.change = fleet.Change{}
		s.mu.Unlock()
		slices.Sort(change.Homes)
		change.Homes = slices.Compact(change.Homes)
		slices.Sort(change.Candidates)
		change.Candidates = slices.Compact(change.Candidates)
		for _, f := range *s.subscribers.Load() {
			f(change)
		}
	}
}
