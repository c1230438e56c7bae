package proxy

import (
	"fmt"
	"slices"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/auth"
	"limpetspan/core/quota"
	"limpetspan/platform"
)

// withLimits configures teams with limits: that of team gates is low, that of team bays is never
// reached.
func withLimits(f *fleet) {
	withKeys(f)
	keys := f.adjustSettings
	f.adjustSettings = func(s *platform.Settings) {
		keys(s)
		s.LimitsEnabled, s.QuotaTolerance = true, quota.Tolerance{Window: time.Second, Overage: 0.1, Slack: 20}
		// A proof of the configuration must not expire while a test waits.
		s.KeyRevocationBound = 30 * time.Second
	}
	gates, bays := teamEntry("gates", gatesKey), teamEntry("bays", baysKey)
	gates["rate_per_s"], gates["burst"] = 5, 10
	bays["rate_per_s"], bays["burst"] = 10_000, 10_000
	f.teams = []map[string]any{gates, bays}
}

// maxStatements returns the number of statements of team gates that may run within the duration.
func maxStatements(d time.Duration) int { return int((5*d.Seconds()+10)*1.1 + 20) }

// statementsOf returns the number of statements that members have run for the team.
func (f *fleet) statementsOf(name string) (n int) {
	for _, m := range f.group.Members() {
		for _, of := range m.StatementTeams() {
			if of == name {
				n++
			}
		}
	}
	return n
}

// countingDaemon returns the daemon that counts the team's operations, nil if none does.
func (f *fleet) countingDaemon(name core.TeamID) *daemon {
	for _, d := range f.daemons {
		d.p.limits.mu.Lock()
		c := d.p.limits.counters[name]
		held := false
		if c != nil {
			_, held = d.p.limits.holder.Holds(now(), quota.SlotOf(name))
		}
		d.p.limits.mu.Unlock()
		if held {
			return d
		}
	}
	return nil
}

// runTransaction runs a transaction, and returns false if it was refused.
func (x *caller) runTransaction() bool {
	x.query("BEGIN")
	if !x.query("WRITE k 1").isServed() {
		x.query("ROLLBACK")
		return false
	}
	return x.query("COMMIT").isServed()
}

var _ = Describe("a team's limit", func() {
	// One team exceeds its limit many times over on all daemons at once. Guards against members that
	// run more than the limit, and against refusals of another team.
	It("is enforced across all daemons; a refused operation has not run and is given a retry-after time", func() {
		f := newFleet(3, withLimits)
		began := time.Now()
		refused := 0
		for i := range 120 {
			x := f.daemons[i%3].openSession("db-primary", gatesKey)
			if a := x.query(fmt.Sprintf("READ k%d", i)); !a.isServed() {
				Expect(a.result).To(MatchRegexp(`^ERROR BUSY not run: .*; retry after \d+ ms$`))
				Expect(f.teamsOf(a.id)).To(BeEmpty())
				refused++
			}
		}
		Expect(f.statementsOf("gates")).To(BeNumerically("<=", maxStatements(time.Since(began))))
		Expect(refused).To(BeNumerically(">", 0))
		for _, d := range f.daemons {
			x := d.openSession("db-primary", baysKey)
			for range 10 {
				x.queryUntilServed("READ k")
			}
		}
		counter := f.countingDaemon("gates")
		Expect(counter).NotTo(BeNil())
		usages := counter.p.limits.busiestTeams(1)
		Expect(usages[0].Served).To(BeNumerically(">", 0))
		Expect(counter.p.pools()).NotTo(BeEmpty())
	})

	// A caller's entry is the preferred home of the team, but another home counts the team. Guards
	// against an entry that refuses all transactions for as long as the other home holds the slot.
	It("does not refuse a transaction at the preferred home while another home counts the team", func() {
		f := newFleet(2, withLimits)
		entry, counter := f.daemons[0], f.daemons[1]
		f.awaitAllDiscovered()
		if !entry.p.homes.servesTeam("ledger", "bays") {
			entry, counter = counter, entry
		}
		counter.p.limits.awaitSlot(auth.Team{ID: "bays", Limited: true}, false, now().Add(waitLimit))
		x := entry.openSession("db-primary", baysKey)
		Eventually(x.runTransaction, waitLimit).Should(BeTrue())
		Expect(counter.p.stats.dials.Value()).To(BeNumerically(">", 0))
	})

	// The preferred home of a team does not count it, another home does, and the caller's entry is a
	// third one. Guards against an entry that forwards single statements to the daemon that counts,
	// but whose transactions are refused.
	It("does not refuse a transaction at an entry while another home than the preferred one counts the team", func() {
		f := newFleet(3, withLimits)
		first := func() *daemon {
			for _, d := range f.daemons {
				if d.p.homes.servesTeam("ledger", "bays") {
					return d
				}
			}
			return nil
		}
		f.awaitAllDiscovered()
		others := slices.DeleteFunc(slices.Clone(f.daemons), func(d *daemon) bool { return d == first() })
		counter, entry := others[0], others[1]
		counter.p.limits.awaitSlot(auth.Team{ID: "bays", Limited: true}, false, now().Add(waitLimit))
		x := entry.openSession("db-primary", baysKey)
		Eventually(x.runTransaction, waitLimit).Should(BeTrue())
		Expect(counter.p.limits.busiestTeams(1)).To(HaveLen(1), "another daemon has taken the slot since")
	})

	It("counts a transaction once, and aborts none that has begun", func() {
		f := newFleet(1, withLimits)
		x := f.daemons[0].openSession("db-primary", gatesKey)
		x.queryUntilServed("READ k")
		Expect(x.query("BEGIN").state).To(Equal("T"))
		began := time.Now()
		for i := range 4 * maxStatements(0) {
			Expect(x.query(fmt.Sprintf("WRITE k%d 1", i)).state).To(Equal("T"))
		}
		Expect(x.query("COMMIT").isServed()).To(BeTrue())
		Expect(time.Since(began)).To(BeNumerically("<", waitLimit))
	})

	// The daemon that counts a team is killed and restarted while the team's callers send through
	// another daemon. No other daemon may count the team before the old lease has expired; the new
	// process continues at once. Guards against members that run more than the limit meanwhile.
	It("is enforced when the counting daemon is killed and restarted", func() {
		f := newFleet(2, withLimits)
		began := time.Now()
		ask := func(d *daemon) { d.openSession("db-primary", gatesKey).query("READ k") }
		for range 20 {
			ask(f.daemons[0])
			ask(f.daemons[1])
		}
		old := f.countingDaemon("gates")
		Expect(old).NotTo(BeNil())
		other := f.daemons[0]
		if other == old {
			other = f.daemons[1]
		}
		old.kill()
		for range 20 {
			ask(other)
		}
		again := run(old.s, f.log)
		f.daemons = append(f.daemons, again)
		Eventually(again.isStarted, waitLimit).Should(BeTrue())
		ran := f.statementsOf("gates")
		Eventually(func() int { ask(again); ask(other); return f.statementsOf("gates") }, waitLimit).Should(BeNumerically(">", ran))
		Expect(f.statementsOf("gates")).To(BeNumerically("<=", maxStatements(time.Since(began))))
	})

	It("takes effect with the configuration when it is lowered", func() {
		f := newFleet(1, withLimits)
		x := f.daemons[0].openSession("db-primary", baysKey)
		for range 50 {
			x.queryUntilServed("READ k")
		}
		bays := teamEntry("bays", baysKey)
		bays["rate_per_s"], bays["burst"] = 0, 0
		f.setTeams(bays)
		Eventually(func() string { return x.query("READ k").result }, waitLimit).Should(ContainSubstring("the team is at its limit"))
	})

	It("locks out no team when a daemon takes more slots than one call allows", func() {
		f := newFleet(1, withLimits, func(f *fleet) {
			for i := range 3 * quota.MaxSlotsPerCall {
				t := teamEntry(fmt.Sprintf("t%d", i), fmt.Sprintf("key-%d", i))
				t["rate_per_s"], t["burst"] = 100, 100
				f.teams = append(f.teams, t)
			}
		})
		for i := range 3 * quota.MaxSlotsPerCall {
			f.daemons[0].openSession("db-primary", fmt.Sprintf("key-%d", i)).queryUntilServed("READ k")
		}
	})
})
