package home_test

import (
	"expvar"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core/group"
)

var _ = Describe("A probe", func() {
	// Guards against an older status that is taken for the member's state, and against a member that repeats answers
	// on its control connection unnoticed.
	It("that the member answers out of step reports no older status and is counted", func() {
		const probes = 4
		reducer := newFakeReducer(1)
		reducer.probed = make(chan group.Probed, probes)
		r := newRigOf(reducer, nil)
		DeferCleanup(r.close)
		Eventually(reducer.probed, waitLimit).Should(HaveLen(probes))
		var terms []int
		for range probes {
			probed := <-reducer.probed
			Expect(probed.Err).To(Equal(group.FailureNone))
			terms = append(terms, int(probed.Status.Term))
		}
		// The third call is repeated on another connection, where it is the fourth.
		Expect(terms).To(Equal([]int{1, 2, 4, 5}))
		shard := expvar.Get("limpetspan.home").(*expvar.Map).Get("d1/g").(*expvar.Map)
		Expect(shard.Get("connections_out_of_step").String()).To(Equal("1"))
	})
})
