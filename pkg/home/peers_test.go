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
	standin "limpetspan/standin/target"
)

// directPeers takes messages to the Managers of the same process.
type directPeers struct {
	self core.DaemonID
	all  map[core.DaemonID]*daemon
	// handed are the handovers that arrived.
	handed *[][]group.SessionPosition
}

// handoverDelay is how long a handover is under way.
const handoverDelay = 50 * time.Millisecond

func (p *directPeers) SendBeat(_ context.Context, to core.DaemonID, h fleet.Home) error {
	p.all[to].manager.HomeNews(h, true)
	return nil
}

func (p *directPeers) AskOpinion(ctx context.Context, to core.DaemonID, id core.GroupID, member core.MemberID) (home.Opinion, error) {
	return p.all[to].manager.Opinion(ctx, id, member)
}

func (p *directPeers) SendHandover(ctx context.Context, to core.DaemonID, id core.GroupID, term core.Term, sessions []group.SessionPosition) error {
	select {
	case <-time.After(handoverDelay):
	case <-ctx.Done():
		return ctx.Err()
	}
	*p.handed = append(*p.handed, sessions)
	return p.all[to].manager.Handover(id, p.self, term, sessions)
}

const (
	// longLease tells a claim that waits a lease out from one that need not.
	longLease = 4 * time.Second
	// stuck is a lag that lasts longer than a test.
	stuck = time.Hour
)

var _ = Describe("Two candidates", func() {
	var first, second *daemon
	var members *standin.Group
	var handed [][]group.SessionPosition
	start := func(lease time.Duration) {
		members, handed = startMembers(), nil
		all := make(map[core.DaemonID]*daemon)
		candidates := []group.Candidate{{ID: "d1", Zone: "z1"}, {ID: "d2", Zone: "z2"}}
		for _, c := range candidates {
			d := &daemon{now: clock()}
			d.manager = home.New(home.Options{
				Self: c.ID, Zone: c.Zone, Dialer: &target.Dialer{User: "u"}, Now: d.now,
				Peers: &directPeers{self: c.ID, all: all, handed: &handed}, Tuning: group.Tuning{
					ClaimDelay: 300 * time.Millisecond, BeatInterval: 20 * time.Millisecond, LeaseDuration: lease,
				},
			})
			all[c.ID] = d
			DeferCleanup(d.manager.Close)
		}
		for _, d := range all {
			d.manager.Ensure("g", declare(members), 1, candidates)
		}
		first, second = all["d1"], all["d2"]
		first.eventually(query("CREATE TABLE charge(amount int)"))
	}

	It("have one home, and the other one names it", func() {
		start(0)
		_, result, err := second.do('I', "", query("SELECT 1"))
		Expect(errs.Is(err, errs.NotHome)).To(BeTrue())
		Expect(errs.As(err).Outcome).To(Equal(core.OutcomeNotRun))
		Expect(result.Hint).To(Equal(core.DaemonID("d1")))
	})

	// The home stops in a planned way after a rider's check-out that no replica
	// has. Its shard ends as soon as the group is handed over; if that cancelled
	// the handover, the rider's read would wait until the lease expires.
	It("hand the group over, with its sessions, when the home stops", func() {
		start(longLease)
		for _, replica := range []core.MemberID{"b", "c"} {
			Expect(members.Faults().SetLag(replica, standin.Lag{Fixed: stuck})).To(Succeed())
		}
		_, result := first.run('I', "", query("INSERT INTO charge VALUES(7)"))
		ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
		defer cancel()
		Expect(first.manager.Drain(ctx)).To(Succeed())
		Expect(handed).To(Equal([][]group.SessionPosition{{{Session: "s1", Position: result.Position}}}))
		read := second.request('I', "", query("SELECT count(*) FROM charge"))
		read.Read = true
		a := &answer{}
		Eventually(func() error {
			a = &answer{}
			_, err := second.manager.Do(context.Background(), read, a)
			return err
		}, longLease/2, time.Millisecond).Should(Succeed())
		Expect(a.first()).To(Equal("1"))
		second.eventually(query("INSERT INTO charge VALUES(8)"))
		Expect(second.count()).To(Equal("2"))
	})

	It("give an opinion from a fresh connection", func() {
		start(0)
		opinion, err := second.manager.Opinion(context.Background(), "g", "a")
		Expect(err).NotTo(HaveOccurred())
		Expect(opinion).To(Equal(home.Opinion{Reachable: true, Zone: "z2"}))
		opinion, err = second.manager.Opinion(context.Background(), "g", "b")
		Expect(err).NotTo(HaveOccurred())
		Expect(opinion.Reachable).To(BeFalse())
	})
})
