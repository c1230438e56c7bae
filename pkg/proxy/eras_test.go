package proxy

import (
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/auth"
	"limpetspan/core/era"
	"limpetspan/core/quota"
	"limpetspan/platform"
)

// awaitRestores waits until all daemons have observed the nth restore of the store.
func (f *fleet) awaitRestores(n int64) {
	GinkgoHelper()
	for _, d := range f.daemons {
		Eventually(d.p.stats.erasEnded.Value, waitLimit).Should(Equal(n), "%s", d.s.Daemon)
	}
}

// promoteReplica makes the primary unresponsive and waits until another member leads.
func (f *fleet) promoteReplica() {
	GinkgoHelper()
	old := f.group.Primary()
	old.SetUnresponsive(true)
	f.daemons[0].dial("db-primary").queryUntilServed("WRITE k 1")
	Expect(f.group.Primary()).NotTo(Equal(old))
	old.SetUnresponsive(false)
	Eventually(old.IsPrimary, waitLimit).Should(BeFalse())
}

// withFirstStart tells daemons that the fleet starts for the first time.
func withFirstStart(f *fleet) {
	adjust := f.adjustSettings
	f.adjustSettings = func(s *platform.Settings) {
		adjust(s)
		s.FirstStart = true
	}
}

// read reads an item in a session of its own with the key, and returns the result or the refusal.
func (d *daemon) read(database, key string) string {
	x := d.dialWith(database, key)
	defer x.c.Close()
	line := x.line()
	if line == "READY I -" {
		line = x.query("READ k").result
	}
	return line
}

// requestSlot requests the team's slot for the daemon, and waits up to half a second for it.
func (d *daemon) requestSlot(team core.TeamID) {
	d.p.limits.awaitSlot(auth.Team{ID: team, Limited: true}, false, now().Add(500*time.Millisecond))
}

// holdsSlot reports whether the daemon holds the team's slot.
func (d *daemon) holdsSlot(team core.TeamID) bool {
	d.p.limits.mu.Lock()
	defer d.p.limits.mu.Unlock()
	_, held := d.p.limits.holder.Holds(now(), quota.SlotOf(team))
	return held
}

var _ = Describe("a store that was restored from an older copy", func() {
	// Guards against two promotions under one fencing token, and against a promotion lock that is
	// acquired while the holder of a lost lock may still request a promotion.
	It("assigns higher fencing tokens, and none before locks of the earlier era have expired", func() {
		f := newFleet(2)
		f.store.TakeSnapshot()
		f.promoteReplica()
		before := len(f.store.PromoteRequests())
		f.store.RestoreSnapshot(0)
		restored := time.Now()
		f.awaitRestores(1)
		f.group.Primary().SetUnresponsive(true)
		Consistently(func() int { return len(f.store.PromoteRequests()) }, era.SettleDuration-time.Since(restored)-time.Second, 50*time.Millisecond).Should(Equal(before))
		f.daemons[0].dial("db-primary").queryUntilServed("WRITE k 2")
		requests := f.store.PromoteRequests()
		Expect(len(requests)).To(BeNumerically(">", before))
		last := uint64(0)
		for _, o := range requests {
			Expect(o.Token).To(BeNumerically(">", last))
			last = o.Token
		}
	})

	// Guards against daemons that stay unlisted after the restore, or whose entry has no lease.
	It("receives the registrations of daemons again", func() {
		f := newFleet(1)
		f.store.TakeSnapshot()
		port := f.daemons[0].s.GossipPort
		f.daemons = append(f.daemons, f.start(processIP(3), 1, port))
		Eventually(f.daemons[1].isStarted, waitLimit).Should(BeTrue())
		f.awaitJoined()
		f.store.RestoreSnapshot(0)
		f.awaitRestores(1)
		key := platform.DaemonsPrefix + string(f.daemons[1].s.Daemon)
		Eventually(func() error {
			_, _, err := f.daemons[0].p.client.Get(f.daemons[0].p.ctx, key)
			return err
		}, waitLimit).Should(Succeed())
		f.awaitJoined()
	})

	// Guards against a watch that continues from a revision which has been assigned again, and
	// against a configuration that is reverted.
	It("is read again in full, and never reverts the configuration", func() {
		f := newFleet(2)
		f.configure("db-primary", "db-own")
		f.awaitConfiguration(f.daemons)
		f.store.TakeSnapshot()
		f.configure("db-primary", "db-own", "db-stale")
		f.awaitConfiguration(f.daemons)
		f.store.RestoreSnapshot(time.Second)
		// Raises the store's revisions above those that the daemons have seen.
		for range 40 {
			Expect(f.store.Put("other/key", 1)).To(Succeed())
		}
		Consistently(func() uint64 { return min(f.daemons[0].configurationVersion(), f.daemons[1].configurationVersion()) }, time.Second).Should(Equal(uint64(f.version)))
		f.awaitRestores(1)
		f.configure("db-own")
		f.awaitConfiguration(f.daemons)
	})

	// Guards against a daemon that starts after the restore and treats the restored configuration as the
	// newest. It would accept keys that were removed after the store's copy was made.
	It("does not prove a removed key before the operator has written the configuration again", func() {
		f := newFleet(1, withKeys)
		f.store.TakeSnapshot()
		f.setTeams(teamEntry("gates", "another"))
		f.awaitConfiguration(f.daemons)
		f.store.RestoreSnapshot(time.Second)
		f.awaitRestores(1)
		d := f.start(processIP(3), 1, f.daemons[0].s.GossipPort)
		f.daemons = append(f.daemons, d)
		Eventually(func() error {
			_, err := net.Dial("tcp", d.s.CallerAddr)
			return err
		}, waitLimit).Should(Succeed())
		Eventually(func() string { return d.read("db-primary", gatesKey) }, waitLimit).Should(HavePrefix("ERROR AUTHFAIL"))
		Expect(f.statementsOf("gates")).To(BeZero())
	})

	// Guards against a daemon that serves a key which was taken away: its settings tell that the fleet
	// starts for the first time, and it takes the era that follows a restore for that of the first start.
	It("does not prove a removed key to a daemon that has started with the fleet", func() {
		f := newFleet(1, withKeys, withFirstStart)
		d := f.daemons[0]
		d.openSession("db-primary", gatesKey).queryUntilServed("READ k")
		f.store.TakeSnapshot()
		d.cutStoreAndWait()
		f.setTeams(teamEntry("gates", "another"))
		Eventually(func() string { return d.read("db-primary", gatesKey) }, waitLimit).Should(HavePrefix("ERROR"))
		before := f.statementsOf("gates")
		f.store.RestoreSnapshot(time.Second)
		d.p.client.SetAddresses(d.s.StoreAddr, d.s.PromoteAddr)
		f.awaitRestores(1)
		Eventually(func() string { return d.read("db-primary", gatesKey) }, waitLimit).Should(HavePrefix("ERROR AUTHFAIL"))
		Expect(f.statementsOf("gates")).To(Equal(before))
	})

	// Guards against a daemon that attests an era to others, or takes locks and slots in it, before it
	// has settled: its settings tell that the fleet starts for the first time.
	DescribeTable("is not settled for a daemon whose settings tell that the fleet starts for the first time", func(restarts bool) {
		f := newFleet(1, withFirstStart)
		f.store.TakeSnapshot()
		if restarts {
			f.daemons[0].kill()
		}
		f.store.RestoreSnapshot(0)
		restored := time.Now()
		if restarts {
			f.daemons[0] = run(f.daemons[0].s, f.log)
			Eventually(f.daemons[0].isStarted, waitLimit).Should(BeTrue())
		} else {
			f.awaitRestores(1)
		}
		d := f.daemons[0]
		isSettled := func() bool {
			_, _, err := d.p.client.Get(d.p.ctx, platform.EraKey)
			return err == nil || d.p.eras.isSettled()
		}
		Consistently(isSettled, era.SettleDuration-time.Since(restored)-time.Second, 50*time.Millisecond).Should(BeFalse())
		Eventually(isSettled, waitLimit).Should(BeTrue())
	},
		Entry("and that runs when the store is restored", false),
		Entry("and that starts in the later era", true),
	)

	// Guards against a promotion lock that counts as never taken, although the store may have lost it.
	It("has lost locks that it lacks, also for a daemon that has started with the fleet", func() {
		f := newFleet(1, withFirstStart)
		f.store.TakeSnapshot()
		f.store.RestoreSnapshot(0)
		f.awaitRestores(1)
		state, _ := f.daemons[0].p.claims.lockState(platform.Item{Key: platform.LocksPrefix + "ledger"}, false)
		Expect(state.EarlierEra).To(BeTrue())
	})

	// Guards against two daemons that count one team. The store has lost the holder's key of the slot,
	// and the holder continues until its lease has expired by its own clock.
	It("gives a team's slot to no daemon before the lease of its lost holder has expired", func() {
		f := newFleet(2, withLimits)
		f.awaitAllDiscovered()
		f.store.TakeSnapshot()
		holder, other := f.daemons[0], f.daemons[1]
		holder.requestSlot("gates")
		Expect(holder.holdsSlot("gates")).To(BeTrue())
		f.store.RestoreSnapshot(0)
		restored := time.Now()
		f.awaitRestores(1)
		Consistently(func() bool {
			other.requestSlot("gates")
			return other.holdsSlot("gates")
		}, era.SettleDuration-time.Since(restored)-time.Second).Should(BeFalse())
		Eventually(func() bool {
			other.requestSlot("gates")
			return holder.holdsSlot("gates") != other.holdsSlot("gates")
		}, waitLimit).Should(BeTrue())
	})
})
