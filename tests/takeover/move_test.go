package takeover_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core/config"
)

var _ = Describe("a take-over", func() {
	var w *world
	start := func(o worldOptions) {
		w = newWorld(context.Background(), o)
		DeferCleanup(w.close)
		w.startCallers()
	}

	// Callers write and read through all daemons while their records move and
	// the destination's replicas apply the copies late. A reader that is sent to
	// such a replica right after the flip would find its record missing.
	It("moves records while callers use them", func() {
		start(worldOptions{})
		Expect(w.setState(config.TakeoverRunning)).To(Succeed())
		w.awaitState(config.TakeoverComplete)
		w.finish()
	})
})
