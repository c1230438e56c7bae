package demo_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/pkg/demo"
)

func TestDemo(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "demo")
}

var _ = Describe("the demo", func() {
	It("keeps its promises over a failover and a configuration change", func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		result, err := demo.Run(ctx, demo.Options{Progress: GinkgoWriter, Log: GinkgoWriter, Phase: time.Second, Callers: 6})
		Expect(err).NotTo(HaveOccurred())
		Expect(result.Failed).To(BeEmpty())
		Expect(result.Demo).To(Equal("ok"))
		Expect(result.Writes).To(BeNumerically(">", 0))
		Expect(result.FailoverGapMS).To(BeNumerically(">", 0))
	})
})
