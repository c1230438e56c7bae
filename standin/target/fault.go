package target

import (
	"fmt"
	"slices"
	"time"

	"limpetspan/core"
)

// Partition says from whom a member is cut off.
type Partition struct {
	// Clients cuts off all client connections.
	Clients bool `json:"clients"`
	// ClientTags cuts off the clients whose application_name ends with a
	// colon and one of the tags, as in limpetspan-work:zone-a.
	ClientTags []string `json:"client_tags,omitempty"`
	// Members cuts off all other members.
	Members bool `json:"members"`
	// Peers cuts off the named members.
	Peers []core.MemberID `json:"peers,omitempty"`
}

// Delay makes answers late.
type Delay struct {
	// For is the delay of one answer; zero ends the fault.
	For time.Duration `json:"for"`
	// Count is how many answers are late; zero: all until changed.
	Count int `json:"count"`
}

// Faults injects faults into the members of a group.
type Faults struct{ group *Group }

// Faults returns the fault injection of the group.
func (g *Group) Faults() *Faults { return &Faults{group: g} }

func (f *Faults) member(id core.MemberID) (*Member, error) {
	m := f.group.Member(id)
	if m == nil {
		return nil, fmt.Errorf("target: no member %q", id)
	}
	return m, nil
}

// change runs set with the member's state and the network locked, so that
// nothing of the time after the fault belongs to the time before.
func (f *Faults) change(id core.MemberID, set func(*Member)) error {
	m, err := f.member(id)
	if err != nil {
		return err
	}
	f.group.network.Lock()
	m.mu.Lock()
	set(m)
	m.mu.Unlock()
	f.group.network.Unlock()
	f.group.wake()
	return nil
}

// Crash ends the member's process: the listener closes, connections are reset,
// open transactions are lost; term, role and log are kept.
func (f *Faults) Crash(id core.MemberID) error {
	err := f.change(id, func(m *Member) {
		m.crashed = true
		m.leadership++
		m.resume()
	})
	if err != nil {
		return err
	}
	f.group.Member(id).stop()
	return nil
}

// Restart starts the process of a crashed member again at the same address.
func (f *Faults) Restart(id core.MemberID) error {
	wasCrashed := false
	err := f.change(id, func(m *Member) { wasCrashed, m.crashed = m.crashed, false })
	if err != nil {
		return err
	}
	if !wasCrashed {
		return fmt.Errorf("target: member %s has not crashed", id)
	}
	if err := f.group.Member(id).listen(); err != nil {
		_ = f.change(id, func(m *Member) { m.crashed = true })
		return fmt.Errorf("target: member %s: %w", id, err)
	}
	return nil
}

// Pause stops the member's process; connections stay open and the kernel still
// accepts new ones, but nothing is answered and no state changes.
func (f *Faults) Pause(id core.MemberID) error {
	err := f.change(id, func(m *Member) {
		if m.paused == nil && !m.crashed {
			m.paused = make(chan struct{})
		}
	})
	if err == nil {
		f.group.Member(id).setLinks(func(l *linkFaults) { l.paused = true })
	}
	return err
}

// Resume lets a paused member go on with everything it had.
func (f *Faults) Resume(id core.MemberID) error {
	err := f.change(id, (*Member).resume)
	if err == nil {
		f.group.Member(id).setLinks(func(l *linkFaults) { l.paused = false })
	}
	return err
}

// resume needs mu.
func (m *Member) resume() {
	if m.paused != nil {
		close(m.paused)
		m.paused = nil
	}
}

// Partition cuts the member off, in place of an earlier partition.
func (f *Faults) Partition(id core.MemberID, p Partition) error {
	err := f.change(id, func(m *Member) { m.cut = p })
	if err == nil {
		f.group.Member(id).setLinks(func(l *linkFaults) {
			l.clients, l.tags = p.Clients, p.ClientTags
		})
	}
	return err
}

// Heal ends the member's partition.
func (f *Faults) Heal(id core.MemberID) error { return f.Partition(id, Partition{}) }

// Silence makes the connections that are open now go silent for good: nothing
// arrives in either direction and neither end is told. New ones work.
func (f *Faults) Silence(id core.MemberID) error {
	m, err := f.member(id)
	if err != nil {
		return err
	}
	for _, s := range m.snapshotSessions() {
		s.link.silent.Store(true)
	}
	m.setLinks(func(l *linkFaults) { l.silences++ })
	return nil
}

// Delay makes answers of the member late.
func (f *Faults) Delay(id core.MemberID, d Delay) error {
	m, err := f.member(id)
	if err != nil {
		return err
	}
	m.setLinks(func(l *linkFaults) { l.delay, l.delays = d.For, d.Count })
	return nil
}

// SetLeaving makes the member report that it is leaving and refuse new work.
func (f *Faults) SetLeaving(id core.MemberID, leaving bool) error {
	return f.change(id, func(m *Member) { m.leaving = leaving })
}

// SetLag changes the member's replication lag, also for records on their way.
func (f *Faults) SetLag(id core.MemberID, lag Lag) error {
	return f.change(id, func(m *Member) { m.lag = lag })
}

// reaches reports whether two members can talk. Needs network.
func (g *Group) reaches(a, b *Member) bool {
	return !a.cutOffFrom(b) && !b.cutOffFrom(a)
}

func (m *Member) cutOffFrom(other *Member) bool {
	return m.cut.Members || slices.Contains(m.cut.Peers, other.options.ID)
}
