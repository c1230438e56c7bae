package cli_test

import (
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("report", func() {
	It("sums a run's record up as a table and a plot", func() {
		dir := GinkgoT().TempDir()
		name, plot := filepath.Join(dir, "record.jsonl"), filepath.Join(dir, "run.svg")
		Expect(os.WriteFile(name, []byte(`{"kind":"statement","at_us":500000,"took_us":2000,"outcome":"served"}
{"kind":"fault","at_us":1000000,"text":"primary silent"}
`), 0o600)).To(Succeed())
		out := newTerminal().ok("report", "--plot", plot, name)
		Expect(out).To(MatchRegexp(`0\.00 +1 +0 +0 +2\.0 +2\.0`))
		Expect(out).To(MatchRegexp(`1\.00 .*primary silent`))
		Expect(out).To(ContainSubstring("longest time without a served write: 500ms, up to 0.50 s"))
		Expect(plot).To(BeAnExistingFile())
	})

	It("says which file and line it cannot read", func() {
		name := tempFile("nonsense\n")
		Expect(newTerminal().fails(2, "report", name).stderr).To(ContainSubstring(name + ": line 1: "))
		Expect(newTerminal().fails(2, "report", name+".missing").stderr).To(ContainSubstring("no such file"))
	})
})
