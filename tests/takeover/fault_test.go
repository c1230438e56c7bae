package takeover_test

import (
	"context"
	"time"

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

// The daemon that is home of the source dies after the buckets are sealed and
// before they flip. The next home has not heard of the hold: were the seal not
// in the group's database, it would take writes of buckets that flip meanwhile.
func withHomeKilled() {
	w := newWorld(context.Background(), worldOptions{storeLinks: true})
	defer w.close()
	w.startCallers()
	home := w.daemon(w.home(rival))
	// Another daemon than the home is to work the take-over.
	home.StoreLink.Cut()
	prepared := w.steps.next("prepare")
	killed := make(chan struct{})
	w.steps.at("flip", func(line logLine) {
		defer GinkgoRecover()
		defer close(killed)
		Expect(line.Daemon).NotTo(Equal(home.Place.ID))
		w.kill(home.Place.ID)
	})
	Expect(w.setState(config.TakeoverRunning)).To(Succeed())
	Eventually(prepared).Should(Receive())
	home.StoreLink.Restore()
	Eventually(killed).Should(BeClosed())
	w.awaitState(config.TakeoverComplete)
	w.finish()
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
