package home_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/group"
	"limpetspan/pkg/errs"
	"limpetspan/pkg/fleet"
	"limpetspan/pkg/home"
	"limpetspan/pkg/target"
)

// directPeers takes messages to the Managers of the same process.
type directPeers struct {
	self core.DaemonID
	all  map[core.DaemonID]*daemon
}

func (p *directPeers) SendBeat(_ context.Context, to core.DaemonID, h fleet.Home) error {
	p.all[to].manager.HomeNews(h, true)
	return nil
}

func (p *directPeers) AskOpinion(ctx context.Context, to core.DaemonID, id core.GroupID, member core.MemberID) (home.Opinion, error) {
	return p.all[to].manager.Opinion(ctx, id, member)
}

func (p *directPeers) SendHandover(_ context.Context, to core.DaemonID, id core.GroupID, term core.Term, sessions []group.SessionPosition) error {
	return p.all[to].manager.Handover(id, p.self, term, sessions)
}

var _ = Describe("Two candidates", func() {
	var first, second *daemon
	BeforeEach(func() {
		members := startMembers()
		all := make(map[core.DaemonID]*daemon)
		candidates := []group.Candidate{{ID: "d1", Zone: "z1"}, {ID: "d2", Zone: "z2"}}
		for _, c := range candidates {
			d := &daemon{now: clock()}
			d.manager = home.New(home.Options{
				Self: c.ID, Zone: c.Zone, Dialer: &target.Dialer{User: "u"}, Now: d.now,
				Peers: &directPeers{self: c.ID, all: all}, Tuning: group.Tuning{ClaimDelay: 300 * time.Millisecond, BeatInterval: 20 * time.Millisecond},
			})
			all[c.ID] = d
			DeferCleanup(d.manager.Close)
		}
		for _, d := range all {
			d.manager.Ensure("g", declare(members), 1, candidates)
		}
		first, second = all["d1"], all["d2"]
		first.eventually(query("CREATE TABLE charge(amount int)"))
	})

	It("have one home, and the other one names it", func() {
		_, result, err := second.do('I', "", query("SELECT 1"))
		Expect(errs.Is(err, errs.NotHome)).To(BeTrue())
		Expect(errs.As(err).Outcome).To(Equal(core.OutcomeNotRun))
		Expect(result.Hint).To(Equal(core.DaemonID("d1")))
	})

	It("hand the group over when the home stops", func() {
		first.run('I', "", query("INSERT INTO charge VALUES(7)"))
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		Expect(first.manager.Drain(ctx)).To(Succeed())
		second.eventually(query("INSERT INTO charge VALUES(8)"))
		Expect(second.count()).To(Equal("2"))
	})

	It("give an opinion from a fresh connection", func() {
		opinion, err := second.manager.Opinion(context.Background(), "g", "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(opinion).To(Equal(home.Opinion{Reachable: true, Zone: "z2"}))
		opinion, err = second.manager.Opinion(context.Background(), "g", "b")
		Expect(err).NotTo(HaveOccurred())
		Expect(opinion.Reachable).To(BeFalse())
	})
})
