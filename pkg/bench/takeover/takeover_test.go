package takeover_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/pkg/bench/takeover"
)

func TestTakeover(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bench takeover")
}

var _ = Describe("Measure", func() {
	It("moves all records and finds no promise broken", func() {
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
		defer cancel()
		report, err := takeover.Measure(ctx, takeover.Options{Records: 400, Buckets: 8, Callers: 4, Calm: time.Second, Limit: time.Minute, Progress: GinkgoWriter})
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Complete).To(BeTrue())
		Expect(report.Moved).To(Equal(400))
		Expect(report.Broken).To(BeEmpty())
		Expect([]int{report.Lost, report.Doubled, report.Misrouted, report.OnceRepeated, report.Stale, report.Missing}).To(HaveEach(0))
		Expect(report.Writes).To(BeNumerically(">", 0))
		Expect(report.StoreWrites).To(BeNumerically(">", 0))
	})
})

var _ = Describe("the check", func() {
	It("finds a write at the source after the destination took one of its bucket", func() {
		at := time.Now()
		source := []takeover.Commit{takeover.NewCommit("a", "a/1", at), takeover.NewCommit("b", "b/1", at.Add(2*time.Second))}
		destination := []takeover.Commit{takeover.NewCommit("a", "a/2", at.Add(time.Second))}
		c := takeover.CheckRouting(source, destination, 1)
		Expect(c.Misrouted).To(Equal(1))
		Expect(c.Broken[0]).To(ContainSubstring("b/1"))
	})

	It("takes the last acknowledged write or a later one of unknown outcome", func() {
		Expect(takeover.MayBe("a/1", "a/1", "a/2")).To(BeTrue())
		Expect(takeover.MayBe("a/2", "a/1", "a/2")).To(BeTrue())
		Expect(takeover.MayBe("", "a/1", "a/2")).To(BeFalse())
	})
})
