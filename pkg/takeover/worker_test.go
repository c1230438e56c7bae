package takeover_test

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/config"
	"limpetspan/pkg/errs"
	"limpetspan/pkg/takeover"
	standin "limpetspan/standin/store"
)

// fill stores n records in the source.
func (w *world) fill(n int) {
	GinkgoHelper()
	e := w.entry(0, w.inForce.Load)
	for i := range n {
		Expect(e.put(fmt.Sprintf("lot-%d", i), "start")).To(Succeed())
	}
}

func (w *world) count(g core.GroupID) (n int) {
	GinkgoHelper()
	Expect(w.databases[g].QueryRowContext(w.ctx, "SELECT count(*) FROM lot").Scan(&n)).To(Succeed())
	return n
}

func (w *world) stateNow() config.TakeoverState { return w.current().State }

var _ = Describe("Worker", func() {
	var w *world
	BeforeEach(func() {
		w = newWorld()
		w.fill(40)
		w.state(config.TakeoverRunning)
	})

	It("moves all records and declares the kind in its new group, in few writes of the store", func() {
		before := w.fake.Server.Counts().Writes
		w.worker("d1")
		Eventually(w.stateNow, bound).Should(Equal(config.TakeoverComplete))
		Expect(w.inForce.Load().Kinds[kind].Group).To(Equal(ring))
		Expect(w.count(ring)).To(Equal(40))
		Expect(w.fake.Server.Counts().Writes - before).To(BeNumerically("<=", 10))
	})

	// The rival has no record in some bucket yet. Its change marker is an integer,
	// and the database refused the empty one that the catching up began with: the
	// bucket was blocked, the take-over never ended.
	It("moves a bucket without records, and what comes into it meanwhile", func() {
		w.exec(rival, "DELETE FROM lot WHERE bucket = 1")
		added := false
		w.setBefore(func(step string) error {
			if step == "hold" && !added {
				added = true
				w.exec(rival, "INSERT INTO lot VALUES(?, 1000, 1, 'late')", keyIn(1, 0))
			}
			return nil
		})
		w.worker("d1")
		Eventually(w.stateNow, bound).Should(Equal(config.TakeoverComplete))
		Expect(w.count(ring)).To(Equal(w.count(rival)))
	})

	// Callers write and read while their records move, through daemons that hear
	// of each revision late. Every price must be the last one that was
	// acknowledged, and no write may be held against a caller for good.
	It("loses no write and shows none late while callers go on", func() {
		var callers sync.WaitGroup
		stop := make(chan struct{})
		last := make([]int, 8)
		for n := range last {
			// A caller's daemon sees a new document only with every third statement.
			doc, statements := w.inForce.Load(), 0
			e := w.entry(uint64(n+1), func() *config.Document {
				if statements++; statements%3 == 0 {
					doc = w.inForce.Load()
				}
				return doc
			})
			callers.Go(func() {
				defer GinkgoRecover()
				key := fmt.Sprintf("lot-%d", n)
				for i := 1; ; i++ {
					select {
					case <-stop:
						return
					default:
					}
					Expect(again(func() error { return e.put(key, strconv.Itoa(i)) })).To(Succeed())
					last[n] = i
					var price string
					Expect(again(func() (err error) { price, err = e.get(key); return err })).To(Succeed())
					Expect(price).To(Equal(strconv.Itoa(i)))
				}
			})
		}
		w.worker("d1")
		Eventually(w.stateNow, bound).Should(Equal(config.TakeoverComplete))
		close(stop)
		callers.Wait()
		for n, i := range last {
			var price string
			Expect(w.databases[ring].QueryRow("SELECT price FROM lot WHERE id = ?", fmt.Sprintf("lot-%d", n)).Scan(&price)).To(Succeed())
			Expect(price).To(Equal(strconv.Itoa(i)))
		}
	})

	// A weekend's work stands still, or records end up on the wrong side: the
	// daemon that moved a bucket died in the middle of a step, and could not
	// even give its lease back. Another daemon carries on.
	DescribeTable("is carried on by another daemon when one dies",
		func(at string) {
			died := make(chan struct{})
			var once sync.Once
			w.setBefore(func(step string) error {
				if step != at {
					return nil
				}
				once.Do(func() { close(died) })
				<-w.ctx.Done()
				return w.ctx.Err()
			})
			dying, kill := context.WithCancel(w.ctx)
			dead := takeover.NewWorker(takeover.Options{Self: "d1", Store: w.fake.Client, Prefix: prefix,
				Configuration: w.configuration(), Databases: stepped{w}, Homes: stepped{w}, Interval: time.Millisecond})
			go func() { _ = dead.Run(dying) }()
			Eventually(died, bound).Should(BeClosed())
			w.setBefore(nil)
			w.fake.Transport.SetDown(true)
			kill()
			w.fake.Transport.SetDown(false)
			w.fake.Advance(20 * time.Second)
			w.worker("d2")
			e := w.entry(1, w.inForce.Load)
			Expect(again(func() error { return e.put("lot-1", "after") })).To(Succeed())
			Eventually(w.stateNow, bound).Should(Equal(config.TakeoverComplete))
			Expect(w.count(ring)).To(Equal(40))
			Expect(e.get("lot-1")).To(Equal("after"))
		},
		Entry("before it copies", "apply ring"),
		Entry("before it writes a page", "page"),
		Entry("while it copies", "query rival"),
		Entry("before the hold", "hold"),
		Entry("with buckets held", "hold done"),
		Entry("before the close", "close"),
		Entry("before the seal", "seal"),
		Entry("with buckets sealed", "seal done"),
		Entry("before it settles", "settle"),
	)

	// A price from before the weekend comes back: a daemon was paused in the
	// middle of a step, another one finished the take-over, callers changed
	// their records, and then the first one woke up and went on.
	DescribeTable("does no harm when it wakes up after another has finished",
		func(at string) {
			paused, wake := make(chan struct{}), make(chan struct{})
			var once sync.Once
			w.setBefore(func(step string) error {
				if step == at {
					first := false
					once.Do(func() { first = true; close(paused) })
					if first {
						<-wake
					}
				}
				return nil
			})
			_, stop := w.worker("d1")
			Eventually(paused, bound).Should(BeClosed())
			w.fake.Advance(20 * time.Second)
			w.worker("d2")
			Eventually(w.stateNow, bound).Should(Equal(config.TakeoverComplete))
			e := w.entry(1, w.inForce.Load)
			for i := range 40 {
				Expect(e.put(fmt.Sprintf("lot-%d", i), "after")).To(Succeed())
			}
			close(wake)
			stop()
			for i := range 40 {
				Expect(e.get(fmt.Sprintf("lot-%d", i))).To(Equal("after"))
			}
			Expect(w.count(ring)).To(Equal(40))
			Expect(w.current().Flipped).To(Equal([]byte{0b1111}))
		},
		Entry("before it writes a page", "page"),
		Entry("with buckets held", "hold done"),
		Entry("before the close", "close"),
		Entry("with buckets sealed", "seal done"),
		Entry("before it settles", "settle"),
	)

	// A bid is lost: a daemon was paused just before its flip. Another one opened
	// the buckets again, a bid was written at the old side, and then the first
	// one woke up and flipped them with the copy it had verified before.
	It("refuses the flip of a daemon whose buckets were opened again", func() {
		reached, wake := make(chan struct{}), [2]chan struct{}{make(chan struct{}), make(chan struct{})}
		pauses := []string{"seal done", "hold"}
		w.setBefore(func(step string) error {
			w.mu.Lock()
			n := len(wake) - len(pauses)
			pause := len(pauses) > 0 && step == pauses[0]
			if pause {
				pauses = pauses[1:]
			}
			w.mu.Unlock()
			if pause {
				reached <- struct{}{}
				<-wake[n]
			}
			return nil
		})
		first, _ := w.worker("d1")
		Eventually(reached, bound).Should(Receive())
		w.fake.Advance(20 * time.Second)
		w.worker("d2")
		Eventually(reached, bound).Should(Receive())
		e := w.entry(1, w.inForce.Load)
		for b := range buckets {
			Expect(again(func() error { return e.put(keyIn(b, 0), "bid") })).To(Succeed())
		}
		close(wake[0])
		Eventually(first.Status, bound).Should(BeEmpty())
		expectBids := func() {
			GinkgoHelper()
			for b := range buckets {
				Expect(e.get(keyIn(b, 0))).To(Equal("bid"))
			}
		}
		expectBids()
		close(wake[1])
		Eventually(w.stateNow, bound).Should(Equal(config.TakeoverComplete))
		expectBids()
	})

	// Both sides serve a bucket: the store made the flip's change and its answer
	// was lost, so the worker believed that nothing had happened.
	It("settles a flip whose answer was lost", func() {
		w.setBefore(func(step string) error {
			if step == "seal done" {
				w.fake.Server.LoseAnswers(1, standin.KindTxn)
			}
			return nil
		})
		w.worker("d1")
		Eventually(w.stateNow, bound).Should(Equal(config.TakeoverComplete))
		Expect(w.count(ring)).To(Equal(40))
	})

	// A rider stands at a gate for an hour: the store went down while her bucket
	// was held, and nobody could lift the hold without it.
	It("opens held buckets when the store is down, and goes on when it is back", func() {
		down := make(chan struct{})
		var once sync.Once
		w.setBefore(func(step string) error {
			if step == "seal done" {
				once.Do(func() { w.fake.Transport.SetDown(true); close(down) })
			}
			return nil
		})
		w.worker("d1")
		Eventually(down, bound).Should(BeClosed())
		e := w.entry(1, w.inForce.Load)
		for b := range buckets {
			Expect(again(func() error { return e.put(keyIn(b, 0), "during") })).To(Succeed())
		}
		Expect(w.stateNow()).To(Equal(config.TakeoverRunning))
		w.fake.Transport.SetDown(false)
		Eventually(w.stateNow, bound).Should(Equal(config.TakeoverComplete))
		for b := range buckets {
			Expect(e.get(keyIn(b, 0))).To(Equal("during"))
		}
	})

	// Records vanish at the new side: its primary failed during the copy, and
	// the replica that took over lacked the last pages.
	It("copies a bucket anew when the destination has lost records", func() {
		var once sync.Once
		w.setBefore(func(step string) error {
			if step == "close" {
				once.Do(func() { w.exec(ring, "DELETE FROM lot WHERE id = ?", keyIn(0, 1)) })
			}
			return nil
		})
		w.worker("d1")
		Eventually(w.stateNow, bound).Should(Equal(config.TakeoverComplete))
		Expect(w.count(ring)).To(Equal(40))
	})

	// A lot that nobody recorded turns up: it was copied, and then the source's
	// failover lost the write.
	It("drops a copy that the source has lost", func() {
		var once sync.Once
		w.setBefore(func(step string) error {
			if step == "hold" {
				once.Do(func() { w.exec(rival, "DELETE FROM lot WHERE id = ?", keyIn(0, 1)) })
			}
			return nil
		})
		w.worker("d1")
		Eventually(w.stateNow, bound).Should(Equal(config.TakeoverComplete))
		Expect(w.count(ring)).To(Equal(39))
	})

	// Two operators change the configuration while buckets are sealed: one adds
	// a default group, and the flip goes through; the other pauses the take-over,
	// and the flip must not.
	It("flips beside another change, and pauses for an operator at once", func() {
		sealed := 0
		w.setBefore(func(step string) error {
			defer GinkgoRecover()
			if step != "seal done" {
				return nil
			}
			if sealed++; sealed == 1 {
				w.update(func(doc *config.Document) (*config.Document, error) {
					next := *doc
					next.DefaultGroup = ring
					return &next, nil
				})
			} else {
				w.state(config.TakeoverPaused)
			}
			return nil
		})
		worker, _ := w.worker("d1")
		Eventually(w.stateNow, bound).Should(Equal(config.TakeoverPaused))
		Eventually(worker.Status, bound).Should(BeEmpty())
		Expect(w.current().Flipped).To(HaveLen(1))
		e := w.entry(1, w.inForce.Load)
		for b := range buckets {
			Expect(again(func() error { return e.put(keyIn(b, 0), "paused") })).To(Succeed())
		}
		w.setBefore(nil)
		w.state(config.TakeoverRunning)
		Eventually(w.stateNow, bound).Should(Equal(config.TakeoverComplete))
		Expect(w.inForce.Load().DefaultGroup).To(Equal(ring))
		for b := range buckets {
			Expect(e.get(keyIn(b, 0))).To(Equal("paused"))
		}
	})

	It("rolls back before any flip, and flipped buckets by the reverse statements", func() {
		w.setBefore(func(step string) error {
			if step == "hold" && w.current().Flipped != nil {
				return errors.New("no further")
			}
			return nil
		})
		_, stop := w.worker("d1")
		Eventually(func() bool { return w.current().Flipped != nil }, bound).Should(BeTrue())
		stop()
		w.setBefore(nil)
		e := w.entry(1, w.inForce.Load)
		for b := range buckets {
			Expect(again(func() error { return e.put(keyIn(b, 0), "new side") })).To(Succeed())
		}
		w.state(config.TakeoverRollback)
		w.worker("d2")
		Eventually(w.stateNow, bound).Should(Equal(config.TakeoverRolledBack))
		Expect(w.inForce.Load().Kinds[kind].Group).To(Equal(rival))
		for b := range buckets {
			Expect(e.get(keyIn(b, 0))).To(Equal("new side"))
		}
		Expect(w.count(rival)).To(BeNumerically(">=", 40))
	})

	const countOnceIndexes = "SELECT count(*) FROM sqlite_master WHERE type = 'index' AND tbl_name = 'limpetspan_once' AND sql IS NOT NULL"

	// A charge is made twice: it ran at the old side, the answer was lost, and
	// the caller asked again after its record had moved.
	It("takes must-not-repeat keys along, also those with a wrong bucket in their row", func() {
		const insert = "INSERT INTO limpetspan_once(once_key, kind, record_key, bucket, tag, done_at) VALUES(?, ?, ?, ?, '', ?)"
		w.exec(rival, "CREATE TABLE limpetspan_once(once_key text PRIMARY KEY, kind text, record_key text, bucket int, tag text, done_at bigint)")
		for i := range 20 {
			w.exec(rival, insert, fmt.Sprintf("charge-%d", i), kind, fmt.Sprintf("lot-%d", i), 0, 1_000_000)
		}
		var once sync.Once
		w.setBefore(func(step string) error {
			if step == "hold" {
				once.Do(func() { w.exec(rival, insert, "late", kind, keyIn(1, 0), 0, 1_000_001) })
			}
			return nil
		})
		w.worker("d1")
		Eventually(w.stateNow, bound).Should(Equal(config.TakeoverComplete))
		var n int
		Expect(w.databases[ring].QueryRow("SELECT count(*) FROM limpetspan_once").Scan(&n)).To(Succeed())
		Expect(n).To(Equal(21))
		for _, g := range []core.GroupID{rival, ring} {
			Expect(w.databases[g].QueryRow(countOnceIndexes).Scan(&n)).To(Succeed())
			Expect(n).To(Equal(2))
		}
	})

	// A retired schema's records can be reached by nobody.
	It("keeps a version in service while records of it remain", func() {
		doc := w.inForce.Load()
		next := *doc
		next.Kinds = map[string]*config.Kind{kind: {Group: rival, Versions: []string{"new"}}}
		Expect(config.CheckChange(doc, &next)).To(MatchError(ContainSubstring(`version "old" is needed`)))
	})

	It("says which record is in a wrong bucket", func() {
		w.exec(rival, "UPDATE lot SET bucket = 3 WHERE id = ?", keyIn(0, 0))
		w.worker("d1")
		Consistently(w.stateNow, "100ms").Should(Equal(config.TakeoverRunning))
		Expect(errs.Is(again(func() error { return w.entry(1, w.inForce.Load).put("lot-1", "x") }), errs.Held)).To(BeFalse())
	})
})

var _ = DescribeTable("WorkerOf", func(claim string, want core.DaemonID) {
	Expect(takeover.WorkerOf(claim)).To(Equal(want))
},
	Entry("the daemon before the last hyphen", "entry-7-KQ2A", core.DaemonID("entry-7")),
	Entry("nobody", "KQ2A", core.DaemonID("")),
)
