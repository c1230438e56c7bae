package proxy

import (
	"io"
	"regexp"
	"strconv"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/admission"
	"limpetspan/core/auth"
	"limpetspan/core/direct"
	"limpetspan/core/quota"
	"limpetspan/platform"
)

// overloadedGroup returns a daemon with a queue that has learned waits of a second for a place, and in
// which n statements wait. The times are so long that the test's own duration changes no decision.
func overloadedGroup(control bool, n int) *Proxy {
	p := New(platform.Settings{Daemon: "d", OverloadControl: control}, io.Discard)
	g := p.group("g")
	fillPrimary(g)
	g.serviceTimes["loans"] = time.Minute
	// add adds n statements, each of which is forecast as if it were the first one.
	add := func(at core.Time, n int) {
		for _, w := range make([]waiter, n) {
			w.Arrived, w.Aim, w.Deadline, w.Database, w.Primary = at, at.Add(time.Hour), at.Add(time.Hour), "loans", true
			g.forecastWait(at, &w)
			defer g.queue.Add(at, &w.Waiter)
		}
	}
	begin := now()
	add(begin.Add(-time.Minute), 20)
	g.queue.Serve(begin, func(*admission.Waiter[*waiter]) bool { return true })
	add(begin, n)
	return p
}

// fillPrimary gives the group a primary with one connection, which is in use.
func fillPrimary(g *group) {
	at := now()
	g.core.Configure(direct.GroupSpec{ID: "g", MaxConns: 1})
	// The test may take longer than a lease.
	g.core.DisableGuards(direct.GuardReadLease)
	g.core.UpdateMembers(at, at, []direct.Member{{ID: "a", Group: "g", Addr: "a", Slots: 1}})
	g.core.ConfirmMembers(at)
	g.core.Probed(at, at, "a", direct.Status{Role: core.RolePrimary, Term: 1, Position: core.Position{Term: 1, LSN: 1}})
	g.core.ConnOpened("a")
}

// hangTimeout ends a spec whose statement is admitted by mistake and waits for minutes.
const hangTimeout = 20 * time.Second

// runLoan runs a statement on a session of its own and returns the answer.
func runLoan(p *Proxy, timeout time.Duration) string {
	s := &session{p: p}
	j := &job{id: "1", kind: direct.StatementWrite, writes: true, arrived: now(),
		route: direct.Route{Database: "loans", Group: "g", StatementTimeout: timeout, LatencyGoal: timeout / 2}}
	s.runSingle(j)
	return string(s.out)
}

var _ = Describe("overload control", func() {
	// A queue in which statements wait for minutes. Guards against a statement that takes a quota
	// reservation or waits until its deadline for a refusal that is known when it arrives.
	It("refuses a statement by its forecast on arrival, with the time of its return", SpecTimeout(hangTimeout), GracePeriod(time.Second), func(SpecContext) {
		p := overloadedGroup(true, 20)
		answer := runLoan(p, 15*time.Minute)
		Expect(answer).To(ContainSubstring("BUSY not run: " + reasonForecast + "; retry after "))
		Expect(p.stats.overload.byForecast.Value()).To(BeEquivalentTo(1))
		Expect(p.stats.overload.promised.Value()).To(BeEquivalentTo(1))
		Expect(p.existingGroup("g").queue.Len()).To(Equal(20))
	})

	// Another daemon replaces the primary. Guards against callers whose attempts are used up when the change
	// ends, although their statements could have waited for it.
	It("refuses nothing during a change of the primary", func() {
		p := overloadedGroup(true, 20)
		g := p.existingGroup("g")
		at := now()
		g.core.PeerReported(at, at, "d2", direct.Report{Group: "g", Primary: "a", Term: 1, Claiming: true})
		Expect(runLoan(p, 100*time.Millisecond)).To(ContainSubstring("BUSY not run: " + reasonNoMember))
		Expect(p.stats.overload.byForecast.Value()).To(BeZero())
		Expect(p.stats.overload.promised.Value()).To(BeZero())
	})

	// Another home counts the team's operations. Guards against callers that are told to come back to a busy
	// home which cannot run their statements.
	It("leaves statements that are counted elsewhere to their quota reservation", SpecTimeout(hangTimeout), GracePeriod(time.Second), func(SpecContext) {
		p := overloadedGroup(true, 20)
		teams := auth.NewDirectory()
		teams.Add(auth.Team{ID: "t", Limited: true, Rate: 1, Burst: 1}, []auth.Fingerprint{{}})
		p.catalog.Store(&direct.Catalog{Routes: map[string]direct.Route{"": {Public: true}}, Teams: teams})
		p.access.required, p.limits.enabled = true, true
		p.limits.holder.Listed(now(), map[quota.Slot]quota.Owner{quota.SlotOf("t"): {Daemon: "other", Boot: 1, Lease: 1}})
		p.peers = &peers{known: map[core.DaemonID]*peer{"other": {lastSeen: now().Add(time.Hour)}}}
		s := &session{p: p, fromEntry: true}
		s.runSingle(&job{id: "1", kind: direct.StatementWrite, writes: true, arrived: now(),
			route: direct.Route{Database: "loans", Group: "g", StatementTimeout: 15 * time.Minute, LatencyGoal: time.Minute}})
		Expect(string(s.out)).To(ContainSubstring(textSlotOwner + "other"))
		Expect(s.entryNotified.Load()).To(BeTrue(), "the entry moves the session")
		Expect(p.stats.overload.byForecast.Value()).To(BeZero())
	})

	// Guards against a promise that takes a time from other callers and is never kept.
	It("promises no return to a session that moves", SpecTimeout(hangTimeout), GracePeriod(time.Second), func(SpecContext) {
		p := overloadedGroup(true, 20)
		s := &session{p: p}
		s.entryNotified.Store(true)
		s.runSingle(&job{id: "1", kind: direct.StatementWrite, writes: true, arrived: now(),
			route: direct.Route{Database: "loans", Group: "g", StatementTimeout: 15 * time.Minute, LatencyGoal: time.Minute}})
		Expect(string(s.out)).To(ContainSubstring("BUSY not run: " + reasonForecast))
		Expect(p.stats.overload.promised.Value()).To(BeZero())
	})

	// A session runs statements of several kinds. Guards against a promise that is used up by a statement of
	// another kind, which goes before statements that it has no place promised before.
	It("keeps a promise for the kind of statement that was refused", func() {
		p := overloadedGroup(true, 0)
		at := now()
		s := &session{p: p, promised: promisedReturn{due: at, group: "g", database: "loans", primary: true}}
		admit := func(database string, primary bool) bool {
			j := &job{arrived: at, route: direct.Route{Database: database, Group: "g", Consistency: direct.ReadYourWrites, StatementTimeout: time.Minute}}
			_, ok := s.admit(j, primary)
			Expect(ok).To(BeTrue())
			return j.waiter.Promised
		}
		Expect(admit("reads", true)).To(BeFalse())
		Expect(admit("loans", false)).To(BeFalse())
		Expect(admit("loans", true)).To(BeTrue())
		Expect(admit("loans", true)).To(BeFalse(), "it was kept")
	})

	It("tells callers of the same kind different times", SpecTimeout(hangTimeout), GracePeriod(time.Second), func(SpecContext) {
		p := overloadedGroup(true, 20)
		retry := regexp.MustCompile(`retry after (\d+) ms`)
		var times []int
		for range 3 {
			after, err := strconv.Atoi(retry.FindStringSubmatch(runLoan(p, 15*time.Minute))[1])
			Expect(err).NotTo(HaveOccurred())
			times = append(times, after)
		}
		Expect(times[1]).To(BeNumerically(">", times[0]))
		Expect(times[2]).To(BeNumerically(">", times[1]))
	})

	// Callers of one kind are refused again and again. Guards against refusals of other kinds because of
	// statements that never take a place.
	It("does not count refused statements as arrivals", SpecTimeout(hangTimeout), GracePeriod(time.Second), func(SpecContext) {
		p := overloadedGroup(true, 20)
		g := p.existingGroup("g")
		forecast := func() time.Duration {
			at := now()
			read := &waiter{}
			read.Arrived, read.Aim, read.Deadline, read.Database, read.Primary = at, at.Add(time.Hour), at.Add(time.Hour), "reads", true
			read.Priority, read.ServiceTime = 2, time.Minute
			return g.queue.Forecast(at, &read.Waiter, g.places()).Wait
		}
		before := forecast()
		for range 10 {
			Expect(runLoan(p, 15*time.Minute)).To(ContainSubstring(reasonForecast))
		}
		Expect(forecast()).To(Equal(before))
	})

	It("does nothing where the settings do not ask for it", func() {
		p := overloadedGroup(false, 20)
		Expect(runLoan(p, 10*time.Millisecond)).To(ContainSubstring("BUSY not run: " + reasonNoMember))
		Expect(p.stats.overload.byForecast.Value()).To(BeZero())
	})
})
