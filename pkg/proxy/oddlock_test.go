package proxy

import (
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/platform"
)

var _ = Describe("an odd promotion lock", func() {
	odd := []TableEntry{
		Entry("text", "scribble"), Entry("deep nesting", deeplyNested),
		Entry("the largest term", `{"holder":"d","term":18446744073709551615,"highest":18446744073709551615}`),
		Entry("a later era", `{"holder":"d","term":1,"highest":1,"free":true,"era":7}`),
	}

	// Guards against a group whose primary is never replaced, because its promotion lock cannot be decoded or
	// names a term that no claim can exceed.
	DescribeTable("delays a promotion and does not prevent it", func(value string) {
		f := newFleet(2)
		f.daemons[0].dial("db-primary").queryUntilServed("WRITE k 1")
		f.store.PutBytes(platform.LocksPrefix+"ledger", []byte(value))
		f.logsUnreadable(kindLock)
		f.promoteReplica()
		last := uint64(0)
		for _, r := range f.store.PromoteRequests() {
			Expect(r.Token).To(BeNumerically(">", last))
			last = r.Token
		}
	}, odd)

	// Guards against a group that no daemon serves after a restart of the fleet, because its promotion lock
	// gives no lease.
	It("does not keep daemons that start from serving the primary, and is replaced", func() {
		f := newFleet(2)
		f.daemons[0].dial("db-primary").queryUntilServed("WRITE k 1")
		for _, d := range f.daemons {
			d.kill()
		}
		f.store.PutBytes(platform.LocksPrefix+"ledger", []byte(deeplyNested))
		for i, d := range f.daemons {
			f.daemons[i] = run(d.s, f.log)
		}
		for _, d := range f.daemons {
			Eventually(d.isStarted, waitLimit).Should(BeTrue())
			d.dial("db-primary").queryUntilServed("WRITE k 2")
		}
		Expect(f.store.PromoteRequests()).To(BeEmpty())
	})

	// Guards against a lock that nobody replaces while the primary serves, so that the next promotion waits.
	It("is replaced while the primary serves, without a promotion", func() {
		f := newFleet(2)
		f.daemons[0].dial("db-primary").queryUntilServed("WRITE k 1")
		f.store.PutBytes(platform.LocksPrefix+"ledger", []byte("scribble"))
		Eventually(func() error {
			item, era, err := f.daemons[0].p.client.Get(f.daemons[0].p.ctx, platform.LocksPrefix+"ledger")
			if err == nil {
				_, err = parseLock(item.Value, era)
			}
			return err
		}, 2*waitLimit).Should(Succeed())
		f.daemons[0].dial("db-primary").queryUntilServed("WRITE k 2")
		Expect(f.store.PromoteRequests()).To(BeEmpty())
	})
})
