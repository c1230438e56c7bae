package health_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/health"
)

func TestHealth(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "health")
}

const start = core.Time(time.Hour)

// run plays a check that begins at the given time. late is how much later than planned each step
// runs, and answer returns in how long an echo is answered, negative if never. It returns the last
// step and its time.
func run(t *health.Table, at core.Time, late func(step int) time.Duration, answer func(echo int) time.Duration) (health.Step, core.Time) {
	type echo struct{ sent, answered core.Time }
	var pending []echo
	step, begun := t.BeginCheck(at, "a")
	Expect(begun).To(BeTrue())
	for n := 0; step.Wait > 0; n++ {
		if step.Echo {
			if in := answer(n); in >= 0 {
				pending = append(pending, echo{at, at.Add(in)})
			}
		}
		if step.SelfEcho {
			selfEcho(t, at)
		}
		due := at.Add(step.Wait)
		at = due.Add(late(n))
		// While this process is paused it reads nothing, and a step may run before the read.
		for _, e := range pending {
			if e.answered <= due {
				t.Echoed(due, "a", e.sent)
			}
		}
		step = t.ContinueCheck(at, "a")
	}
	return step, at
}

// selfEcho handles an echo of this daemon to itself. readsSocket is unset in tests in which the daemon
// reads nothing.
func selfEcho(t *health.Table, sent core.Time) {
	if readsSocket {
		t.SelfEchoed(sent, sent)
	}
}

var readsSocket = true

func never(int) time.Duration    { return -1 }
func punctual(int) time.Duration { return 0 }

// newTable returns a table in which peer a is known to answer echoes.
func newTable() *health.Table {
	t := health.NewTable()
	t.Echoed(start, "a", start.Add(-time.Millisecond))
	return t
}

var _ = Describe("a check of a peer", func() {
	It("finds a lost peer within 160 ms of the statement, and starts only once", func() {
		t := newTable()
		sent := start.Add(time.Second)
		overdue := t.OverdueIn(sent, "a", sent)
		Expect(overdue).To(Equal(health.OverdueFloor))
		began := sent.Add(overdue)
		_, begun := t.BeginCheck(began, "b")
		Expect(begun).To(BeTrue())
		_, begun = t.BeginCheck(began, "b")
		Expect(begun).To(BeFalse(), "one check per peer at a time")
		step, at := run(t, began, punctual, never)
		Expect(step.Lost).To(BeTrue())
		Expect(at.Sub(sent)).To(BeNumerically("<=", 165*time.Millisecond))
	})

	// Guards against leaving a home whose processor quota pauses it: it answers all echoes at the end
	// of a pause of 100 ms.
	It("does not find a peer lost that is paused for 100 ms", func() {
		step, _ := run(newTable(), start.Add(time.Second), punctual, func(int) time.Duration { return 110 * time.Millisecond })
		Expect(step.Lost).To(BeFalse())
	})

	// Guards against leaving a host that has become many times slower: the silence that counts as a
	// loss grows with the slowest echoes.
	It("grants a peer that answers echoes slowly more time", func() {
		t, at := newTable(), start.Add(time.Second)
		t.Echoed(at, "a", at.Add(-150*time.Millisecond))
		step, _ := run(t, at.Add(time.Second), punctual, func(int) time.Duration { return 200 * time.Millisecond })
		Expect(step.Lost).To(BeFalse())
	})

	// Guards against leaving a live home because datagrams are lost.
	It("needs only one of its echoes to be answered", func() {
		step, _ := run(newTable(), start.Add(time.Second), punctual, func(n int) time.Duration {
			if n == 3 {
				return time.Millisecond
			}
			return -1
		})
		Expect(step.Lost).To(BeFalse())
	})

	// Guards against an entry that was frozen for 4 s, or paused by its own quota, and leaves all homes
	// when it wakes up.
	It("postpones the verdict if this process was paused", func() {
		late := func(n int) time.Duration {
			if n == 0 {
				return 4 * time.Second
			}
			return 0
		}
		answer := func(n int) time.Duration {
			if n == 0 {
				return -1 // The answer was lost while this host was frozen.
			}
			return time.Millisecond
		}
		step, _ := run(newTable(), start.Add(time.Second), late, answer)
		Expect(step.Lost).To(BeFalse())
		always := func(int) time.Duration { return 90 * time.Millisecond }
		step, at := run(newTable(), start.Add(time.Second), always, never)
		Expect(step.Lost).To(BeTrue(), "pauses do not postpone it for ever")
		Expect(at.Sub(start.Add(time.Second))).To(BeNumerically("<", time.Second))
	})

	// Guards against an entry whose processor quota keeps it from reading: the answers wait in its socket
	// although the steps of the check run in time.
	It("has no verdict before this process has read what arrived until the deadline", func() {
		readsSocket = false
		DeferCleanup(func() { readsSocket = true })
		answered := start.Add(time.Second + 187*time.Millisecond)
		t, at := newTable(), start.Add(time.Second)
		step, _ := t.BeginCheck(at, "a")
		for step.Wait > 0 && at < answered {
			at = at.Add(step.Wait)
			step = t.ContinueCheck(at, "a")
		}
		Expect(step.Lost).To(BeFalse())
		t.Echoed(at, "a", start.Add(time.Second))
		Expect(t.ContinueCheck(at, "a")).To(Equal(health.Step{}))
		step, at = run(t, at.Add(time.Second), punctual, never)
		Expect(step.Lost).To(BeTrue(), "it is not postponed for ever")
		Expect(at).To(BeNumerically(">", answered))
	})

	// Guards against verdicts without the daemon's own echo, for as long as it runs, after a datagram under
	// its name with a time of another boot.
	It("waits for its own echo after one from the future, too", func() {
		readsSocket = false
		DeferCleanup(func() { readsSocket = true })
		_, want := run(newTable(), start.Add(time.Second), punctual, never)
		t := newTable()
		t.SelfEchoed(start, start.Add(time.Hour))
		step, at := run(t, start.Add(time.Second), punctual, never)
		Expect(step.Lost).To(BeTrue())
		Expect(at).To(Equal(want))
	})

	// Guards against a rolling upgrade in which entries leave all homes of the earlier version.
	It("asks a peer for its configuration that has never answered an echo", func() {
		step, _ := run(health.NewTable(), start, punctual, never)
		Expect(step.Lost).To(BeFalse())
		Expect(step.AskConfiguration).To(BeTrue())
	})

	// Guards against a home that is excluded without end although it serves: a daemon that is replaced by
	// an earlier version answers no echoes, and datagrams to a home may be lost while links work.
	It("asks a peer for its configuration that has answered no echo in two trials", func() {
		t, at := newTable(), start.Add(time.Second)
		for _, lost := range []bool{true, true, false} {
			var step health.Step
			step, at = run(t, at, punctual, never)
			Expect(step.Lost).To(Equal(lost))
			Expect(step.AskConfiguration).To(Equal(!lost))
			if lost {
				t.Failed(at, "a", health.Silent)
				at = at.Add(health.MaxBackoff)
			}
		}
		_, begun := t.BeginCheck(at, "a")
		Expect(begun).To(BeFalse(), "the request is running")
		t.EndCheck(at, "a")
		Expect(t.Alive(at, "a")).To(BeTrue())
		step, _ := run(t, at.Add(time.Second), punctual, never)
		Expect(step.AskConfiguration).To(BeTrue(), "its silence towards echoes proves nothing now")
	})

	// Guards against the same for a peer that accepts sessions again after a planned replacement.
	It("asks a peer for its configuration that may have been replaced and has not answered an echo since", func() {
		t := newTable()
		t.Failed(start, "a", health.Refused)
		Expect(t.Connected(start, "a", time.Millisecond)).To(BeTrue())
		step, _ := run(t, start.Add(time.Second), punctual, never)
		Expect(step.AskConfiguration).To(BeTrue())
	})

	It("is repeated no sooner than RecheckInterval while the peer answers echoes", func() {
		t, sent := newTable(), start.Add(time.Second)
		_, at := run(t, sent.Add(time.Second), punctual, punctual)
		Expect(t.OverdueIn(at, "a", sent)).To(Equal(health.RecheckInterval))
		for range 100 {
			t.Answered(at, "a", 500*time.Millisecond)
		}
		Expect(t.OverdueIn(at, "b", at)).To(Equal(health.OverdueFloor))
		Expect(t.OverdueIn(at, "a", at)).To(Equal(health.OverdueCeiling), "the usual response time is long")
	})
})

var _ = Describe("a peer that has failed", func() {
	scope := health.Scope{Group: "g"}
	order := []core.DaemonID{"a", "b", "c"}

	It("is left alone for 100 ms, twice as long after each failed trial, and at most 2 s", func() {
		t, at := newTable(), start
		for _, length := range []time.Duration{100, 200, 400, 800, 1600, 2000, 2000} {
			for range 5 {
				// Sessions that fail at the same time count once.
				t.Failed(at, "a", health.Refused)
			}
			at = at.Add(length*time.Millisecond - 1)
			Expect(t.Phase(at, "a", scope)).To(Equal(health.Open))
			at++
			Expect(t.Phase(at, "a", scope)).To(Equal(health.HalfOpen))
		}
		t.Connected(at, "a", time.Millisecond)
		Expect(t.Phase(at, "a", scope)).To(Equal(health.Closed))
		t.Failed(at, "a", health.Refused)
		Expect(t.Phase(at.Add(health.MinBackoff), "a", scope)).To(Equal(health.HalfOpen), "it begins anew")
	})

	It("is tried by one session at a time once its backoff has ended", func() {
		t, at := newTable(), start
		t.Failed(at, "a", health.Refused)
		Expect(t.Choose(at, order, scope).Ask).To(Equal([]core.DaemonID{"b", "c"}))
		at = at.Add(health.MinBackoff)
		c := t.Choose(at, order, scope)
		Expect(c.Ask).To(Equal(order))
		Expect(c.Trial).To(Equal(core.DaemonID("a")))
		Expect(t.Choose(at, order, scope).Ask).To(Equal([]core.DaemonID{"b", "c"}))
		t.Connected(at, "a", time.Millisecond)
		Expect(t.Choose(at, order, scope)).To(Equal(health.Choice{Ask: order}))
	})

	// Guards against statements that wait for a lost peer although others are there: an echo tells
	// whether it is back.
	It("is tried by an echo if it was silent and others can be asked", func() {
		t, at := newTable(), start
		t.Failed(at, "a", health.Silent)
		at = at.Add(health.MinBackoff)
		Expect(t.AwaitsEcho(at, "a")).To(BeTrue())
		Expect(t.Choose(at, order, scope).Ask).To(Equal([]core.DaemonID{"b", "c"}))
		Expect(t.Echoed(at, "a", at.Add(-time.Millisecond))).To(BeTrue())
		Expect(t.Choose(at, order, scope).Ask).To(Equal(order))
	})

	// Guards against refusals after 0 ms because every candidate is in backoff: 1,918 statements of
	// the lender were refused this way in 15 s.
	It("is tried at once by one session if all others have failed after it", func() {
		for name, fail := range map[string]func(t *health.Table, at core.Time, id core.DaemonID){
			"lost":              func(t *health.Table, at core.Time, id core.DaemonID) { t.Failed(at, id, health.Silent) },
			"declined the team": func(t *health.Table, at core.Time, id core.DaemonID) { t.TeamDeclined(at, id, "team") },
			"refused the group": func(t *health.Table, at core.Time, id core.DaemonID) { t.GroupRefused(at, id, "g") },
			"for several causes": func(t *health.Table, at core.Time, id core.DaemonID) {
				t.Failed(at, id, health.Refused)
				t.TeamDeclined(at, id, "team")
			},
		} {
			t, s := newTable(), health.Scope{Group: "g", Team: "team"}
			for i, id := range []core.DaemonID{"b", "a", "c"} {
				fail(t, start.Add(time.Duration(i)*time.Millisecond), id)
			}
			at := start.Add(2 * time.Millisecond)
			c := t.Choose(at, order, s)
			Expect(c.Ask).To(BeEmpty(), name)
			at = at.Add(c.Wait)
			Expect(at).To(Equal(start.Add(health.LastTrialInterval)))
			c = t.Choose(at, order, s)
			Expect(c.Ask).To(Equal([]core.DaemonID{"b"}), name)
			other := t.Choose(at, order, s)
			Expect(other.Ask).To(BeEmpty(), "another session waits for the outcome")
			Expect(other.Wait).To(BeNumerically(">", 0), name)
			fail(t, at, "b")
			Expect(t.Choose(at.Add(time.Millisecond), order, s).Ask).To(Equal([]core.DaemonID{"a"}), name)
		}
		Expect(newTable().Choose(start, nil, scope)).To(Equal(health.Choice{}), "without candidates nobody waits")
	})

	// Guards against sessions that all wait for a trial that has ended: its failure was recorded for the
	// peer, and the claims for the group and the team stayed.
	It("is tried by others once a trial has ended, whatever its outcome", func() {
		t, s := newTable(), health.Scope{Group: "g", Team: "team"}
		t.TeamDeclined(start, "a", "team")
		t.GroupRefused(start, "a", "g")
		t.Failed(start, "a", health.Refused)
		at := start.Add(health.MinBackoff)
		only := []core.DaemonID{"a"}
		Expect(t.Choose(at, only, s).Trial).To(Equal(core.DaemonID("a")))
		Expect(t.Choose(at, only, s).Ask).To(BeEmpty())
		t.Failed(at, "a", health.Refused)
		t.TrialEnded("a", s)
		Expect(t.Choose(at.Add(health.LastTrialInterval), only, s).Trial).To(Equal(core.DaemonID("a")))
		t.TrialEnded("a", s)
		Expect(t.Choose(at.Add(health.LastTrialInterval), only, s).Trial).To(Equal(core.DaemonID("a")))
	})

	// Guards against an entry that opens one link at a time while all homes are slow, for example just
	// after all processes have started.
	It("is asked by all sessions if it is only slow to connect and no better one is left", func() {
		t := newTable()
		for _, id := range order {
			t.Failed(start, id, health.DialSlow)
		}
		for range 3 {
			Expect(t.Choose(start, order, scope)).To(Equal(health.Choice{Ask: order}))
		}
		t.Failed(start, "b", health.Silent)
		Expect(t.Choose(start, order, scope).Ask).To(Equal([]core.DaemonID{"a", "c"}))
		t.Connected(start, "c", time.Millisecond)
		Expect(t.Choose(start, order, scope).Ask).To(Equal([]core.DaemonID{"c"}))
		Expect(t.IsSlowToConnect(start, "a", scope)).To(BeTrue(), "sessions keep their links to it")
		Expect(t.IsSlowToConnect(start, "b", scope)).To(BeFalse())
	})

	// Guards against a lost peer that all sessions ask, because a failed trial made it slow to connect.
	It("stays lost if a link to it is not opened in time", func() {
		t := newTable()
		t.Failed(start, "a", health.Silent)
		for range 5 {
			Expect(t.DialTimedOut(start, "a")).To(BeFalse())
		}
		Expect(t.IsSlowToConnect(start, "a", scope)).To(BeFalse())
		Expect(t.IsLostSince("a", start+1)).To(BeFalse(), "what was sent after the verdict waits for the next check")
	})

	// Guards against links that stay slow to open unnoticed, as answers on older links hid it.
	It("stays slow to connect although it answers on an open link", func() {
		t := newTable()
		t.DialTimedOut(start, "a")
		t.DialTimedOut(start, "a")
		Expect(t.Answered(start, "a", time.Millisecond)).To(BeFalse())
		Expect(t.DialTimedOut(start, "a")).To(BeTrue())
		t.Failed(start, "a", health.DialSlow)
		Expect(t.Answered(start, "a", time.Millisecond)).To(BeFalse())
		Expect(t.IsDown("a")).To(BeTrue())
	})

	// Guards against one slow home that takes all of a statement's time while another would answer.
	It("gets at most half of the time for opening a link, but as long as any link takes, if there is another", func() {
		t := newTable()
		t.Connected(start, "a", time.Second)
		Expect(t.DialLimit("a", time.Second, false)).To(Equal(health.DialCeiling))
		Expect(t.DialLimit("a", 900*time.Millisecond, true)).To(Equal(450 * time.Millisecond))
		Expect(t.DialLimit("a", 400*time.Millisecond, true)).To(Equal(health.DialFloor))
		Expect(t.DialLimit("a", 100*time.Millisecond, true)).To(Equal(100 * time.Millisecond))
	})

	// Guards against an entry without teams that asks a home again at once which is cut off from the
	// primary and has declined: the statement would be refused after the second decline.
	It("is left alone after a decline by sessions without a team, too, until a trial succeeds", func() {
		t, at := newTable(), start
		t.TeamDeclined(at, "a", "")
		Expect(t.Choose(at, order, scope).Ask).To(Equal([]core.DaemonID{"b", "c"}))
		Expect(t.TeamAccepted(at, "a", "")).To(BeFalse(), "it serves reads of other sessions")
		Expect(t.IsReachable(at, "a")).To(BeTrue(), "their links stay")
		Expect(t.Choose(at, order, scope).Ask).To(Equal([]core.DaemonID{"b", "c"}))
		at = at.Add(health.MinBackoff)
		Expect(t.Choose(at, order, scope).Trial).To(Equal(core.DaemonID("a")))
		Expect(t.TeamAccepted(at, "a", "")).To(BeTrue())
		Expect(t.Phase(at, "a", scope)).To(Equal(health.Closed))
	})

	// Guards against sessions that go on asking the only home one at a time after it has run a statement: the
	// trial ends when the link is open, before the statement is answered.
	It("is asked by all again once it has answered after a trial before the end of its backoff", func() {
		t, only := newTable(), []core.DaemonID{"a"}
		t.TeamDeclined(start, "a", "")
		at := start.Add(health.LastTrialInterval)
		Expect(t.Choose(at, only, scope).Trial).To(Equal(core.DaemonID("a")))
		t.TrialEnded("a", scope)
		Expect(t.TeamAccepted(at, "a", "")).To(BeTrue())
		Expect(t.Choose(at, only, scope)).To(Equal(health.Choice{Ask: only}))
	})

	// Guards against a home that has just come back and is asked by all waiting sessions at once.
	It("gets links in growing numbers when it is up again, and for DialFloor at most", func() {
		t, only := newTable(), []core.DaemonID{"a"}
		t.Failed(start, "a", health.Silent)
		Expect(t.Echoed(start, "a", start.Add(-time.Millisecond))).To(BeTrue())
		dial := func() (n int) {
			for t.Choose(start, only, scope).Ask != nil {
				counted, ok := t.BeginDial(start, "a")
				if !ok || !counted {
					return -1
				}
				n++
			}
			return n
		}
		Expect(dial()).To(Equal(1))
		Expect(t.Choose(start, only, scope)).To(Equal(health.Choice{Busy: only, Wait: health.LastTrialInterval}))
		Expect(t.Choose(start, order, scope).Ask).To(Equal([]core.DaemonID{"b", "c"}))
		t.EndDial("a", true)
		Expect(dial()).To(Equal(2))
		t.EndDial("a", true)
		Expect(dial()).To(Equal(3), "four at the same time")
		t.EndDial("a", false)
		Expect(dial()).To(Equal(1), "a failure releases only its own place")
		Expect(t.Choose(start.Add(health.DialFloor), only, scope).Ask).To(Equal(only), "nobody waits longer")
		for range 4 {
			t.EndDial("a", true)
		}
		counted, ok := t.BeginDial(start, "a")
		Expect(counted).To(BeFalse(), "there is no limit any more")
		Expect(ok).To(BeTrue())
	})

	It("is not failed by single links that open slowly while it answers echoes", func() {
		t := newTable()
		Expect(t.DialTimedOut(start, "a")).To(BeFalse())
		t.Connected(start, "a", time.Second)
		Expect(t.DialTimedOut(start, "a")).To(BeFalse())
		Expect(t.DialTimedOut(start, "a")).To(BeFalse())
		Expect(t.DialTimedOut(start, "a")).To(BeTrue())
	})
})
