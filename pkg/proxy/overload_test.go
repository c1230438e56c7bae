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
	"limpetspan/core/direct"
	"limpetspan/core/policy"
	"limpetspan/platform"
)

// overloadedGroup returns a daemon with a queue that has learned waits of a second for a place, and in
// which n statements wait. The times are so long that the test's own duration changes no decision.
func overloadedGroup(control bool, n int) *Proxy {
	p := New(platform.Settings{Daemon: "d", OverloadControl: control}, io.Discard)
	// The group has no members, which is an outage unless the mechanism is off.
	set, err := policy.All.Without("refuse-hopeless")
	Expect(err).NotTo(HaveOccurred())
	p.SetPolicy(set)
	g := p.group("g")
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

	It("does nothing where the settings do not ask for it", func() {
		p := overloadedGroup(false, 20)
		Expect(runLoan(p, 10*time.Millisecond)).To(ContainSubstring("BUSY not run: " + reasonNoMember))
		Expect(p.stats.overload.byForecast.Value()).To(BeZero())
	})
})
