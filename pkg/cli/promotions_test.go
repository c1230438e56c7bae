package cli_test

import (
	"encoding/json"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/pkg/explore/promotions"
)

var _ = Describe("promotions", func() {
	It("reports its runs, and fails when a promise is broken", func() {
		t := newTerminal()
		var report promotions.Report
		Expect(json.Unmarshal([]byte(t.ok("promotions", "--runs", "2", "--json")), &report)).To(Succeed())
		Expect(report.Runs).To(Equal(2))
		r := t.fails(1, "promotions", "--runs", "1", "--switch-off", "session-position")
		Expect(r.stdout).To(ContainSubstring("seed 1 at"))
	})

	It("refuses a guard that it does not know, and names those it does", func() {
		r := newTerminal().fails(2, "promotions", "--switch-off", "nonsense")
		Expect(r.stderr).To(ContainSubstring(`unknown guard "nonsense"; known are`))
	})

	// An operator's script of before a change of words calls the subcommand by its old name.
	It("is named to whoever uses its old name", func() {
		r := newTerminal().fails(2, "reigns", "--runs", "2")
		Expect(r.stderr).To(ContainSubstring(`subcommand "reigns" is called "promotions" now`))
	})
})
