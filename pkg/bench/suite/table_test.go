package suite

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestSuite(t *testing.T) {
	RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "bench suite")
}

var _ = ginkgo.Describe("table", func() {
	documentsOf := func(files map[string]string) documents {
		dir := ginkgo.GinkgoT().TempDir()
		for name, text := range files {
			Expect(os.WriteFile(filepath.Join(dir, name), []byte(text), 0o600)).To(Succeed())
		}
		d, err := load(dir)
		Expect(err).NotTo(HaveOccurred())
		return d
	}

	ginkgo.It("gives the ratio to the earlier run and says what misses its aim", func() {
		now := documentsOf(map[string]string{
			"reducer.json":  `{"date":"d","ns_per_event":500}`,
			"overhead.json": `{"cases":[{"throughput_ratio":0.9},{"throughput_ratio":0.3}]}`,
		})
		text := table(now, documentsOf(map[string]string{"reducer.json": `{"ns_per_event":250}`}), nil)
		Expect(text).To(ContainSubstring("| reducer | ns per event | 500 | at most 400, **missed** | 250 | 2 |"))
		Expect(text).To(ContainSubstring("| overhead | throughput ratio, 1 caller | 0.9 | at least 0.8 | - | - |"))
		Expect(text).To(ContainSubstring("| overhead | throughput ratio, 16 callers | 0.3 | at least 0.8, **missed** | - | - |"))
	})

	ginkgo.It("says what was not measured and what failed", func() {
		text := table(documents{}, documents{}, map[string]error{"idle": errors.New("no files")})
		Expect(text).To(ContainSubstring("idle **failed**: no files"))
		Expect(text).To(ContainSubstring("| idle | bytes per idle connection | not measured |"))
	})
})
