package proxy

import (
	"context"
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/auth"
	"limpetspan/core/direct"
	"limpetspan/core/policy"
	"limpetspan/core/quota"
	"limpetspan/platform"
)

// withSplitLimits configures teams with limits that are split between two holders.
func withSplitLimits(f *fleet) {
	withLimits(f)
	limits := f.adjustSettings
	f.adjustSettings = func(s *platform.Settings) {
		limits(s)
		s.OverloadControl, s.SplitLimits = true, true
	}
}

// withOverloadControl configures teams with limits and overload control, but no split limits.
func withOverloadControl(f *fleet) {
	withSplitLimits(f)
	split := f.adjustSettings
	f.adjustSettings = func(s *platform.Settings) {
		split(s)
		s.SplitLimits = false
	}
}

// holderOf returns the running daemon that holds the slot, nil if there is none.
func (f *fleet) holderOf(slot quota.Slot) *daemon {
	for _, d := range f.daemons {
		d.p.limits.mu.Lock()
		_, holds := d.p.limits.holder.Holds(now(), slot)
		d.p.limits.mu.Unlock()
		if holds && !d.p.closing() {
			return d
		}
	}
	return nil
}

// awaitBothHolders waits until two daemons hold the team's slot and its second slot. It returns them
// and a third daemon.
func (f *fleet) awaitBothHolders(team core.TeamID) (first, second, third *daemon) {
	slot := quota.SlotOf(team)
	Eventually(func() bool {
		first, second = f.holderOf(slot), f.holderOf(slot.Second())
		return first != nil && second != nil && first != second
	}, waitLimit).Should(BeTrue())
	for _, d := range f.daemons {
		if d != first && d != second {
			third = d
		}
	}
	return first, second, third
}

// slotValues returns the values of all slots' keys in the store.
func (f *fleet) slotValues() map[string]string {
	items, _, err := f.daemons[0].p.client.List(context.Background(), platform.LimitsPrefix)
	Expect(err).NotTo(HaveOccurred())
	values := make(map[string]string)
	for _, item := range items {
		values[item.Key] = string(item.Value)
	}
	return values
}

var _ = Describe("a team's split limit", func() {
	// The holder of a team's slot is lost for good. Guards against a team that is not served until
	// the lost daemon's lease has ended.
	It("serves the team's second part while the holder of its slot is lost", func() {
		f := newFleet(3, withSplitLimits)
		f.awaitAllDiscovered()
		f.daemons[0].openSession("db-primary", baysKey).queryUntilServed("READ k")
		first, second, third := f.awaitBothHolders("bays")
		x := third.openSession("db-primary", baysKey)
		x.queryUntilServed("READ k")
		first.cutStore()
		first.kill()
		x.queryUntilServed("READ k")
		Expect(f.slotValues()).To(HaveKeyWithValue(slotKey(quota.SlotOf("bays")), ContainSubstring(string(first.s.Daemon))), "the lost daemon's lease has not ended")
		Expect(second.p.stats.onSecondPart.Value()).To(BeNumerically(">", 0))
	})

	// An entry cannot reach the holder of a team's slot, but all other daemons can. Guards against a
	// second holder that declines the entry's statements in favour of the holder.
	It("serves the team's second part at an entry that cannot reach the holder of its slot", func() {
		f := newFleet(3, withSplitLimits)
		f.awaitAllDiscovered()
		f.daemons[0].openSession("db-primary", baysKey).queryUntilServed("READ k")
		first, second, entry := f.awaitBothHolders("bays")
		// The list by which the second holder knows the holder is new, so that it would decline.
		l := second.p.limits
		l.mu.Lock()
		l.holder.Listed(now(), map[quota.Slot]quota.Owner{
			quota.SlotOf("bays"):          {Daemon: first.s.Daemon, Split: true},
			quota.SlotOf("bays").Second(): {Daemon: second.s.Daemon, Boot: second.p.boot, Split: true},
		})
		l.mu.Unlock()
		h := entry.p.homes
		h.mu.Lock()
		h.backoffUntil[first.s.Daemon] = now().Add(waitLimit)
		h.nextRecheck[first.s.Daemon] = now().Add(waitLimit)
		h.mu.Unlock()
		Expect(entry.openSession("db-primary", baysKey).query("READ k").isServed()).To(BeTrue())
		Expect(second.p.stats.onSecondPart.Value()).To(BeNumerically(">", 0))
	})

	// A team sends more than one part of its limit through each daemon. Guards against a team that
	// does not get its whole limit in a calm fleet, and against members that run more than that.
	It("serves the team's whole limit in a calm fleet, and no more", func() {
		f := newFleet(3, withSplitLimits)
		f.awaitAllDiscovered()
		f.daemons[0].openSession("db-primary", gatesKey).queryUntilServed("READ k")
		first, second, _ := f.awaitBothHolders("gates")
		began := now()
		for i := range 30 {
			for _, d := range f.daemons {
				x := d.openSession("db-primary", gatesKey)
				x.query(fmt.Sprintf("READ k%d", i))
				x.runTransaction()
			}
		}
		Expect(f.statementsOf("gates")).To(BeNumerically("<=", 4*maxStatements(now().Sub(began))), "a transaction has up to four statements")
		Expect(first.p.limits.counters["gates"].served).To(BeNumerically(">", 0))
		Expect(second.p.stats.onSecondPart.Value()).To(BeNumerically(">", 0), "sent on from the first holder")
		Expect(first.p.limits.counters["gates"].limit.Rate + second.p.limits.secondCounters["gates"].limit.Rate).To(BeNumerically("~", first.p.limits.tolerance.Limit(5, 10).Rate))
	})

	// Another home has refused a forwarded EXECUTE at its part of the limit. Guards against an EXECUTE
	// that then runs here without its prepared statement.
	It("runs an EXECUTE with its prepared statement when the statement returns to its entry", func() {
		f := newFleet(3, withSplitLimits)
		f.awaitAllDiscovered()
		f.daemons[0].openSession("db-own", baysKey).queryUntilServed("READ k")
		_, second, _ := f.awaitBothHolders("bays")
		s := &session{p: second.p, database: "db-own", key: auth.FingerprintOf(baysKey)}
		route := second.p.catalog.Load().Routes["db-own"]
		def := newPreparedStatement(false, "q1")
		j := &job{id: "e1", kind: direct.StatementExecute, text: "EXECUTE r k", callerText: "EXECUTE r k", memberText: platform.TextExecute(def.memberName, "k"), memberPrepared: &def, route: route, arrived: now()}
		Expect(s.runsSecondPart(j, &platform.Answer{Code: platform.CodeBusy, Text: "not run: " + textAtLimit})).To(BeTrue())
		s.runSingle(j)
		Expect(string(s.out)).To(ContainSubstring("COMPLETE r."))
	})

	// Guards against a statement that runs at a daemon which forwarded it because it is no home of the
	// group.
	It("is not given out for a statement that this daemon forwards for want of members", func() {
		f := newFleet(3, withSplitLimits)
		f.awaitAllDiscovered()
		f.daemons[0].openSession("db-primary", baysKey).queryUntilServed("READ k")
		first, second, third := f.awaitBothHolders("bays")
		s := &session{p: second.p, key: auth.FingerprintOf(baysKey)}
		atLimit := &platform.Answer{Code: platform.CodeBusy, Text: "not run: " + textAtLimit}
		runs := func() bool {
			return s.runsSecondPart(&job{route: direct.Route{Group: "ledger"}}, atLimit)
		}
		Expect(runs()).To(BeTrue())
		second.p.homes.mu.Lock()
		second.p.homes.setStaticHomes("ledger", first.s.Daemon, third.s.Daemon)
		second.p.homes.mu.Unlock()
		Expect(runs()).To(BeFalse())
		Expect(f.holderOf(quota.SlotOf("bays").Second())).To(Equal(second), "it still holds the second slot")
	})

	// Guards against a second holder that refuses a team's burst because it does not wait for its own
	// record of it while another daemon holds the slot.
	It("waits for the record of the second part's burst while another daemon holds the slot", func() {
		f := newFleet(3, withSplitLimits)
		f.awaitAllDiscovered()
		f.daemons[0].openSession("db-primary", baysKey).queryUntilServed("READ k")
		first, second, _ := f.awaitBothHolders("bays")
		l, slot := second.p.limits, quota.SlotOf("bays")
		l.mu.Lock()
		Expect(l.holder.OtherOwner(slot)).To(Equal(first.s.Daemon))
		l.holder.ReleaseBurst(slot.Second())
		l.mu.Unlock()
		team := auth.Team{ID: "bays", Limited: true, Rate: 10_000, Burst: 10_000}
		r := l.reserve(team, false, true)
		for r.result == reserved {
			r = l.reserve(team, false, true)
		}
		Expect(r.result).To(Equal(burstNotRecorded))
		l.awaitReservation(team, r, now().Add(waitLimit))
		l.mu.Lock()
		defer l.mu.Unlock()
		held, _ := l.holder.Holds(now(), slot.Second())
		Expect(held.FullBurst).To(BeTrue())
	})

	// A statement was refused by one holder, sent on to another daemon that declined it, and refused by
	// the first again. Guards against an entry that then stops sending statements to the first holder,
	// and against backoffs that are kept for ever.
	It("backs off only the daemon to which a statement over the limit was sent on", func() {
		p := &Proxy{settings: platform.Settings{LimitsEnabled: true, OverloadControl: true, SplitLimits: true}, policy: policy.All}
		p.limits, p.homes, p.access = newLimits(p), newHomes(p), access{p: p}
		s, j := &session{p: p}, &job{overflowed: true, overflowHome: "edge-2"}
		Expect(s.overflowTo(j, "edge-1")).To(BeFalse())
		Expect(p.homes.overLimit).To(BeEmpty())
		Expect(s.overflowTo(j, "edge-2")).To(BeFalse())
		key := teamDaemon{"", "edge-2"}
		Expect(p.homes.overLimit).To(HaveLen(1))
		Expect(p.homes.overLimit).To(HaveKey(key))
		p.homes.overLimit[key] = overLimitBackoff{until: now().Add(-maxOverLimitBackoff), length: maxOverLimitBackoff}
		p.homes.backOffOverLimit("edge-3", "")
		Expect(p.homes.overLimit).NotTo(HaveKey(key))
	})

	// Guards against further keys and changed values in the store of a deployment that does not split
	// limits.
	DescribeTable("changes nothing in the store where limits are not split", func(options ...func(f *fleet)) {
		f := newFleet(2, options...)
		f.awaitAllDiscovered()
		for _, d := range f.daemons {
			d.p.limits.requestAssigned()
			d.openSession("db-primary", baysKey).queryUntilServed("READ k")
			Expect(d.p.limits.assignedSecondSlots()).To(BeEmpty())
		}
		for key, value := range f.slotValues() {
			Expect(key).To(BeElementOf(slotKey(quota.SlotOf("bays")), slotKey(quota.SlotOf("gates"))))
			Expect(strings.Contains(value, "split")).To(BeFalse())
		}
	},
		Entry("without overload control", withLimits),
		Entry("unless the command line asks for it", withOverloadControl),
	)

	It("is not split if the mechanism is switched off", func() {
		p := &Proxy{settings: platform.Settings{LimitsEnabled: true, OverloadControl: true, SplitLimits: true}, policy: policy.All}
		p.limits = newLimits(p)
		Expect(p.limits.split).To(BeTrue())
		set, err := policy.All.Without("split-limits")
		Expect(err).NotTo(HaveOccurred())
		p.SetPolicy(set)
		Expect(p.limits.split).To(BeFalse())
	})
})
