package proxy

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/platform/standin"
)

var _ = Describe("members that repeat answers and refuse or lose others", func() {
	// refuseBegins refuses one beginning of a transaction in three.
	refuseBegins := func(random *rand.Rand, id, text string) string {
		if id != "-" || !strings.HasSuffix(text, "BEGIN") || random.IntN(3) > 0 {
			return ""
		}
		return "BUSY"
	}

	// Guards against a write of a transaction that runs by itself, because the member had refused to begin the
	// transaction.
	It("keep no write whose commit was not sent", func() {
		f := newFleet(1)
		f.useHomes(f.daemons[0])
		x := f.daemons[0].dial("db-primary")
		x.queryUntilServed("WRITE k 1")
		repeats{answer: drawnRepeat, refusal: refuseBegins}.apply(f, 1)
		for _, m := range f.group.Members() {
			m.SetProxyStatementDelay(3 * time.Millisecond)
		}
		var kept []string
		for n := range 150 {
			x.query("BEGIN")
			a := x.query(fmt.Sprintf("WRITE k%d %d", n, n))
			x.query("ROLLBACK")
			if slices.ContainsFunc(f.group.Commits(), func(c standin.Commit) bool { return c.ID == a.id }) {
				kept = append(kept, a.id+": "+a.result)
			}
		}
		Expect(kept).To(BeEmpty())
	})

	// Guards against a write that runs twice, because the answer to its first run was lost and an older refusal
	// was given again.
	It("run no write twice", func() {
		f := newFleet(1)
		f.useHomes(f.daemons[0])
		x := f.daemons[0].dial("db-primary")
		x.queryUntilServed("WRITE k 1")
		var refuses atomic.Bool
		repeatLate := func(_ *rand.Rand, id, _, answer string) standin.Repeat {
			if id != "-" && strings.HasPrefix(answer, "ERROR") {
				return standin.RepeatLate
			}
			return standin.NoRepeat
		}
		repeats{repeatLate, func(_ *rand.Rand, id, _ string) string {
			if id == "-" || !refuses.Load() {
				return ""
			}
			return "BUSY"
		}}.apply(f, 1)
		for n := range 5 {
			refuses.Store(true)
			x.query(fmt.Sprintf("WRITE k%d 0", n))
			refuses.Store(false)
			for _, m := range f.group.Members() {
				m.DropAnswers(1)
			}
			a := x.query(fmt.Sprintf("WRITE k%d 1", n))
			Expect(f.checkAnswer(a)).To(BeEmpty())
			commits := slices.DeleteFunc(slices.Clone(f.group.Commits()), func(c standin.Commit) bool { return c.ID != a.id })
			Expect(len(commits)).To(BeNumerically("<=", 1), "%s got %q", a.id, a.result)
		}
	})
})
