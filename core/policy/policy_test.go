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
	It("has a name for each, and only those", func() {
		none, err := policy.All.Without(policy.Names()...)
		Expect(err).NotTo(HaveOccurred())
		Expect(none).To(BeZero())
	})

	It("says what is off", func() {
		set, err := policy.All.Without("shedding", "busy-backoff")
		Expect(err).NotTo(HaveOccurred())
		Expect(set.Off()).To(Equal([]string{"busy-backoff", "shedding"}))
		Expect(set.Has(policy.Shedding)).To(BeFalse())
		Expect(set.Has(policy.InTimeFirst)).To(BeTrue())
	})

	It("names the present name of one that has been renamed", func() {
		_, err := policy.All.Without("window-by-strain")
		Expect(err).To(MatchError(ContainSubstring(`"window-by-aim-share"`)))
	})

	It("refuses a name that it does not know", func() {
		_, err := policy.All.Without("magic")
		Expect(err).To(MatchError(ContainSubstring(`unknown mechanism "magic"`)))
	})
})
