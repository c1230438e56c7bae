package relay_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/relay"
)

const bound = 6 * time.Second

// start is when the scripts begin, so that a time of 0 means "never".
const start = core.Time(time.Hour)

func after(d time.Duration) core.Time { return start.Add(d) }

// following returns a follower of the relays that read the store at start.
func loadedFollower(relays ...core.DaemonID) *relay.Follower {
	f := relay.NewFollower("d", bound, 0)
	f.SetFleet(start, false, relays)
	f.Loaded(start)
	return f
}

var _ = Describe("a daemon of a large fleet", func() {
	// Guards against a fleet that starts and fills the store's link with copies of the
	// configuration, until no answer comes in time.
	It("asks relays for its first copy, and the store only if none has one", func() {
		f := relay.NewFollower("d", bound, after(time.Second))
		Expect(f.Next(start)).To(Equal(relay.Step{Kind: relay.Pause, Wait: time.Second}))
		Expect(f.Next(after(time.Second)).Kind).To(Equal(relay.ListDaemons))
		f.DaemonsListed()
		Expect(f.Next(after(time.Second)).Kind).To(Equal(relay.Pause), "the fleet is not known yet")
		f.SetFleet(after(time.Second), false, []core.DaemonID{"a", "b"})
		loadedAt := time.Duration(0)
		for at := time.Second; loadedAt == 0; at += 100 * time.Millisecond {
			switch step := f.Next(after(at)); step.Kind {
			case relay.Ask:
				Expect(step.Wait).To(BeNumerically("<", time.Second))
				f.RelayFailed(after(at), step.Peer)
			case relay.Load:
				loadedAt = at
			}
		}
		Expect(loadedAt).To(BeNumerically(">=", 3*time.Second))
		Expect(loadedAt).To(BeNumerically("<=", 5100*time.Millisecond))
	})

	It("tries a store that is away with the list of daemons, with growing pauses", func() {
		f := relay.NewFollower("d", bound, start)
		calls, at := 0, start
		for at < after(20*time.Second) {
			step := f.Next(at)
			if step.Kind == relay.Pause {
				at = at.Add(step.Wait)
				continue
			}
			Expect(step.Kind).To(Equal(relay.ListDaemons))
			calls++
			f.StoreFailed(at)
		}
		Expect(calls).To(BeNumerically("<", 80))
	})

	// Guards against one call for each of the changes that come when many daemons restart.
	It("gathers changes that come in a burst", func() {
		f := relay.NewFollower("d", bound, start)
		f.SetFleet(start, true, nil)
		f.Loaded(start)
		f.Watched(after(time.Second), start, 1)
		step := f.Next(after(time.Second))
		Expect(step.Kind).To(Equal(relay.Pause))
		Expect(step.Wait).To(BeNumerically("<=", 250*time.Millisecond))
		Expect(f.Next(after(time.Second + step.Wait)).Kind).To(Equal(relay.Watch))
		f.Watched(after(3*time.Second), after(time.Second), 0)
		Expect(f.Next(after(3 * time.Second)).Kind).To(Equal(relay.Watch))
		calls, at := 0, 4*time.Second
		for at < 14*time.Second {
			step = f.Next(after(at))
			if step.Kind == relay.Pause {
				Expect(step.Wait).To(BeNumerically("<", time.Second), "a change is known soon all the same")
				at += step.Wait
				continue
			}
			calls++
			f.Watched(after(at+5*time.Millisecond), after(at), 3)
		}
		Expect(calls).To(BeNumerically("<", 16), "50 with a pause of 0.2 s")
	})

	It("watches for a third of its budget if others depend on it, and for all of it alone", func() {
		f := relay.NewFollower("d", bound, 0)
		f.SetFleet(start, true, nil)
		f.Loaded(start)
		Expect(f.Next(start)).To(Equal(relay.Step{Kind: relay.Watch, Wait: 5 * time.Second}))
		f.SetFleet(start, true, []core.DaemonID{"a"})
		Expect(f.Next(start)).To(Equal(relay.Step{Kind: relay.Watch, Wait: 5 * time.Second / 3}))
	})

	// The store goes away. Callers whose keys nobody can check are refused from when the proof
	// runs out, which is the sooner the older it was.
	It("keeps its proof younger where callers are refused without one", func() {
		f := relay.NewFollower("d", bound, 0)
		f.UseShortWatches()
		f.SetFleet(start, true, []core.DaemonID{"a"})
		f.Loaded(start)
		Expect(f.Next(start)).To(Equal(relay.Step{Kind: relay.Watch, Wait: time.Second}))
	})

	// Guards against keys that nobody can check between two watches of a daemon that asks
	// nobody else.
	It("keeps its proof younger than the bound also where it knows no other daemon", func() {
		f := relay.NewFollower("d", bound, 0)
		f.UseShortWatches()
		f.SetFleet(start, true, nil)
		f.Loaded(start)
		at := start
		for range 5 {
			step := f.Next(at)
			Expect(step.Kind).To(Equal(relay.Watch))
			sent := at
			at = at.Add(step.Wait)
			Expect(at.Sub(f.Proof())).To(BeNumerically("<", bound))
			f.Watched(at, sent, 0)
		}
	})

	// A relay dies between two answers. Its followers would not hear of a change.
	It("asks the next relay when one is silent, and the store when all are", func() {
		f := loadedFollower("a", "b")
		f.RelayFailed(after(time.Second), "a")
		Expect(f.Next(after(time.Second)).Peer).To(Equal(core.DaemonID("b")))
		f.RelayFailed(after(1200*time.Millisecond), "b")
		Expect(f.Next(after(1200 * time.Millisecond)).Kind).To(Equal(relay.Pause))
		Expect(f.Next(after(3100*time.Millisecond)).Peer).To(Equal(core.DaemonID("a")), "it may be back")
		f.RelayFailed(after(3200*time.Millisecond), "a")
		f.RelayFailed(after(3300*time.Millisecond), "b")
		Expect(f.Next(after(5 * time.Second)).Kind).To(Equal(relay.Load))
	})

	// The store turns the relay away and serves its followers. The relay goes on
	// answering; its proof is what shows that it is behind.
	It("reads the store itself when its relays answer with old proofs", func() {
		f := loadedFollower("a")
		f.RelayAnswered(after(4500*time.Millisecond), "a", after(100*time.Millisecond))
		for at := 4500 * time.Millisecond; at < 5100*time.Millisecond; at += 10 * time.Millisecond {
			if f.Next(after(at)).Kind == relay.Load {
				return
			}
		}
		Fail("no read of its own within the budget of five seconds")
	})

	It("goes on by its relay while the store answers everyone but itself", func() {
		f := loadedFollower("a")
		f.StoreFailed(after(5 * time.Second))
		f.RelayAnswered(after(5200*time.Millisecond), "a", after(5100*time.Millisecond))
		Expect(f.Next(after(5200 * time.Millisecond)).Kind).To(Equal(relay.Ask))
	})

	// The store turns one of the watchers away for seconds and serves the others. Its proof
	// runs out, and it refuses every caller because their keys cannot be checked.
	It("asks another one while the store turns it away, once after each failure", func() {
		f := relay.NewFollower("d", bound, 0)
		f.SetFleet(start, true, []core.DaemonID{"a", "b"})
		f.Loaded(start)
		f.StoreFailed(after(time.Second))
		Expect(f.Next(after(time.Second)).Kind).To(Equal(relay.Pause), "its proof is young")
		f.StoreFailed(after(2600 * time.Millisecond))
		step := f.Next(after(2600 * time.Millisecond))
		Expect(step.Kind).To(Equal(relay.Ask))
		Expect(step.Peer).To(Equal(core.DaemonID("a")))
		f.RelayFailed(after(3*time.Second), "a")
		Expect(f.Next(after(3 * time.Second)).Peer).To(Equal(core.DaemonID("b")))
		f.RelayAnswered(after(3010*time.Millisecond), "b", after(2*time.Second))
		Expect(f.Proof()).To(Equal(after(2 * time.Second)))
		Expect(f.Next(after(3010 * time.Millisecond)).Kind).NotTo(Equal(relay.Ask))
		Expect(f.Next(after(4500*time.Millisecond)).Kind).To(Equal(relay.Watch), "it goes on trying")
	})

	// Both relays of a zone are cut from the store, and everyone there asks them first. Each
	// was waited for as long as a watch takes, and by then the proof had run out.
	It("leaves a relay at once that brings nothing new, and asks the others without waiting", func() {
		f := loadedFollower("a", "b", "c")
		Expect(f.Next(after(time.Second)).Wait).To(BeNumerically(">", time.Second))
		f.RelayAnswered(after(3400*time.Millisecond), "a", start)
		step := f.Next(after(3400 * time.Millisecond))
		Expect(step.Peer).To(Equal(core.DaemonID("b")))
		Expect(step.Wait).To(BeZero())
		f.RelayAnswered(after(3401*time.Millisecond), "b", start)
		Expect(f.Next(after(3401 * time.Millisecond)).Peer).To(Equal(core.DaemonID("c")))
		f.RelayAnswered(after(3402*time.Millisecond), "c", after(2*time.Second))
		Expect(f.Proof()).To(Equal(after(2 * time.Second)))
	})

	It("asks all others for a young proof if it watches and is turned away", func() {
		f := relay.NewFollower("d", bound, 0)
		f.SetFleet(start, true, []core.DaemonID{"a", "b"})
		f.Loaded(start)
		f.StoreFailed(after(3 * time.Second))
		Expect(f.Next(after(3 * time.Second)).Peer).To(Equal(core.DaemonID("a")))
		f.RelayAnswered(after(3*time.Second), "a", after(100*time.Millisecond))
		Expect(f.Next(after(3*time.Second)).Peer).To(Equal(core.DaemonID("b")), "the first one is cut off as well")
	})

	It("does not ask again and again when there is no time to wait for an answer", func() {
		f := loadedFollower("a")
		f.SetFleet(start, true, []core.DaemonID{"a"})
		f.StoreFailed(after(time.Second))
		Expect(f.Next(after(time.Second)).Kind).To(Equal(relay.Pause))
	})

	// All relays are cut off at once, or the store is away: 295 daemons would come in one
	// moment, and again in step with each other.
	It("comes to the store spread over a part of the budget, with growing pauses", func() {
		var first, last, calls time.Duration
		for i := range 300 {
			f := relay.NewFollower(core.DaemonID(fmt.Sprintf("edge-%d", i)), bound, 0)
			f.SetFleet(start, false, nil)
			f.Loaded(start)
			due := f.Next(after(time.Millisecond)).Wait
			if i == 0 || due < first {
				first = due
			}
			last = max(last, due)
			at := after(due + time.Millisecond)
			for at < after(due+4500*time.Millisecond) {
				step := f.Next(at)
				if step.Kind == relay.Load {
					calls++
					f.StoreFailed(at)
					continue
				}
				at = at.Add(step.Wait)
			}
		}
		Expect(last - first).To(BeNumerically(">", 400*time.Millisecond))
		Expect(last).To(BeNumerically("<", 5*time.Second))
		Expect(int(calls)).To(BeNumerically("<", 300*4), "in an outage of 4.5 s")
	})

	It("asks often while it has nothing, but not ever as often", func() {
		f := relay.NewFollower("d", bound, 0)
		f.SetFleet(start, false, nil)
		calls := 0
		for at := start; at < after(10*time.Second); {
			step := f.Next(at)
			if step.Kind == relay.Load {
				calls++
				f.StoreFailed(at)
				continue
			}
			Expect(step.Wait).To(BeNumerically("<=", time.Second))
			at = at.Add(step.Wait)
		}
		Expect(calls).To(BeNumerically("<", 60), "125 at a pause of 80 ms")
	})

	It("reads the store anew when the history for a watch is gone", func() {
		f := loadedFollower()
		f.SetFleet(start, true, nil)
		f.HistoryGone()
		Expect(f.Next(start).Kind).To(Equal(relay.Load))
	})
})
