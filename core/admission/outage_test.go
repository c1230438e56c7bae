package admission_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core/admission"
)

var _ = Describe("an outage", func() {
	// A group has had no primary for seconds, and no recovery is in progress. Guards against
	// callers that wait for most of their statement's time, on each of three attempts, for a
	// rejection that they could have had at once.
	It("is not waited for once it has lasted more than three times the wait", func() {
		wait := 680 * time.Millisecond
		Expect(admission.OutageExceedsWait(2*time.Second, wait)).To(BeFalse())
		Expect(admission.OutageExceedsWait(2100*time.Millisecond, wait)).To(BeTrue())
		Expect(admission.OutageExceedsWait(0, wait)).To(BeFalse(), "there is no outage")
	})

	It("makes callers retry later the longer it lasts, and not all at once", func() {
		Expect(admission.RetryAfter(0, 0)).To(Equal(200 * time.Millisecond))
		Expect(admission.RetryAfter(4*time.Second, 0)).To(Equal(2 * time.Second))
		Expect(admission.RetryAfter(4*time.Second, 0.5)).To(Equal(2500 * time.Millisecond))
		Expect(admission.RetryAfter(time.Hour, 0)).To(Equal(5 * time.Second))
	})
})
