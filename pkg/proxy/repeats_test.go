package proxy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/platform/standin"
)

// repeats is which answers of members are repeated, and which statements they refuse.
type repeats struct {
	answer  func(random *rand.Rand, id, text, answer string) standin.Repeat
	refusal func(random *rand.Rand, id, text string) string
}

// drawnRepeat repeats one answer in four, in any way.
func drawnRepeat(random *rand.Rand, _, _, _ string) standin.Repeat {
	if random.IntN(4) > 0 {
		return standin.NoRepeat
	}
	return []standin.Repeat{standin.RepeatAtOnce, standin.RepeatBeforeNext, standin.RepeatLate}[random.IntN(3)]
}

// repeatFor repeats each answer to a statement for which choose returns true.
func repeatFor(choose func(text, answer string) bool) func(*rand.Rand, string, string, string) standin.Repeat {
	return func(random *rand.Rand, _, text, answer string) standin.Repeat {
		if !choose(text, answer) {
			return standin.NoRepeat
		}
		return []standin.Repeat{standin.RepeatAtOnce, standin.RepeatBeforeNext, standin.RepeatLate}[random.IntN(3)]
	}
}

// refuseOneInFive refuses callers' reads and writes.
func refuseOneInFive(random *rand.Rand, id, _ string) string {
	if id == "-" || random.IntN(5) > 0 {
		return ""
	}
	return []string{"BUSY", "LAGGING"}[random.IntN(2)]
}

func isOrder(text, _ string) bool {
	return text == "STATUS" || strings.HasPrefix(text, "PAUSE") || strings.HasPrefix(text, "STEPDOWN") || text == "RESUME"
}

// apply makes all members of the fleet repeat and refuse.
func (r repeats) apply(f *fleet, seed uint64) {
	for i, m := range f.group.Members() {
		answers, refusals := rand.New(rand.NewPCG(seed, uint64(2*i))), rand.New(rand.NewPCG(seed, uint64(2*i+1)))
		m.RepeatAnswers(func(id, text, answer string) standin.Repeat { return r.answer(answers, id, text, answer) })
		if r.refusal != nil {
			m.RefuseWith(func(id, text string) string { return r.refusal(refusals, id, text) })
		}
	}
}

// checkAnswer returns what is wrong with an answer, "" if it is right: a success has the receipt and the rows of
// its own run, and a promise that nothing is kept is true.
func (f *fleet) checkAnswer(a answer) string {
	word, rest, _ := strings.Cut(a.result, " ")
	runs, _ := f.group.Runs()
	i := slices.IndexFunc(runs, func(r standin.Run) bool { return r.ID == a.id && (word == "ERROR" || r.Receipt == rest) })
	code, _, _ := strings.Cut(rest, " ")
	promised := slices.Contains([]string{"BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT"}, code)
	kept := slices.ContainsFunc(f.group.Commits(), func(c standin.Commit) bool { return c.ID == a.id })
	switch {
	case word == "ERROR" && promised && kept:
		return fmt.Sprintf("%s was told %q, and its write is kept", a.id, a.result)
	case word == "COMPLETE" && (i < 0 || !slices.Equal(runs[i].Rows, a.rows)):
		return fmt.Sprintf("%s got %q and rows %q, which no member gave for it", a.id, a.result, a.rows)
	}
	return ""
}

// playOperation runs a drawn operation and returns its answers from members.
func (x *caller) playOperation(random *rand.Rand, n int) (answers []answer) {
	statement := func() string {
		return []string{"READ k", fmt.Sprintf("WRITE k%d %d", n, n), fmt.Sprintf("EXECUTE w k%d %d", n, n), "EXECUTE r k"}[random.IntN(4)]
	}
	if random.IntN(3) == 0 {
		x.query(fmt.Sprintf("SET mode m%d", random.IntN(4)))
	}
	if random.IntN(2) == 0 {
		return []answer{x.query(statement())}
	}
	x.query("BEGIN")
	for range 1 + random.IntN(3) {
		a := x.query(statement())
		answers = append(answers, a)
		if a.state != "T" {
			x.query("ROLLBACK")
			return answers
		}
	}
	if random.IntN(4) == 0 {
		x.query("ROLLBACK")
		return answers
	}
	return append(answers, x.query("COMMIT"))
}

var _ = Describe("members that answer a statement twice", func() {
	// Guards against an answer that is taken for the answer to another statement.
	DescribeTable("never give a caller the answer to another statement",
		func(r repeats, daemons int) {
			f := newFleet(daemons)
			f.useHomes(f.daemons[0])
			d := f.daemons[daemons-1]
			sessions := []*caller{d.dial("db-primary"), d.dial("db-own"), d.dial("db-primary")}
			for _, x := range sessions {
				x.queryUntilServed("WRITE k 1")
				x.query("PREPARE w WRITE q1")
				x.query("PREPARE r READ q2")
			}
			r.apply(f, 1)
			random := rand.New(rand.NewPCG(1, 100))
			answered, served := 0, 0
			for n := range 200 {
				for _, a := range sessions[random.IntN(len(sessions))].playOperation(random, n) {
					Expect(f.checkAnswer(a)).To(BeEmpty())
					answered++
					if a.isServed() {
						served++
					}
				}
			}
			Expect(f.group.Checks().Violations).To(BeEmpty())
			Expect(served).To(BeNumerically(">", answered/2), "%d answers", answered)
			GinkgoWriter.Printf("%d of %d served, surplus %v, %v confirmed, %v unproved, %d connections opened\n", served, answered,
				&f.daemons[0].p.stats.answersSurplus, &f.daemons[0].p.stats.answersConfirmed, &f.daemons[0].p.stats.answersUnproved, f.daemons[0].p.stats.dials.Value())
		},
		Entry("any answers, at a home", repeats{answer: drawnRepeat}, 1),
		Entry("any answers, at an entry", repeats{answer: drawnRepeat}, 2),
		Entry("all refusals", repeats{repeatFor(func(_, answer string) bool { return strings.HasPrefix(answer, "ERROR") }), refuseOneInFive}, 1),
		Entry("any answers, and refusals", repeats{drawnRepeat, refuseOneInFive}, 1),
		Entry("all status rows", repeats{answer: repeatFor(isOrder)}, 1),
		Entry("all state changes", repeats{answer: repeatFor(func(text, _ string) bool {
			return strings.HasPrefix(text, "SET") || strings.HasPrefix(text, "PREPARE") || strings.HasPrefix(text, "DISCARD")
		})}, 1),
		Entry("nothing", repeats{answer: repeatFor(func(_, _ string) bool { return false })}, 1),
	)
})
