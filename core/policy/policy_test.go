package policy_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core/policy"
)

func TestPolicy(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "policy")
}

var _ = Describe("a set of mechanisms", func() {
	It("has a name for each mechanism, and no other names", func() {
		none, err := policy.All.Without(policy.Names()...)
		Expect(err).NotTo(HaveOccurred())
		Expect(none).To(BeZero())
	})

	It("lists the mechanisms that are off", func() {
		set, err := policy.All.Without("shedding", "busy-backoff")
		Expect(err).NotTo(HaveOccurred())
		Expect(set.Off()).To(Equal([]string{"busy-backoff", "shedding"}))
		Expect(set.Has(policy.Shedding)).To(BeFalse())
		Expect(set.Has(policy.InTimeFirst)).To(BeTrue())
	})

	It("reports the present name of a renamed mechanism", func() {
		_, err := policy.All.Without("window-by-strain")
		Expect(err).To(MatchError(ContainSubstring(`"window-by-aim-share"`)))
	})

	It("rejects an unknown name", func() {
		_, err := policy.All.Without("magic")
		Expect(err).To(MatchError(ContainSubstring(`unknown mechanism "magic"`)))
	})
})
