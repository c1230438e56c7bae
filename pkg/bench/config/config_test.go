package config_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/pkg/bench/config"
)

func TestConfig(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "bench config")
}

var _ = Describe("Measure", func() {
	It("sees every daemon follow every change, cut off from the store or not", func() {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
		defer cancel()
		report, err := config.Measure(ctx, config.Options{Daemons: 4, Changes: 4, WatcherChanges: 1, Starts: 1, Progress: GinkgoWriter})
		Expect(err).NotTo(HaveOccurred())
		Expect(report.Missed).To(BeZero())
		Expect(report.Reverted).To(BeZero())
		Expect(report.StoreUp.Samples).To(Equal(16))
		Expect(report.CutOff.Samples + report.Others.Samples).To(Equal(16))
		Expect(report.Watchers).To(BeNumerically(">", 0))
		Expect(report.WatchersCutOff.Samples).To(Equal(4))
		Expect(report.FreshMs).To(HaveLen(1))
		Expect(report.StoreWritesPerChange).To(BeNumerically(">=", 1))
	})

	It("refuses a fleet that would be cut off as a whole", func() {
		_, err := config.Measure(context.Background(), config.Options{Daemons: 3})
		Expect(err).To(HaveOccurred())
	})
})
