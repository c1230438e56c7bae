package proxy

import (
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/platform"
)

var _ = Describe("A group whose members are all leaving", func() {
	const drainBound = time.Second

	// Guards against work for a member that may have ended, and against callers that wait for it until
	// their deadline.
	It("refuses statements at once after the drain bound, until a member can take over", func() {
		f := newFleet(2, func(f *fleet) {
			f.adjustSettings = func(s *platform.Settings) { s.DrainBound = drainBound }
			f.timeoutMS = 10_000
		})
		sessions := []*caller{f.daemons[0].dial("db-primary"), f.daemons[1].dial("db-primary")}
		for _, x := range sessions {
			x.queryUntilServed("WRITE k 1")
		}
		primary := f.group.Primary()
		setReplicasLeaving := func(leaving bool) {
			for _, m := range f.group.Members() {
				if m != primary {
					m.Leaving = leaving
					Expect(f.store.PutMember(m)).To(Succeed())
				}
			}
		}
		setReplicasLeaving(true)
		primary.Leaving = true
		Expect(f.store.PutMember(primary)).To(Succeed())

		Eventually(func() bool { return sessions[0].query("WRITE k 2").isServed() }, waitLimit).Should(BeFalse())
		time.Sleep(drainBound)
		for _, x := range sessions {
			sent := time.Now()
			refused := x.query("WRITE k 3")
			Expect(refused.result).To(ContainSubstring("retry after"))
			Expect(time.Since(sent)).To(BeNumerically("<", 2*time.Second), "the statement may wait for 10 s")
			Expect(f.hasRun(refused.id)).To(BeFalse())
		}

		setReplicasLeaving(false)
		Eventually(f.group.Primary, waitLimit).ShouldNot(Equal(primary))
		for _, x := range sessions {
			x.queryUntilServed("WRITE k 4")
		}
	})
})

var _ = Describe("Statements that wait for a connection to a leaving primary", func() {
	const drainBound = 2 * time.Second

	// Guards against callers that wait until their deadline in place of being refused once the drain bound has passed.
	It("are refused when the drain bound passes", func() {
		f := newFleet(1, func(f *fleet) {
			f.adjustSettings = func(s *platform.Settings) { s.DrainBound = drainBound }
			f.timeoutMS = 10_000
		})
		var sessions []*caller
		for range 40 {
			x := f.daemons[0].dial("db-primary")
			x.queryUntilServed("READ k")
			sessions = append(sessions, x)
		}
		primary := f.group.Primary()
		for _, m := range f.group.Members() {
			m.Leaving = true
			Expect(f.store.PutMember(m)).To(Succeed())
		}
		time.Sleep(850 * time.Millisecond)
		began := time.Now()
		var mu sync.Mutex
		var served, refused int
		var latest time.Duration
		var wg sync.WaitGroup
		for _, x := range sessions {
			wg.Go(func() {
				defer GinkgoRecover()
				x.query("BEGIN")
				a := x.query("WRITE k 1")
				mu.Lock()
				defer mu.Unlock()
				if a.isServed() {
					served++
					return
				}
				refused++
				latest = max(latest, time.Since(began))
			})
		}
		wg.Wait()
		GinkgoWriter.Println(primary.ID, "served", served, "refused", refused, "latest", latest)
		Expect(refused).To(BeNumerically(">", 0))
		Expect(latest).To(BeNumerically("<", 2*drainBound))
	})
})
