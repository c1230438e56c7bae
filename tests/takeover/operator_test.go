package takeover_test

import (
	"context"
	"fmt"
	"slices"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sync/errgroup"

	"limpetspan/core/config"
)

var _ = Describe("operators of a take-over", func() {
	It("change their minds and harm no caller", func() {
		together(
			story{"rollback against start", rollbackAgainstStart},
			story{"rollback", rollback},
			story{"retirement", retirement},
		)
	})

	It("race to pause and to start it", pauseAgainstStart)
})

// Two operators race: one starts and resumes, the other pauses. Each command is
// accepted or refused as a whole; in the end the take-over goes on, and no
// bucket that was held for a flip stays shut.
func pauseAgainstStart() {
	w := newWorld(context.Background(), worldOptions{})
	defer w.close()
	w.startCallers()
	const rounds = 15
	var g errgroup.Group
	for _, state := range []config.TakeoverState{config.TakeoverRunning, config.TakeoverPaused} {
		g.Go(func() error {
			defer GinkgoRecover()
			for range rounds {
				_ = w.setState(state)
				before := w.ledger.acknowledgedWrites()
				Eventually(w.ledger.acknowledgedWrites).Should(BeNumerically(">", before+10))
			}
			return nil
		})
	}
	Expect(g.Wait()).To(Succeed())
	if w.state() == config.TakeoverPaused {
		Expect(w.setState(config.TakeoverRunning)).To(Succeed())
	}
	w.awaitState(config.TakeoverComplete)
	w.finish()
}

// One operator resumes a paused take-over while the other rolls it back. A
// rollback that was accepted must not be undone by the late resume.
func rollbackAgainstStart() {
	w := newWorld(context.Background(), worldOptions{})
	defer w.close()
	w.startCallers()
	settling := w.steps.next("settle")
	Expect(w.setState(config.TakeoverRunning)).To(Succeed())
	Eventually(settling).Should(Receive())
	Expect(w.setState(config.TakeoverPaused)).To(Succeed())
	var g errgroup.Group
	g.Go(func() error { _ = w.setState(config.TakeoverRunning); return nil })
	g.Go(func() error { return w.setState(config.TakeoverRollback) })
	Expect(g.Wait()).To(Succeed())
	Expect(w.setState(config.TakeoverRunning)).NotTo(Succeed())
	w.awaitState(config.TakeoverRolledBack)
	Expect(w.flipped()).To(BeZero())
	w.finish()
}

// The first batch has moved and callers have written at the destination when
// the operator goes back. Their writes have to move back with the records, and
// charges made there must not run again at the source.
func rollback() {
	w := newWorld(context.Background(), worldOptions{})
	defer w.close()
	w.startCallers()
	Expect(w.setState(config.TakeoverRunning)).To(Succeed())
	Eventually(w.flipped).Should(And(BeNumerically(">", 0), BeNumerically("<", buckets)))
	Expect(w.setState(config.TakeoverRollback)).To(Succeed())
	w.awaitState(config.TakeoverRolledBack)
	Expect(w.flipped()).To(BeZero())
	w.finish()
}

// An operator retires the source's version while records of it remain. Were
// that accepted, nobody could reach them. After the last one has moved it is
// accepted, and callers of the old version are told which one is in service.
func retirement() {
	w := newWorld(context.Background(), worldOptions{})
	defer w.close()
	w.startCallers()
	retire := func() error {
		return w.fleet.Change(w.ctx, "retire", func(doc *config.Document) {
			k := *doc.Kinds[kind]
			k.Versions = slices.DeleteFunc(slices.Clone(k.Versions), func(v string) bool { return v == versionOld })
			kinds := make(map[string]*config.Kind, len(doc.Kinds))
			for name, other := range doc.Kinds {
				kinds[name] = other
			}
			kinds[kind] = &k
			doc.Kinds = kinds
		})
	}
	holding := w.steps.next("hold")
	Expect(w.setState(config.TakeoverRunning)).To(Succeed())
	Eventually(holding).Should(Receive())
	if w.state() == config.TakeoverRunning {
		Expect(retire()).To(MatchError(ContainSubstring("is needed by the take-over")))
	}
	w.awaitState(config.TakeoverComplete)
	Expect(retire()).To(Succeed())
	conn, err := dial(w.ctx, w.fleet.URL(w.daemons()[0]), "late")
	Expect(err).NotTo(HaveOccurred())
	defer conn.Close(w.ctx)
	Eventually(func() error {
		_, err := conn.Exec(w.ctx, fmt.Sprintf("/*kind='%s',key='lot-0000',version='%s'*/ SELECT 1", kind, versionOld))
		return err
	}).Should(MatchError(ContainSubstring(versionNew)))
	w.finish()
}
