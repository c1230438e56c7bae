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

// writeAll sends n writes, to the daemons in turn, and calls before ahead of the i-th one. It returns
// the data of the acknowledged writes.
func writeAll(f *fleet, n int, before func(i int)) map[string]bool {
	acked := make(map[string]bool)
	for i := range n {
		before(i)
		x := f.daemons[i%len(f.daemons)].dial("db-primary")
		data := fmt.Sprintf("v%d", i)
		if x.query("WRITE k" + data + " " + data).isServed() {
			acked[data] = true
		}
		_ = x.c.Close()
	}
	return acked
}

// commitCounts returns how often each data was committed.
func commitCounts(commits []standin.Commit) map[string]int {
	found := make(map[string]int)
	for _, c := range commits {
		found[c.Data]++
	}
	return found
}

var _ = Describe("a failover", func() {
	// The primary becomes unresponsive. Writes wait or are refused as not run until a replica is
	// promoted, and then all daemons write to it. Guards against writes to the old primary, which
	// answers again and still believes that it leads.
	It("promotes a replica once, and no longer uses the old primary", func() {
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
		requests := f.store.PromoteRequests()
		for i := 1; i < len(requests); i++ {
			Expect(requests[i].Token).To(BeNumerically(">", requests[i-1].Token))
		}
		for _, m := range f.group.Members() {
			Eventually(m.FencedTerm, waitLimit).Should(BeZero())
		}
	})

	// The primary is leaving and announces it. Guards against a new primary whose log lacks writes
	// that the old one has acknowledged.
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

	// The store is unavailable while all members are healthy. Callers are served for longer than any
	// lease lasts.
	It("is not needed while only the store is unavailable", func() {
		f := newFleet(2)
		f.daemons[0].dial("db-primary").queryUntilServed("WRITE k 1")
		f.store.SetDown(true)
		acked := writeAll(f, 400, func(int) {})
		Expect(acked).To(HaveLen(400))
	})

	// The answer to the write of the promotion lock is lost, so that the daemon does not know the
	// fencing token and has to claim again. Guards against a promotion under a guessed token.
	It("succeeds although the answer to the promotion lock's write is lost", func() {
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

	// A claim's write is executed, its answer is lost, and the primary answers again meanwhile.
	// Guards against a promotion lock that still appears held: daemons that start later would have
	// no lease, and after five seconds all daemons would assume that a promotion had been requested.
	It("withdraws a claim whose answer was lost", func() {
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
		// The store is unavailable until the primary is known to answer, so that no daemon claims
		// again.
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

	// A write is in progress when this daemon loses the replicas and the store, and its answer comes
	// after the lease has expired. Guards against an acknowledgment by a primary that may have been
	// replaced before the write ran.
	It("leaves the outcome of a write unknown if the answer comes after the lease has expired", func() {
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

	It("lets a session read what it wrote before the failover, or refuses the read", func() {
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
