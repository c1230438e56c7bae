package soak

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/platform/standin"
)

// at returns a time of a made-up history.
func at(ms int) time.Time { return time.Unix(1000, 0).Add(time.Duration(ms) * time.Millisecond) }

// soundHistory returns a history that breaks no rule: a write, a read of it, and a prepared write in a
// transaction.
func soundHistory() *history {
	values := map[string]string{"who": "c0"}
	done := func(id, text, end string, began int, rows ...string) exchange {
		return exchange{id: id, text: text, database: primaryDatabase, values: values, sent: at(began), began: at(began), answered: at(began + 2),
			ok: true, end: end, rows: rows, state: 'I'}
	}
	prepared := done("c0.6", "EXECUTE p1 tx-c0 two", "COMPLETE r.i-1.3.c0.6", 20)
	prepared.definition, prepared.inTransaction = "WRITE q\n2", true
	commit := done("c0.7", "COMMIT", "COMPLETE r.i-1.4.c0.7", 24)
	commit.inTransaction = true
	run := func(id, text string, receipt string, number uint64, rows ...string) standin.Run {
		return standin.Run{Member: "i-1", ID: id, Text: text, Values: map[string]string{"who": "c0"}, Receipt: receipt, Rows: rows, Term: 1, Number: number}
	}
	execute := run("c0.6", "EXECUTE lHash tx-c0 two", "r.i-1.3.c0.6", 1)
	execute.Definition, execute.InTransaction = "WRITE q\n2", true
	commitRun := run("c0.7", "COMMIT", "r.i-1.4.c0.7", 1)
	commitRun.InTransaction = true
	first, second := standin.Commit{ID: "c0.2", Item: "key-c0", Data: "one", Member: "i-1", Term: 1, Number: 1}, standin.Commit{ID: "c0.6", Item: "tx-c0", Data: "two", Member: "i-1", Term: 1, Number: 2}
	return &history{
		exchanges: []exchange{
			done("c0.1", "SET who c0", "COMPLETE -", 0),
			done("c0.2", "WRITE key-c0 one", "COMPLETE r.i-1.1.c0.2", 4),
			done("c0.3", "READ key-c0", "COMPLETE r.i-1.2.c0.3", 10, "one"),
			done("c0.4", "PREPARE p1 WRITE q\n2", "COMPLETE -", 14),
			done("c0.5", "BEGIN", "COMPLETE -", 18), prepared,
			commit,
			done("c0.8", "READ tx-c0", "ERROR BUSY i-1", 28),
		},
		writes: []write{{"c0.2", "one", acknowledged, at(6)}, {"c0.6", "two", acknowledged, at(26)}, {"c0.9", "three", notRun, at(30)}},
		runs: []standin.Run{run("c0.2", "WRITE key-c0 one", "r.i-1.1.c0.2", 0), run("c0.3", "READ key-c0", "r.i-1.2.c0.3", 1, "one"),
			execute, commitRun},
		commits:    []standin.TimedCommit{{Commit: first, At: at(5)}, {Commit: second, At: at(25)}},
		log:        []standin.Commit{first, second},
		termStarts: map[uint64]time.Time{1: at(0)},
		orders:     []standin.PromoteRequest{{Member: "i-2", Holder: "edge-1", Token: 3}, {Member: "i-2", Holder: "edge-1", Token: 3}, {Member: "i-3", Holder: "edge-2", Token: 4}},
	}
}

var _ = Describe("the checks of a soak", func() {
	It("accept a sound history", func() {
		Expect(soundHistory().violations()).To(BeEmpty())
	})

	DescribeTable("report a broken history", func(rule string, corrupt func(h *history)) {
		h := soundHistory()
		corrupt(h)
		Expect(h.violations()).To(ContainElement(WithTransform(func(v violation) string { return v.rule }, Equal(rule))))
	},
		Entry("a receipt that no member gave", mixed, func(h *history) { h.exchanges[2].end = "COMPLETE r0" }),
		Entry("a success without a receipt", mixed, func(h *history) { h.exchanges[1].end = "COMPLETE -" }),
		Entry("the receipt of an earlier statement", mixed, func(h *history) { h.exchanges[2].end = h.exchanges[1].end }),
		Entry("a receipt with another number", mixed, func(h *history) {
			h.exchanges[6].end = "COMPLETE r.i-1.9.c0.7"
		}),
		Entry("other rows", mixed, func(h *history) { h.exchanges[2].rows = []string{"on"} }),
		Entry("a missing row", mixed, func(h *history) { h.exchanges[2].rows = nil }),
		Entry("a row for a write", mixed, func(h *history) { h.exchanges[1].rows = []string{"one"} }),
		Entry("a success of a run that failed", mixed, func(h *history) { h.runs[1].Receipt = "" }),
		Entry("a run that no caller sent", unasked, func(h *history) { h.runs[1].ID = "x.1" }),
		Entry("a text that was cut", unasked, func(h *history) { h.runs[0].Text = "WRITE key-c0 on" }),
		Entry("other arguments of a prepared statement", unasked, func(h *history) { h.runs[2].Text = "EXECUTE lHash tx-c0 tw" }),
		Entry("a commit that was not asked for", unasked, func(h *history) { h.runs[3].ID = "c0.8" }),
		Entry("a write that took effect with other data", unasked, func(h *history) { h.commits[0].Data = "on" }),
		Entry("a missing value", pinned, func(h *history) { h.runs[1].Values = nil }),
		Entry("another value", pinned, func(h *history) { h.runs[1].Values["who"] = "c1" }),
		Entry("a value too many", pinned, func(h *history) { h.runs[1].Values["v"] = "1" }),
		Entry("a statement inside a transaction of another session", pinned, func(h *history) { h.runs[0].InTransaction = true }),
		Entry("a statement outside its transaction", pinned, func(h *history) { h.runs[2].InTransaction = false }),
		Entry("another shape", pinned, func(h *history) { h.runs[2].Definition = "WRITE q" }),
		Entry("a prepared statement that is unknown", pinned, func(h *history) { h.exchanges[5].end = "ERROR NOSUCHSTMT p1" }),
		Entry("a refused write that took effect", refused, func(h *history) { h.writes[0].verdict = notRun }),
		Entry("a write that took effect twice", twice, func(h *history) { h.commits = append(h.commits, h.commits[0]) }),
		Entry("an acknowledged write that is lost", lost, func(h *history) { h.commits = h.commits[1:] }),
		Entry("a write acknowledged by a replaced primary", one, func(h *history) { h.termStarts[2] = at(4) }),
		Entry("a read on a log that lacks an acknowledged write", stale, func(h *history) { h.runs[1].Number = 0 }),
		Entry("a read on the log of an earlier term", stale, func(h *history) {
			h.commits[0].Term, h.log[0].Term, h.runs[1].Number = 2, 2, 5
		}),
		Entry("a fence that falls", one, func(h *history) { h.orders[2].Token = 2 }),
		Entry("a fence of two holders", one, func(h *history) { h.orders[2].Token = 3 }),
		Entry("a violation that a member reports", atMember, func(h *history) { h.members = []string{"statement"} }),
	)

	It("accept a read that began before the write was acknowledged, and a write that a promotion rolled back", func() {
		h := soundHistory()
		h.runs[1].Number, h.exchanges[2].began = 0, at(6)
		Expect(h.stale()).To(BeEmpty())
		h = soundHistory()
		h.runs[1].Number, h.log = 0, h.log[1:]
		Expect(h.stale()).To(BeEmpty())
	})
})
