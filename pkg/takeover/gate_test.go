package takeover_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/config"
	"limpetspan/pkg/errs"
	"limpetspan/pkg/takeover"
)

var _ = Describe("Gate", func() {
	const claim = "worker-1"
	var (
		w    *world
		gate *takeover.Gate
		key  = keyIn(0, 0)
	)
	order := func(op takeover.Operation, change ...func(*takeover.Order)) error {
		o := takeover.Order{Operation: op, Group: rival, Kind: kind, Buckets: []int{0, 1}, Fence: claim + ".1",
			Claim: claim, Revision: w.inForce.Load().Revision, Limit: time.Minute}
		for _, f := range change {
			f(&o)
		}
		ctx, cancel := context.WithTimeout(w.ctx, 5*time.Second)
		defer cancel()
		return gate.Order(ctx, o)
	}
	enter := func(caller uint64, write bool) (takeover.Pass, error) {
		ctx, cancel := context.WithTimeout(w.ctx, 20*time.Millisecond)
		defer cancel()
		return gate.Enter(ctx, takeover.Request{Caller: core.CallerID{Number: caller}, Kind: kind, Key: key, Write: write})
	}
	enterAndLeave := func(caller uint64) error {
		pass, err := enter(caller, true)
		pass.Leave('I')
		return err
	}
	setTakeover := func(change func(*config.Takeover)) {
		w.update(func(doc *config.Document) (*config.Document, error) {
			next, t := *doc, *doc.Takeovers[kind]
			change(&t)
			next.Takeovers = map[string]*config.Takeover{kind: &t}
			return &next, nil
		})
	}
	BeforeEach(func() {
		w = newWorld()
		gate = w.gates[rival]
		w.state(config.TakeoverRunning)
		setTakeover(func(t *config.Takeover) { t.Worker = claim })
	})

	// A bid is lost: its transaction was open at the old side when the bucket
	// was copied for the last time, and it committed there after the flip.
	It("waits for open transactions, and lets them go on meanwhile", func() {
		pass, err := enter(1, true)
		Expect(err).NotTo(HaveOccurred())
		pass.Leave('T')
		held := make(chan error, 1)
		go func() { held <- order(takeover.OperationHold) }()
		Eventually(func() error { return enterAndLeave(2) }, bound).Should(HaveOccurred())
		Expect(held).NotTo(Receive())
		pass, err = enter(1, true)
		Expect(err).NotTo(HaveOccurred(), "the hold waits for this transaction")
		pass.Leave('T')
		commit, err := gate.Enter(w.ctx, takeover.Request{Caller: core.CallerID{Number: 1}})
		Expect(err).NotTo(HaveOccurred())
		Expect(held).NotTo(Receive())
		commit.Leave('I')
		Eventually(held, bound).Should(Receive(BeNil()))
	})

	It("forgets the transaction of a caller that hung up", func() {
		pass, err := enter(1, true)
		Expect(err).NotTo(HaveOccurred())
		pass.Leave('E')
		gate.HungUp(core.CallerID{Number: 1})
		Expect(order(takeover.OperationHold)).To(Succeed())
	})

	It("waits for writes admitted before the take-over ran", func() {
		w = newWorld()
		gate = w.gates[rival]
		pass, err := enter(1, true)
		Expect(err).NotTo(HaveOccurred())
		w.state(config.TakeoverRunning)
		setTakeover(func(t *config.Takeover) { t.Worker = claim })
		held := make(chan error, 1)
		go func() { held <- order(takeover.OperationHold) }()
		Consistently(held, "50ms").ShouldNot(Receive())
		pass.Leave('I')
		Eventually(held, bound).Should(Receive(BeNil()))
	})

	It("holds writes until the seal and reads from the seal on", func() {
		Expect(order(takeover.OperationHold)).To(Succeed())
		_, err := enter(1, false)
		Expect(err).NotTo(HaveOccurred())
		_, err = enter(1, true)
		Expect(errs.Is(err, errs.Held)).To(BeTrue())
		Expect(errs.As(err).Outcome).To(Equal(core.OutcomeNotRun))
		Expect(order(takeover.OperationSeal)).To(Succeed())
		_, err = enter(1, false)
		Expect(errs.Is(err, errs.Held)).To(BeTrue())
		Expect(order(takeover.OperationSettle)).To(Succeed())
		_, err = enter(1, true)
		Expect(err).NotTo(HaveOccurred())
	})

	// A gate stays shut: the daemon that asked for the hold died, and nobody
	// else knows of it. Worse would be a flip after the hold has ended.
	It("ends a hold that is not sealed in time, and refuses its seal", func() {
		Expect(order(takeover.OperationHold, func(o *takeover.Order) { o.Limit = time.Millisecond })).To(Or(Succeed(), HaveOccurred()))
		Eventually(func() error { return enterAndLeave(1) }, bound).Should(Succeed())
		Expect(errs.Is(order(takeover.OperationSeal), errs.HoldRefused)).To(BeTrue())
	})

	// A check-out is lost: the home that held its bucket died just before the
	// flip, and the one that came after it had not heard of the flip and took
	// the write at the old side.
	It("keeps a sealed bucket shut at the next home until its revision tells the owner", func() {
		Expect(order(takeover.OperationHold)).To(Succeed())
		Expect(order(takeover.OperationSeal)).To(Succeed())
		stale := w.inForce.Load()
		next := takeover.NewGate(rival, w, func() *config.Document { return stale })
		gate = next
		_, err := enter(1, true)
		Expect(errs.Is(err, errs.Unavailable)).To(BeTrue(), "nothing is known yet")
		Expect(next.Load(w.ctx)).To(Succeed())
		_, err = enter(1, false)
		Expect(errs.Is(err, errs.Held)).To(BeTrue())
		setTakeover(func(t *config.Takeover) { t.Flipped = []byte{0b11} })
		flipped := w.inForce.Load()
		gate = w.gates[rival]
		Expect(order(takeover.OperationSettle, func(o *takeover.Order) { o.Revision = flipped.Revision })).To(Succeed())
		late := takeover.NewGate(rival, w, func() *config.Document { return stale })
		Expect(late.Load(w.ctx)).To(Succeed())
		gate = late
		_, err = enter(1, true)
		Expect(errs.Is(err, errs.Unavailable)).To(BeTrue(), "the home is behind")
		stale = flipped
		_, err = enter(1, true)
		Expect(errs.Is(err, errs.NotOwner)).To(BeTrue())
	})

	It("takes no order from a worker that has lost its claim, and waits for its own revision", func() {
		Expect(order(takeover.OperationHold)).To(Succeed())
		setTakeover(func(t *config.Takeover) { t.Worker = "worker-2" })
		for _, op := range []takeover.Operation{takeover.OperationHold, takeover.OperationSeal, takeover.OperationSettle} {
			err := order(op)
			Expect(errs.Is(err, errs.ClaimLost)).To(BeTrue(), "%s: %v", op, err)
		}
		ctx, cancel := context.WithTimeout(w.ctx, 20*time.Millisecond)
		defer cancel()
		err := gate.Order(ctx, takeover.Order{Operation: takeover.OperationHold, Kind: kind, Claim: "worker-2",
			Revision: w.inForce.Load().Revision + 1})
		Expect(errs.Is(err, errs.Unavailable)).To(BeTrue())
	})

	// A check-out is lost: a daemon was home, then another one sealed the bucket,
	// and the first became home again and served by what it knew from before.
	It("shuts until it has read the seals of homes in between", func() {
		slow := &slowQueries{world: w, begun: make(chan struct{}), answer: make(chan struct{})}
		gate = takeover.NewGate(rival, slow, w.inForce.Load)
		loaded := func() chan error {
			done := make(chan error, 1)
			go func() { done <- gate.Load(w.ctx) }()
			Eventually(slow.begun, bound).Should(Receive())
			return done
		}
		first := loaded()
		second := loaded()
		slow.answer <- struct{}{}
		slow.answer <- struct{}{}
		errors := []error{<-first, <-second}
		Expect(errors).To(ConsistOf(BeNil(), HaveOccurred()), "only the later leadership counts")
		Expect(enterAndLeave(1)).To(Succeed())
		third := loaded()
		err := enterAndLeave(1)
		Expect(errs.Is(err, errs.Unavailable)).To(BeTrue())
		// Not that the revision is too old, which would send the operator astray.
		Expect(err).To(MatchError(ContainSubstring("has not read from group " + string(rival))))
		slow.answer <- struct{}{}
		Eventually(third, bound).Should(Receive(BeNil()))
		Expect(enterAndLeave(1)).To(Succeed())
	})
})

// slowQueries answers queries when told to.
type slowQueries struct {
	*world
	begun, answer chan struct{}
}

func (s *slowQueries) Query(ctx context.Context, g core.GroupID, st takeover.Statement) ([]takeover.Row, error) {
	rows, err := s.world.Query(ctx, g, st)
	s.begun <- struct{}{}
	<-s.answer
	return rows, err
}
