package takeover_test

import (
	"context"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core/config"
	"limpetspan/standin/target"
)

var _ = Describe("a session whose record moves", func() {
	// A bidder writes a bid on the source's side and then only reads it. The
	// record moves; a replica of the destination has not applied the copy yet.
	// The session has no position on that side, so nothing keeps its next read
	// from that replica, where its bid is missing.
	It("reads its own write from no replica that lacks the copy", func() {
		w := newWorld(context.Background(), worldOptions{})
		DeferCleanup(w.close)
		stuck := member(ring, 3)
		Expect(w.fleet.Group(ring).Faults().SetLag(stuck, target.Lag{Stuck: true})).To(Succeed())
		const sessions = 24
		bidders := make([]*caller, sessions)
		for i := range bidders {
			bidders[i] = w.newCaller(i)
			DeferCleanup(bidders[i].close)
			bidders[i].write(bidders[i].keys[0])
		}
		Expect(w.setState(config.TakeoverRunning)).To(Succeed())
		w.awaitState(config.TakeoverComplete)
		Expect(w.fleet.Group(ring).Faults().SetLeaving(member(ring, 2), true)).To(Succeed())
		for range 5 {
			for _, b := range bidders {
				b.read(b.keys[0])
			}
		}
		w.finish()
	})
})
