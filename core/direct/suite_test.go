package direct_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/direct"
)

func TestDirect(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "direct")
}

const (
	ms = time.Millisecond
	// startTime is when the scripts begin; 0 means "never" inside the reducer.
	startTime = core.Time(10 * time.Second)
)

// script sends events to a group and collects the effects.
type script struct {
	g       *direct.Group
	at      core.Time
	effects []direct.Effect
}

// newScript returns the script of a group that this daemon has followed for a while. Its three
// members a (primary), b and c have been probed, and six daemons share it.
func newScript() *script {
	s := &script{g: direct.NewGroup("g", "d1", "zone-1"), at: startTime.Add(-direct.ListSettleTime)}
	s.g.Configure(direct.GroupSpec{ID: "g", MaxConns: 22})
	s.g.SetHomes(6, true)
	s.listMembers("a", "b", "c")
	s.at = startTime
	s.g.ConfirmMembers(s.at)
	s.probed("a", core.RolePrimary, 1)
	// The lease comes from a read of the promotion lock that has almost expired; the replicas
	// extend it.
	s.record(s.g.LockRead(s.at, s.at.Add(ms-direct.LeaseDuration), direct.LockState{}))
	s.probed("b", core.RoleReplica, 1)
	s.probed("c", core.RoleReplica, 1)
	s.effects = nil
	return s
}

func (s *script) listMembers(ids ...core.MemberID) {
	var members []direct.Member
	for _, id := range ids {
		members = append(members, direct.Member{ID: id, Group: "g", Addr: string(id), Zone: "zone-1", Slots: 3})
	}
	s.record(s.g.UpdateMembers(s.at, s.at, members))
}

func (s *script) advance(d time.Duration) { s.at = s.at.Add(d) }

func (s *script) record(e []direct.Effect) { s.effects = append(s.effects, e...) }

// allSlotsBusy is the number of running statements of a member whose three slots are in use,
// including the status request.
const allSlotsBusy = 4

// probed answers a probe at once. The primary has no free slot, so that reads go to replicas that
// can serve them.
func (s *script) probed(id core.MemberID, role core.Role, term core.Term) {
	st := direct.Status{Role: role, Term: term, Position: core.Position{Term: term, LSN: 10}}
	if role == core.RolePrimary {
		st.RunningStatements = allSlotsBusy
	}
	s.status(id, st)
}

func (s *script) status(id core.MemberID, st direct.Status) { s.record(s.g.Probed(s.at, s.at, id, st)) }

// tick advances the time in steps of 20 ms; the members in answering answer all probes.
func (s *script) tick(d time.Duration, answering map[core.MemberID]direct.Status) {
	for end := s.at.Add(d); s.at < end; {
		s.advance(20 * ms)
		s.g.ConfirmMembers(s.at)
		for _, e := range s.g.Tick(s.at) {
			s.effects = append(s.effects, e)
			if st, ok := answering[e.Member]; ok && e.Kind == direct.EffectProbe {
				s.status(e.Member, st)
			}
		}
	}
}

// take returns the collected effects of the kind and discards all effects.
func (s *script) take(kind direct.EffectKind) []direct.Effect {
	var found []direct.Effect
	for _, e := range s.effects {
		if e.Kind == kind {
			found = append(found, e)
		}
	}
	s.effects = nil
	return found
}

// peerSuspects makes another daemon report that it gets no answer from the primary.
func (s *script) peerSuspects(id core.DaemonID) {
	s.record(s.g.PeerReported(s.at, s.at, id, direct.Report{Group: "g", Primary: "a", Term: 1, Suspect: true}))
}

var (
	primary = direct.Status{Role: core.RolePrimary, Term: 1, RunningStatements: allSlotsBusy, Position: core.Position{Term: 1, LSN: 10}}
	replica = direct.Status{Role: core.RoleReplica, Term: 1, Position: core.Position{Term: 1, LSN: 10}}
	fenced  = direct.Status{Role: core.RoleReplica, Term: 1, FencedTerm: 2, Position: core.Position{Term: 1, LSN: 10}}

	onlyPrimaryAnswers = map[core.MemberID]direct.Status{"a": primary}
)
