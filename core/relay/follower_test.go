package relay_test

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/mirror"
	"limpetspan/core/relay"
)

const bound = 6 * time.Second

// start is when the tests begin. It is not 0, as a time of 0 means "never".
const start = core.Time(time.Hour)

func after(d time.Duration) core.Time { return start.Add(d) }

// loadedFollower returns a follower of the relays that has read the store at start.
func loadedFollower(relays ...core.DaemonID) *relay.Follower {
	f := relay.NewFollower("d", bound, 0)
	f.SetFleet(start, false, relays)
	f.Loaded(start)
	return f
}

var _ = Describe("a daemon of a large fleet", func() {
	// Guards against a fleet that starts and saturates the store's link with copies of the
	// configuration, so that no response arrives in time.
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

	It("retries only the list of daemons while the store is down, with growing delays", func() {
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

	// Guards against one call for each change when many daemons restart.
	It("batches changes that come in a burst", func() {
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
				Expect(step.Wait).To(BeNumerically("<", time.Second), "a change must still be seen soon")
				at += step.Wait
				continue
			}
			if calls++; step.Kind == relay.Check {
				f.Checked(after(at), mirror.Position{})
				continue
			}
			f.Watched(after(at+5*time.Millisecond), after(at), 3)
		}
		Expect(calls).To(BeNumerically("<", 16), "a constant delay of 0.2 s makes 50 calls")
	})

	// Guards against a copy that counts as proved although it lacks changes: the store has returned a
	// part of them. Callers whose keys were taken away would be served.
	It("has no proof by a watch that returned changes, until it has reached the position of the store", func() {
		f := relay.NewFollower("d", bound, start)
		f.SetFleet(start, true, []core.DaemonID{"a"})
		f.Reached(mirror.Position{Revision: 100})
		f.Loaded(start)
		f.Reached(mirror.Position{Revision: 104})
		f.Watched(after(4*time.Second), after(3*time.Second), 4)
		Expect(f.Proof()).To(Equal(start))
		Expect(f.Next(after(4 * time.Second)).Kind).To(Equal(relay.Check))
		f.Checked(after(4*time.Second), mirror.Position{Revision: 111})
		Expect(f.Proof()).To(Equal(start))
		Expect(f.Next(after(4020*time.Millisecond)).Kind).To(Equal(relay.Watch), "it lacks changes")
		f.Reached(mirror.Position{Revision: 108})
		f.Watched(after(4040*time.Millisecond), after(4020*time.Millisecond), 4)
		Expect(f.Proof()).To(Equal(start))
		Expect(f.Next(after(4040 * time.Millisecond)).Kind).To(Equal(relay.Watch))
		f.Reached(mirror.Position{Revision: 112})
		f.Watched(after(4060*time.Millisecond), after(4040*time.Millisecond), 4)
		Expect(f.Proof()).To(Equal(after(4 * time.Second)))
	})

	It("takes a watch that returned changes for a proof, without further calls, if it trusts watches", func() {
		f := relay.NewFollower("d", bound, start)
		f.TrustWatches()
		f.SetFleet(start, true, []core.DaemonID{"a"})
		f.Reached(mirror.Position{Revision: 100})
		f.Loaded(start)
		Expect(f.CompleteAsOf(after(3 * time.Second))).To(Equal(after(3 * time.Second)))
		f.Reached(mirror.Position{Revision: 104})
		f.Watched(after(4*time.Second), after(3*time.Second), 4)
		Expect(f.Proof()).To(Equal(after(3 * time.Second)))
		Expect(f.Next(after(4 * time.Second)).Kind).To(Equal(relay.Pause))
		Expect(f.Next(after(5*time.Second)).Wait).To(BeNumerically(">", time.Second), "a whole watch")
	})

	It("has a proof by a check that finds the store at the position of the copy", func() {
		f := relay.NewFollower("d", bound, start)
		f.SetFleet(start, true, nil)
		f.Loaded(start)
		f.Reached(mirror.Position{Era: 1, Revision: 104})
		f.Watched(after(4*time.Second), after(3*time.Second), 1)
		f.Checked(after(4*time.Second), mirror.Position{Era: 1, Revision: 104})
		Expect(f.Proof()).To(Equal(after(4 * time.Second)))
		Expect(f.Next(after(5 * time.Second)).Kind).To(Equal(relay.Watch))
	})

	// Guards against a position that a restored store has assigned again.
	It("has no proof by a check in another era of the store", func() {
		f := relay.NewFollower("d", bound, start)
		f.SetFleet(start, true, nil)
		f.Loaded(start)
		f.Reached(mirror.Position{Revision: 104})
		f.Watched(after(4*time.Second), after(3*time.Second), 1)
		f.Checked(after(4*time.Second), mirror.Position{Revision: 111})
		f.Reached(mirror.Position{Era: 1, Revision: 120})
		Expect(f.Proof()).To(Equal(start))
	})

	// Guards against a proof that never comes while changes go on, and against a check after each of them.
	It("keeps its proof young with few checks while each watch returns changes", func() {
		f := relay.NewFollower("d", bound, start)
		f.SetFleet(start, true, []core.DaemonID{"a"})
		f.Loaded(start)
		checks, calls, revision := 0, 0, mirror.Revision(100)
		for at := start; at < after(30*time.Second); {
			Expect(at.Sub(f.Proof())).To(BeNumerically("<", 3500*time.Millisecond))
			step := f.Next(at)
			if step.Kind == relay.Pause {
				at = at.Add(step.Wait)
				continue
			}
			sent := at
			at = at.Add(10 * time.Millisecond)
			revision += 2
			if calls++; step.Kind == relay.Check {
				checks++
				f.Checked(sent, mirror.Position{Revision: revision})
				continue
			}
			f.Reached(mirror.Position{Revision: revision})
			f.Watched(at, sent, 2)
		}
		Expect(checks).To(BeNumerically("<=", 12))
		Expect(calls).To(BeNumerically("<", 65))
	})

	// Guards against a call for each change although a watch would soon prove the copy.
	It("shortens the watch after a change, so that it proves the copy", func() {
		f := relay.NewFollower("d", bound, start)
		f.SetFleet(start, true, []core.DaemonID{"a"})
		f.Loaded(start)
		f.Watched(after(1500*time.Millisecond), start, 1)
		f.Watched(after(2500*time.Millisecond), after(1700*time.Millisecond), 1)
		step := f.Next(after(2700 * time.Millisecond))
		Expect(step.Kind).To(Equal(relay.Watch))
		Expect(step.Wait).To(BeNumerically("~", 633*time.Millisecond, time.Millisecond))
		f.Watched(after(3335*time.Millisecond), after(2700*time.Millisecond), 0)
		Expect(f.Proof()).To(Equal(after(2700 * time.Millisecond)))
		Expect(f.Next(after(3335 * time.Millisecond))).To(Equal(relay.Step{Kind: relay.Watch, Wait: 5 * time.Second / 3}))
	})

	// Guards against calls without a pause to a store whose watches return the same changes again.
	It("pauses if the copy does not come nearer to the position of the store", func() {
		f := relay.NewFollower("d", bound, start)
		f.SetFleet(start, true, nil)
		f.Loaded(start)
		f.Watched(after(4*time.Second), after(3*time.Second), 1)
		f.Checked(after(4*time.Second), mirror.Position{Revision: 111})
		calls := 0
		for at := after(4 * time.Second); at < after(14*time.Second); {
			step := f.Next(at)
			if step.Kind == relay.Pause {
				at = at.Add(step.Wait)
				continue
			}
			calls++
			f.Watched(at.Add(time.Millisecond), at, 1)
			at = at.Add(time.Millisecond)
		}
		Expect(calls).To(BeNumerically("<", 60))
	})

	// Guards against followers that leave a relay which has just sent them a change that it cannot prove yet.
	It("goes on asking a relay that has changes and no younger proof", func() {
		f := loadedFollower("a", "b")
		f.RelayAnswered(after(time.Second), "a", start, true)
		Expect(f.Next(after(time.Second)).Peer).To(Equal(core.DaemonID("a")))
		f.RelayAnswered(after(2*time.Second), "a", start, false)
		Expect(f.Next(after(2 * time.Second)).Peer).To(Equal(core.DaemonID("b")))
	})

	It("watches for a third of its budget if there are other daemons, and else for all of it", func() {
		f := relay.NewFollower("d", bound, 0)
		f.SetFleet(start, true, nil)
		f.Loaded(start)
		Expect(f.Next(start)).To(Equal(relay.Step{Kind: relay.Watch, Wait: 5 * time.Second}))
		f.SetFleet(start, true, []core.DaemonID{"a"})
		Expect(f.Next(start)).To(Equal(relay.Step{Kind: relay.Watch, Wait: 5 * time.Second / 3}))
	})

	// The store goes down. Callers are rejected from when the proof expires, as their keys can no
	// longer be checked. The older the proof is at that moment, the sooner it expires.
	It("keeps its proof younger if callers are rejected without one", func() {
		f := relay.NewFollower("d", bound, 0)
		f.UseShortWatches()
		f.SetFleet(start, true, []core.DaemonID{"a"})
		f.Loaded(start)
		Expect(f.Next(start)).To(Equal(relay.Step{Kind: relay.Watch, Wait: time.Second}))
	})

	// Guards against keys that cannot be checked between two watches of a daemon that knows no
	// other daemon: its watch must not last until its proof has expired.
	It("keeps its proof younger than the bound even if it knows no other daemon", func() {
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

	// Guards against followers that miss a change because their relay has died.
	It("asks the next relay if one does not answer, and the store if none does", func() {
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

	// The store rejects the relay but serves its followers. The relay still answers them, and only
	// its proof shows that it is behind.
	It("reads the store itself when its relays answer with old proofs", func() {
		f := loadedFollower("a")
		f.RelayAnswered(after(4500*time.Millisecond), "a", after(100*time.Millisecond), false)
		for at := 4500 * time.Millisecond; at < 5100*time.Millisecond; at += 10 * time.Millisecond {
			if f.Next(after(at)).Kind == relay.Load {
				return
			}
		}
		Fail("no read of its own within the budget of five seconds")
	})

	It("continues through its relay while the store rejects this daemon alone", func() {
		f := loadedFollower("a")
		f.StoreFailed(after(5 * time.Second))
		f.RelayAnswered(after(5200*time.Millisecond), "a", after(5100*time.Millisecond), false)
		Expect(f.Next(after(5200 * time.Millisecond)).Kind).To(Equal(relay.Ask))
	})

	// The store rejects one of the watchers for seconds and serves the others. Without another
	// source its proof expires, and it rejects every caller because their keys cannot be checked.
	It("asks another daemon while the store rejects it, once after each failure", func() {
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
		f.RelayAnswered(after(3010*time.Millisecond), "b", after(2*time.Second), false)
		Expect(f.Proof()).To(Equal(after(2 * time.Second)))
		Expect(f.Next(after(3010 * time.Millisecond)).Kind).NotTo(Equal(relay.Ask))
		Expect(f.Next(after(4500*time.Millisecond)).Kind).To(Equal(relay.Watch), "it keeps retrying the store")
	})

	// Both relays of a zone are partitioned from the store, and all daemons of the zone ask them
	// first. If each of them may wait for a proof as long as a watch takes, the daemon's own proof
	// expires meanwhile.
	It("backs off from a relay without a younger proof, and asks the others without a wait", func() {
		f := loadedFollower("a", "b", "c")
		Expect(f.Next(after(time.Second)).Wait).To(BeNumerically(">", time.Second))
		f.RelayAnswered(after(3400*time.Millisecond), "a", start, false)
		step := f.Next(after(3400 * time.Millisecond))
		Expect(step.Peer).To(Equal(core.DaemonID("b")))
		Expect(step.Wait).To(BeZero())
		f.RelayAnswered(after(3401*time.Millisecond), "b", start, false)
		Expect(f.Next(after(3401 * time.Millisecond)).Peer).To(Equal(core.DaemonID("c")))
		f.RelayAnswered(after(3402*time.Millisecond), "c", after(2*time.Second), false)
		Expect(f.Proof()).To(Equal(after(2 * time.Second)))
	})

	It("asks further daemons for a young proof if it is a watcher and the store rejects it", func() {
		f := relay.NewFollower("d", bound, 0)
		f.SetFleet(start, true, []core.DaemonID{"a", "b"})
		f.Loaded(start)
		f.StoreFailed(after(3 * time.Second))
		Expect(f.Next(after(3 * time.Second)).Peer).To(Equal(core.DaemonID("a")))
		f.RelayAnswered(after(3*time.Second), "a", after(100*time.Millisecond), false)
		Expect(f.Next(after(3*time.Second)).Peer).To(Equal(core.DaemonID("b")), "the first one is partitioned as well")
	})

	It("does not ask in a loop if there is no time left to wait for an answer", func() {
		f := loadedFollower("a")
		f.SetFleet(start, true, []core.DaemonID{"a"})
		f.StoreFailed(after(time.Second))
		Expect(f.Next(after(time.Second)).Kind).To(Equal(relay.Pause))
	})

	// All relays are partitioned at once, or the store is down. Guards against 295 daemons
	// that all call the store at the same moment, and retry at the same moments.
	It("spreads its calls to the store over a part of the budget, with growing delays", func() {
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

	It("reads the store often while it has no copy, with growing delays", func() {
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
		Expect(calls).To(BeNumerically("<", 60), "a constant delay of 80 ms makes 125 calls")
	})

	It("reads the store again when the history for a watch is gone", func() {
		f := loadedFollower()
		f.SetFleet(start, true, nil)
		f.HistoryGone()
		Expect(f.Next(start).Kind).To(Equal(relay.Load))
	})

	// Guards against a daemon that repeats a watch whose response is too long, until the store has
	// discarded that history.
	It("loads the copy at once when a watch cannot be used, and then watches again", func() {
		f := relay.NewFollower("d", bound, 0)
		f.SetFleet(start, true, nil)
		f.Loaded(start)
		f.WatchUnusable(after(time.Second))
		Expect(f.Next(after(time.Second)).Kind).To(Equal(relay.Load))
		f.Loaded(after(time.Second))
		Expect(f.Next(after(time.Second)).Kind).To(Equal(relay.Watch))
		f.Watched(after(2*time.Second), after(time.Second), 0)
		f.WatchUnusable(after(3 * time.Second))
		Expect(f.Next(after(3*time.Second)).Kind).To(Equal(relay.Load), "a new series")
	})

	// Guards against calls without a pause to a store that answers no watch, and against a daemon that
	// follows nothing there.
	It("loads the copy at least once a second if no watch can be used", func() {
		f := relay.NewFollower("d", bound, 0)
		f.SetFleet(start, true, nil)
		f.Loaded(start)
		loads, at := 0, start
		for at < after(20*time.Second) {
			Expect(at.Sub(f.Proof())).To(BeNumerically("<=", 1100*time.Millisecond))
			switch step := f.Next(at); step.Kind {
			case relay.Pause:
				at = at.Add(step.Wait)
			case relay.Load:
				loads++
				f.Loaded(at)
			case relay.Watch:
				at = at.Add(5 * time.Millisecond)
				f.WatchUnusable(at)
			}
		}
		Expect(loads).To(BeNumerically("<", 30))
	})

	// Guards against a daemon whose watches get no response although its loads do.
	It("loads the copy if its watches have got no response for its budget", func() {
		f := relay.NewFollower("d", bound, 0)
		f.SetFleet(start, true, nil)
		f.Loaded(start)
		for at := start; at < after(time.Minute); {
			step := f.Next(at)
			switch step.Kind {
			case relay.Load:
				f.Loaded(at)
			case relay.Watch:
				at = at.Add(step.Wait + time.Second)
				f.StoreFailed(at)
			default:
				at = at.Add(step.Wait)
			}
			Expect(at.Sub(f.Proof())).To(BeNumerically("<", 15*time.Second), "two watches of six seconds, and their delays")
		}
	})

	// Guards against a daemon that has begun to load, and cannot, although it could watch again.
	It("goes on watching if its loads get no response either", func() {
		f := relay.NewFollower("d", bound, 0)
		f.SetFleet(start, true, nil)
		f.Loaded(start)
		for at := start; f.Proof() < after(20*time.Second); {
			Expect(at).To(BeNumerically("<", after(30*time.Second)))
			switch step := f.Next(at); {
			case step.Kind == relay.Pause:
				at = at.Add(step.Wait)
			case step.Kind == relay.Watch && at >= after(20*time.Second):
				f.Watched(at, at, 0)
			default:
				at = at.Add(time.Second)
				f.StoreFailed(at)
			}
		}
	})

	// Guards against a daemon that is reachable again and still waits for the answer to a call that it
	// made while it was not.
	It("makes only short calls to a store that does not answer, for the first seconds", func() {
		f := relay.NewFollower("d", bound, 0)
		f.SetFleet(start, true, nil)
		f.Loaded(start)
		f.StoreFailed(after(5800 * time.Millisecond))
		for at := after(5800 * time.Millisecond); at < after(11*time.Second); {
			step := f.Next(at)
			if step.Kind == relay.Pause {
				Expect(step.Wait).To(BeNumerically("<=", time.Second))
				at = at.Add(step.Wait)
				continue
			}
			took := max(step.Wait, step.Timeout)
			Expect(took).To(BeNumerically("<=", 1600*time.Millisecond))
			at = at.Add(max(took, 800*time.Millisecond))
			f.StoreFailed(at)
		}
	})

	// Guards against calls without a pause while the answers of a restored store give no proof.
	It("waits for changes when its proof is old but the store answers", func() {
		f := relay.NewFollower("d", bound, 0)
		f.SetFleet(start, true, nil)
		f.Loaded(start)
		f.SetProofValidFrom(after(time.Minute))
		calls, at := 0, after(10*time.Second)
		for at < after(40*time.Second) {
			step := f.Next(at)
			Expect(step.Kind).To(Equal(relay.Watch))
			calls++
			sent := at
			at = at.Add(step.Wait + 5*time.Millisecond)
			f.Watched(at, sent, 0)
		}
		Expect(calls).To(BeNumerically("<", 10))
	})

	It("keeps to the watch while a failing store may come back soon", func() {
		f := relay.NewFollower("d", bound, 0)
		f.SetFleet(start, true, nil)
		f.Loaded(start)
		for at := start; at < after(4*time.Second); {
			step := f.Next(at)
			Expect(step.Kind).NotTo(Equal(relay.Load))
			if step.Kind == relay.Watch {
				f.StoreFailed(at)
			}
			at = at.Add(max(step.Wait, 10*time.Millisecond))
		}
	})
})
