package proxy

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/platform"
	"limpetspan/platform/standin"
)

// acknowledged drives writes through all daemons until stop, and returns the
// data of those that were acknowledged.
func writeAll(f *fleet, n int, between func(i int)) map[string]bool {
	acked := make(map[string]bool)
	for i := range n {
		between(i)
		x := f.daemons[i%len(f.daemons)].dial("db-primary")
		data := fmt.Sprintf("v%d", i)
		if x.query("WRITE k" + data + " " + data).isServed() {
			acked[data] = true
		}
		_ = x.c.Close()
	}
	return acked
}

func commitCounts(commits []standin.Commit) map[string]int {
	found := make(map[string]int)
	for _, c := range commits {
		found[c.Data]++
	}
	return found
}

var _ = Describe("a failover", func() {
	// The primary goes silent. Writes wait or are refused as not run; a replica is
	// promoted; afterwards all daemons write there. The old primary comes back, still
	// believing that it leads, and must not get another write.
	It("promotes a replica, once, and leaves the old primary", func() {
		f := newFleet(3)
		x := f.daemons[0].dial("db-primary")
		x.queryUntilServed("WRITE k 1")
		old := f.group.Primary()
		old.SetUnresponsive(true)
		x.queryUntilServed("WRITE k 2")
		Expect(f.group.Primary()).NotTo(Equal(old))
		old.SetUnresponsive(false)
		Eventually(old.IsPrimary, waitLimit).Should(BeFalse())
		acked := writeAll(f, 12, func(int) {})
		Expect(acked).To(HaveLen(12))
		found := commitCounts(f.group.Commits())
		for data := range acked {
			Expect(found).To(HaveKeyWithValue(data, 1))
		}
		orders := f.store.PromoteRequests()
		for i := 1; i < len(orders); i++ {
			Expect(orders[i].Token).To(BeNumerically(">", orders[i-1].Token))
		}
		for _, m := range f.group.Members() {
			Eventually(m.FencedTerm, waitLimit).Should(BeZero())
		}
	})

	// The primary is to be replaced and says so. What it has acknowledged is in the
	// log of the one that takes over.
	It("that is planned loses no acknowledged write", func() {
		f := newFleet(3)
		old := f.group.Primary()
		acked := writeAll(f, 60, func(i int) {
			if i == 20 {
				old.Leaving = true
				Expect(f.store.PutMember(old)).To(Succeed())
			}
		})
		Eventually(func() *standin.Member { return f.group.Primary() }, waitLimit).Should(And(Not(BeNil()), Not(Equal(old))))
		found := commitCounts(f.group.Commits())
		for data := range acked {
			Expect(found).To(HaveKey(data))
		}
	})

	// The store answers nothing while all is well with the members: callers are
	// served on, for longer than any lease.
	It("is not needed while only the store is away", func() {
		f := newFleet(2)
		f.daemons[0].dial("db-primary").queryUntilServed("WRITE k 1")
		f.store.SetDown(true)
		acked := writeAll(f, 400, func(int) {})
		Expect(acked).To(HaveLen(400))
	})

	// The answer to the write of the promotion lock is lost. The daemon does not know its
	// token and must not order under a guessed one; it tries again.
	It("survives that the answer to the promotion lock's write is lost", func() {
		f := newFleet(3)
		x := f.daemons[0].dial("db-primary")
		x.queryUntilServed("WRITE k 1")
		f.store.DropWriteAnswers(1)
		f.group.Primary().SetUnresponsive(true)
		x.queryUntilServed("WRITE k 2")
		seen := make(map[uint64]string)
		for _, o := range f.store.PromoteRequests() {
			Expect(o.Token).NotTo(BeZero())
			if holder, ok := seen[o.Token]; ok {
				Expect(holder).To(Equal(o.Holder), "two holders with one token")
			}
			seen[o.Token] = o.Holder
		}
	})

	// A claim's write is done and its answer lost, and meanwhile the primary is back.
	// The promotion lock would look held; daemons that start later would have no lease, and
	// after five seconds all would take it that a promotion had been ordered.
	It("takes back a claim whose answer was lost", func() {
		f := newFleet(1)
		x := f.daemons[0].dial("db-primary")
		x.queryUntilServed("WRITE k 1")
		primary := f.group.Primary()
		f.store.DropWriteAnswersFor(platform.LocksPrefix, 1)
		primary.SetUnresponsive(true)
		promotionLock := func() (t promotionLock) {
			item, _, err := f.daemons[0].p.client.Get(context.Background(), platform.LocksPrefix+"ledger")
			if err == nil {
				Expect(json.Unmarshal(item.Value, &t)).To(Succeed())
			}
			return t
		}
		Eventually(func() core.Term { return promotionLock().Highest }, waitLimit, 2*time.Millisecond).Should(Equal(core.Term(2)))
		// The store is away until the primary is known to be back, so that nobody
		// claims again.
		f.store.SetDown(true)
		primary.SetUnresponsive(false)
		g := f.daemons[0].p.existingGroup("ledger")
		Eventually(func() bool {
			g.mu.Lock()
			defer g.mu.Unlock()
			return g.core.Report(now()).Suspect
		}, waitLimit).Should(BeFalse())
		f.store.SetDown(false)
		Eventually(func() bool { return promotionLock().Released }, waitLimit).Should(BeTrue())
		Expect(f.store.PromoteRequests()).To(BeEmpty())
		x.queryUntilServed("WRITE k 2")
	})

	// A write is under way when this daemon loses replicas and store. The primary may
	// have been replaced before it ran; the answer comes after the lease has ended.
	It("makes the answer to a write that outlived the lease unknown", func() {
		f := newFleet(1)
		x := f.daemons[0].dial("db-primary")
		x.queryUntilServed("WRITE k 1")
		f.group.SetStatementDelay(direct.LeaseDuration + 500*time.Millisecond)
		f.store.SetDown(true)
		for _, m := range f.group.Members() {
			if !m.IsPrimary() {
				m.SetUnresponsive(true)
			}
		}
		Expect(x.query("WRITE k 2").result).To(HavePrefix("ERROR INDOUBT"))
	})

	It("lets a session read what it wrote before it, or says that it cannot", func() {
		f := newFleet(3)
		x := f.daemons[1].dial("db-own")
		x.queryUntilServed("WRITE k 1")
		Eventually(func() []string { return x.query("READ k").rows }, waitLimit).Should(Equal([]string{"1"}))
		f.group.Primary().SetUnresponsive(true)
		x.queryUntilServed("WRITE k 2")
		Expect(x.queryUntilServed("READ k").rows).To(Equal([]string{"2"}))
		Expect(strings.Count(fmt.Sprint(f.group.Commits()), " k 2 ")).To(Equal(1))
	})
})
