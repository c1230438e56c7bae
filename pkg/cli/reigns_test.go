package cli_test

import (
	"encoding/json"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/pkg/explore/reigns"
)

var _ = Describe("reigns", func() {
	It("reports its runs, and fails when a promise is broken", func() {
		t := newTerminal()
		var report reigns.Report
		Expect(json.Unmarshal([]byte(t.ok("reigns", "--runs", "2", "--json")), &report)).To(Succeed())
		Expect(report.Runs).To(Equal(2))
		r := t.fails(1, "reigns", "--runs", "1", "--switch-off", "session-position")
		Expect(r.stdout).To(ContainSubstring("seed 1 at"))
	})

	It("refuses a guard that it does not know, and names those it does", func() {
		r := newTerminal().fails(2, "reigns", "--switch-off", "nonsense")
		Expect(r.stderr).To(ContainSubstring(`unknown guard "nonsense"; known are`))
	})
})
