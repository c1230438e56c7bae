package capacity_test

import (
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/pkg/bench/capacity"
)

const docs = "../../../docs"

func load(files map[string]string) (*capacity.Measurements, error) {
	dir := GinkgoT().TempDir()
	for name, text := range files {
		Expect(os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600)).To(Succeed())
	}
	return capacity.Load(dir)
}

var _ = Describe("Render", func() {
	It("gives the committed page from the committed measurements", func() {
		m, err := capacity.Load(filepath.Join(docs, "measurements"))
		Expect(err).NotTo(HaveOccurred())
		page, err := os.ReadFile(filepath.Join(docs, "CAPACITY.md"))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(page) == capacity.Render(m)).To(BeTrue(), "docs/CAPACITY.md has drifted; run %s", capacity.Command)
	})

	It("says what is not measured", func() {
		m, err := load(nil)
		Expect(err).NotTo(HaveOccurred())
		page := capacity.Render(m)
		Expect(page).To(ContainSubstring("| failover.json | not measured | - |"))
		Expect(page).To(ContainSubstring("| primary change over | 18 s | not measured | not measured |"))
		Expect(page).To(ContainSubstring("| memory, all control | 32 MB | not measured |"))
	})

	It("takes the worst of the values in a file and says pass and miss", func() {
		m, err := load(map[string]string{
			"failover.json": `{"command":"c","date":"d","runs":[{"gap_p99_ms":900},{"gap_p99_ms":19000}]}`,
			"config.json":   `{"command":"c","date":"d","p99_ms":800}`,
		})
		Expect(err).NotTo(HaveOccurred())
		page := capacity.Render(m)
		Expect(page).To(ContainSubstring("| primary change over | 18 s | 19 s | **miss** |"))
		Expect(page).To(ContainSubstring("| configuration from accepted to in force | 8 s | 0.8 s | pass |"))
	})

	It("refuses a measurement without command or date", func() {
		_, err := load(map[string]string{"idle.json": `{"bytes_per_connection":1}`})
		Expect(err).To(MatchError(ContainSubstring("idle.json")))
	})
})
