package takeover_test

import (
	"context"
	"slices"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/config"
	standinstore "limpetspan/standin/store"
)

var _ = Describe("a take-over while callers go on", func() {
	It("keeps what callers were promised", func() {
		together(
			story{"lagging replicas", withLaggingReplicas},
			story{"transactions and writes race the flip", withRacingWrites},
			story{"answer of the flip lost", withLostAnswer},
			story{"primary of the source crashes", func() { withCrash(rival) }},
			story{"primary of the destination crashes", func() { withCrash(ring) }},
			story{"home of the source killed between seal and flip", withHomeKilled},
			story{"store refuses", func() { withOutage(standinstore.OutageRefuse) }},
			story{"store silent", func() { withOutage(standinstore.OutageSilent) }},
			story{"daemon cut off from the store", withDaemonCutOff},
			story{"flip accepted while all paths to the store break", withFlipUnsettled},
			story{"lease lapses", withLeaseLapsed},
		)
	})
})

// Records move while the destination's replicas apply the copies late. A reader
// that is sent to such a replica right after the flip would find its record
// missing.
func withLaggingReplicas() {
	w := newWorld(context.Background(), worldOptions{lags: [2]time.Duration{5 * time.Millisecond, 1500 * time.Millisecond}})
	defer w.close()
	w.startCallers()
	Expect(w.setState(config.TakeoverRunning)).To(Succeed())
	w.awaitState(config.TakeoverComplete)
	w.finish()
}

// The store accepts the flip and its answer is lost. A worker that took it for
// failed would open the buckets at the source, and they would be written on
// both sides.
func withLostAnswer() {
	w := newWorld(context.Background(), worldOptions{})
	defer w.close()
	w.startCallers()
	lost := make(chan struct{})
	w.steps.at("flip", func(logLine) {
		w.fleet.Store.LoseAnswers(1, standinstore.KindTxn)
		close(lost)
	})
	Expect(w.setState(config.TakeoverRunning)).To(Succeed())
	Eventually(lost).Should(BeClosed())
	w.awaitState(config.TakeoverComplete)
	w.finish()
}

// The primary of one side crashes while records are copied. Copies that were
// not confirmed are lost with it at the destination; at the source, the copy may
// hold what the next primary does not. Either way both sides must agree before
// the flip, and what callers were told stays true.
func withCrash(side core.GroupID) {
	w := newWorld(context.Background(), worldOptions{})
	defer w.close()
	w.startCallers()
	copying := w.steps.next("copy")
	Expect(w.setState(config.TakeoverRunning)).To(Succeed())
	Eventually(copying).Should(Receive())
	crashed := w.primary(side).ID()
	Expect(w.fleet.Group(side).Faults().Crash(crashed)).To(Succeed())
	w.awaitState(config.TakeoverComplete)
	Expect(w.fleet.Group(side).Faults().Restart(crashed)).To(Succeed())
	w.finish()
}

// The daemon that is home of the source dies after the buckets are sealed, and
// nobody but the store knows yet that they have flipped. The next home has not
// heard of the hold: were the seal not in the group's database, it would take
// writes of buckets that belong to the other side.
func withHomeKilled() {
	w := newWorld(context.Background(), worldOptions{storeLinks: true})
	defer w.close()
	w.startCallers()
	home := w.daemon(w.home(rival))
	// Another daemon than the home is to work the take-over.
	home.StoreLink.Cut()
	prepared := w.steps.next("prepare")
	flipping, cut := make(chan logLine, 1), make(chan int, 1)
	w.steps.at("flip", func(line logLine) {
		w.cutDuringFlip(line, cut)
		flipping <- line
	})
	Expect(w.setState(config.TakeoverRunning)).To(Succeed())
	Eventually(prepared).Should(Receive())
	home.StoreLink.Restore()
	Eventually(cut).Should(Receive())
	line := <-flipping
	Expect(line.Daemon).NotTo(Equal(home.Place.ID))
	w.kill(home.Place.ID)
	w.probeSealed(line)
	w.restoreLinks()
	w.awaitState(config.TakeoverComplete)
	w.finish()
}

func (w *world) restoreLinks() {
	for _, d := range w.daemons() {
		d.StoreLink.Restore()
	}
}

// probeSealed writes records: one that is not held
// until the new home takes it, then one of each sealed bucket, which it must not.
func (w *world) probeSealed(line logLine) {
	var free []int
	for b := range buckets {
		if !slices.Contains(line.Buckets, b) {
			free = append(free, b)
		}
	}
	prober := w.newCaller(callerCount)
	defer prober.close()
	probe := func(key string) outcome {
		prober.numbers[key]++
		written := write{key, prober.numbers[key]}
		told := outcomeOf(prober.try("probe", func(ctx context.Context, conn *pgx.Conn) error {
			return exec(ctx, conn, written.sql("deadline='500ms'"))
		}))
		w.ledger.wrote(written, told)
		return told
	}
	Eventually(func() outcome { return probe(keyIn(free)) }).Should(Equal(acknowledged))
	for _, b := range line.Buckets {
		Expect(probe(keyIn([]int{b}))).NotTo(Equal(acknowledged), "bucket %d is sealed", b)
	}
}

// The store accepts the flip while every path to it breaks: the worker cannot
// ask whether it was accepted, and no other daemon hears of it. A worker that
// took it for failed would open the buckets at the source, and what is written
// there would be missing at the destination.
func withFlipUnsettled() {
	w := newWorld(context.Background(), worldOptions{storeLinks: true})
	defer w.close()
	w.startCallers()
	cut := make(chan int, 1)
	w.steps.at("flip", func(line logLine) { w.cutDuringFlip(line, cut) })
	Expect(w.setState(config.TakeoverRunning)).To(Succeed())
	var before int
	Eventually(cut).Should(Receive(&before))
	Eventually(w.flipped).Should(BeNumerically(">", 0), "the store has accepted the flip")
	Eventually(func() bool { return w.steps.hasFailed("flip") }).Should(BeTrue())
	w.restoreLinks()
	w.awaitState(config.TakeoverComplete)
	w.finish()
}

// flipDelay is how long the store takes for a flip that is to lose its answer.
const flipDelay = 100 * time.Millisecond

// cutDuringFlip cuts all daemons off; the worker once its flip has reached the
// store, which then takes effect.
func (w *world) cutDuringFlip(line logLine, cut chan<- int) {
	for _, d := range w.daemons() {
		if d.Place.ID != line.Daemon {
			d.StoreLink.Cut()
		}
	}
	w.fleet.Store.SetDelay(flipDelay, standinstore.KindTxn)
	calls := w.fleet.Store.Counts().Calls[standinstore.KindTxn]
	go func() {
		defer GinkgoRecover()
		Eventually(func() int64 { return w.fleet.Store.Counts().Calls[standinstore.KindTxn] }).
			WithPolling(time.Millisecond).Should(BeNumerically(">", calls))
		w.daemon(line.Daemon).StoreLink.Cut()
		w.fleet.Store.SetDelay(0)
		cut <- w.ledger.acknowledgedWrites()
	}()
}

// The store goes down when the first flip is on its way, and nobody can know
// whether it was accepted. Records of that batch are held; all others must be
// served on their sides, and the take-over goes on when the store is back.
func withOutage(o standinstore.Outage) {
	w := newWorld(context.Background(), worldOptions{})
	defer w.close()
	w.startCallers()
	down := make(chan int, 1)
	w.steps.at("flip", func(logLine) {
		defer GinkgoRecover()
		Expect(w.fleet.Store.SetOutage(o)).To(Succeed())
		down <- w.ledger.acknowledgedWrites()
	})
	Expect(w.setState(config.TakeoverRunning)).To(Succeed())
	var before int
	Eventually(down).Should(Receive(&before))
	Eventually(func() bool { return w.steps.hasFailed("flip") }).Should(BeTrue())
	Expect(w.fleet.Store.SetOutage(standinstore.OutageNone)).To(Succeed())
	w.awaitState(config.TakeoverComplete)
	Expect(w.ledger.acknowledgedWrites()).To(BeNumerically(">", before))
	w.finish()
}

// A daemon loses its path to the store before the first flip. It learns the
// flips from its peers, late; until then it sends statements to the old side,
// where they must be refused, and reads through it must not be old.
func withDaemonCutOff() {
	w := newWorld(context.Background(), worldOptions{storeLinks: true})
	defer w.close()
	w.startCallers()
	cut := make(chan string, 1)
	w.steps.at("hold", func(line logLine) {
		defer GinkgoRecover()
		for _, d := range w.daemons() {
			if d.Place.ID != line.Daemon {
				d.StoreLink.Cut()
				cut <- d.Place.ID
				return
			}
		}
	})
	Expect(w.setState(config.TakeoverRunning)).To(Succeed())
	var id string
	Eventually(cut).Should(Receive(&id))
	w.awaitState(config.TakeoverComplete)
	revision := w.document().Revision
	Eventually(func() config.Revision {
		return config.Revision(w.daemon(id).Status(false).ConfigRevision)
	}).Should(BeNumerically(">=", revision))
	w.finish()
	w.daemon(id).StoreLink.Restore()
}

// The worker's lease lapses unnoticed just before its flip, and another daemon
// takes the claim while the first one works on. Only one of them may flip.
func withLeaseLapsed() {
	w := newWorld(context.Background(), worldOptions{})
	defer w.close()
	w.startCallers()
	lapsed := make(chan string, 1)
	w.steps.at("flip", func(line logLine) {
		defer GinkgoRecover()
		other := w.steps.next("prepare")
		w.expireClaim()
		Eventually(other).Should(Receive())
		lapsed <- line.Daemon
	})
	Expect(w.setState(config.TakeoverRunning)).To(Succeed())
	Eventually(lapsed).Should(Receive())
	w.awaitState(config.TakeoverComplete)
	w.finish()
}
