package takeover_test

import (
	"context"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core/config"
	"limpetspan/core/takeover"
)

// slowNetwork makes each step last long enough to be met.
const slowNetwork = 2 * time.Millisecond

// claimTTL is the lease of a claim, as package takeover has it.
const claimTTL = 10 * time.Second

var _ = Describe("the daemon that works a take-over", func() {
	// The daemon's process ends without a word in the middle of a step. Holds
	// and seals, half copied buckets and closings are left behind, at the home
	// of the source too when that was the same daemon. Another daemon has to
	// clear them up and go on, and callers must not lose a write meanwhile.
	It("is killed in each state of a bucket, or stopped, and another one goes on", func() {
		steps := []takeover.Step{takeover.StepPrepare, takeover.StepCopy, takeover.StepKeys, takeover.StepCatchUp, takeover.StepHold,
			takeover.StepDrain, takeover.StepClose, takeover.StepVerify, takeover.StepSeal, takeover.StepFlip, takeover.StepSettle}
		var list []story
		for _, step := range steps {
			list = append(list, story{"killed in step " + step.String(), func() { killIn(step.String()) }})
		}
		together(append(list, story{"stopped in the planned way", stopped})...)
	})
})

func killIn(step string) {
	w := newWorld(context.Background(), worldOptions{latency: slowNetwork})
	defer w.close()
	w.startCallers()
	began := w.steps.next(step)
	Expect(w.setState(config.TakeoverRunning)).To(Succeed())
	var line logLine
	Eventually(began).Should(Receive(&line))
	w.kill(line.Daemon)
	w.expireClaim()
	w.awaitState(config.TakeoverComplete)
	w.finish()
}

// The daemon is stopped in the planned way while it copies. It has to give the
// claim up while its homes and peers still answer; another daemon then goes on
// without waiting for the lease to end.
func stopped() {
	w := newWorld(context.Background(), worldOptions{})
	defer w.close()
	w.startCallers()
	copying := w.steps.next("copy")
	Expect(w.setState(config.TakeoverRunning)).To(Succeed())
	var line logLine
	Eventually(copying).Should(Receive(&line))
	again := w.steps.next("prepare")
	w.end(line.Daemon, w.fleet.Stop)
	Eventually(again).WithTimeout(claimTTL / 2).Should(Receive())
	w.awaitState(config.TakeoverComplete)
	w.finish()
}
