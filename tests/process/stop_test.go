package process_test

import (
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("A planned stop", func() {
	// A rider stands at a locked gate whenever a host is replaced: requests of
	// that moment end without an answer, or an open transaction is cut off.
	DescribeTable("under load cuts off no request and ends with 0",
		func(ctx SpecContext, which func(*fleet) *daemon) {
			f := newFleet()
			stopping := which(f)
			left := f.others(stopping)
			l := startLoad(8, f.live)
			l.awaitProgress(5)
			conn := stopping.mustConnect(ctx, "settlement")
			tx, err := conn.Begin(ctx)
			Expect(err).NotTo(HaveOccurred())
			_, err = tx.Exec(ctx, insertSQL, "settled-1", "settlement", 1)
			Expect(err).NotTo(HaveOccurred())

			stopping.signal(syscall.SIGTERM)
			Eventually(stopping.ready).ShouldNot(Succeed())
			_, err = tx.Exec(ctx, insertSQL, "settled-2", "settlement", 2)
			Expect(err).NotTo(HaveOccurred())
			Expect(tx.Commit(ctx)).To(Succeed())
			Eventually(stopping.exited).Should(BeClosed())
			Expect(stopping.exitCode()).To(BeZero())

			l.awaitProgress(5)
			l.stop()
			l.verify(ctx, left[0])
			Expect(l.count(unknown)).To(BeZero(), "%v", l.errors)
			Expect(countWrites(ctx, left[0], "settled-1")).To(Equal(1))
			Expect(countWrites(ctx, left[0], "settled-2")).To(Equal(1))
		},
		Entry("of an entry", notHome),
		Entry("of the home", isHome),
	)
})
