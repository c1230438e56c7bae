package proxy

import (
	"fmt"
	"runtime"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/platform"
)

// executed returns the definition of the prepared statement that ran for the answer.
func (f *fleet) executed(a answer) string {
	for _, m := range f.group.Members() {
		if definition := m.Executed(a.id); definition != "" {
			return definition
		}
	}
	return ""
}

var _ = Describe("a prepared statement", func() {
	// Guards against two shapes, or a read and a write of one shape, that share a name on a connection.
	It("runs the shape that its caller has prepared, whatever the shape contains", func() {
		f := newFleet(1)
		d := f.daemons[0]
		definitions := []string{
			"WRITE fees", "WRITE fees READ open", "READ fees", "READ open WRITE fees READ open", "WRITE fees by station", "WRITE fees  by station",
			"WRITE fees_by_station", "WRITE " + strings.Repeat("x", 2000), "WRITE " + strings.Repeat("x", 2001), "READ READ", "WRITE lw_fees",
		}
		var callers []*caller
		for range definitions {
			callers = append(callers, d.dial("db-primary"))
		}
		callers[0].queryUntilServed("WRITE k 1")
		for range 2 {
			for i, definition := range definitions {
				Expect(callers[i].query("PREPARE s1 " + definition).result).To(Equal("COMPLETE -"))
				a := callers[i].query("EXECUTE s1 k v")
				Expect(a.isServed()).To(BeTrue(), "%.60s: %s", definition, a.result)
				Expect(f.executed(a)).To(Equal(definition))
			}
		}
	})

	// Guards against a member and a process whose memory grows with each new shape for as long as a
	// connection lives.
	It("is dropped from a connection that has not used it for longest, and then prepared again", func() {
		f := newFleet(1)
		x := f.daemons[0].dial("db-primary")
		x.queryUntilServed("WRITE k 1")
		for round := range 2 {
			for i := range 300 {
				definition := fmt.Sprintf("WRITE shape-%d", i)
				Expect(x.query("PREPARE s1 " + definition).result).To(Equal("COMPLETE -"))
				a := x.query("EXECUTE s1 k v")
				Expect(a.isServed()).To(BeTrue(), "round %d, %s: %s", round, definition, a.result)
				Expect(f.executed(a)).To(Equal(definition))
			}
		}
		Expect(f.group.Primary().MaxPrepared()).To(BeNumerically("<", 300))
	})

	// Guards against a connection that fails each further use of a statement which its member does not
	// know any more.
	It("is prepared again on a connection whose member does not know it", func() {
		f := newFleet(1)
		x := f.daemons[0].dial("db-primary")
		x.queryUntilServed("WRITE k 1")
		x.query("PREPARE s1 WRITE fees")
		Expect(x.query("EXECUTE s1 k v").isServed()).To(BeTrue())
		for _, m := range f.group.Members() {
			m.ForgetPrepared()
		}
		a := x.query("EXECUTE s1 k v")
		Expect(a.isServed()).To(BeTrue(), a.result)
	})

	// Guards against a message that the member refuses as too long, because the name on the connection
	// is longer than the caller's.
	It("is refused at once if its arguments fill a message", func() {
		f := newFleet(1)
		x := f.daemons[0].dial("db-primary")
		x.queryUntilServed("WRITE k 1")
		x.query("PREPARE s WRITE fees")
		fill := func(size int) string { return "EXECUTE s k " + strings.Repeat("v", size) }
		Expect(x.query(fill(platform.MaxMessage - 60)).result).To(HavePrefix("ERROR TOOBIG"))
		Expect(x.query(fill(platform.MaxMessage - 200)).isServed()).To(BeTrue())
	})
})

var _ = Describe("the state of a forwarded session", func() {
	// The session state at the entry fits into the limits. Guards against a home that refuses a change
	// because it is applied before the change that makes room for it, and that runs the old shape.
	It("runs the new shape if statements are replaced up to the limit", func() {
		f := newFleet(2)
		home, entry := f.daemons[0], f.daemons[1]
		f.useHomes(home)
		for _, d := range f.daemons {
			Expect(d.p.SetSessionLimits(SessionLimits{Names: 2, Bytes: 2000})).To(Succeed())
		}
		for i := range 20 {
			x := entry.dial("db-primary")
			x.queryUntilServed("WRITE k 1")
			long := func(word string) string { return "WRITE " + word + " " + strings.Repeat("x", 1500) }
			x.query("PREPARE a WRITE old")
			x.query("PREPARE b " + long("b"))
			Expect(x.query("EXECUTE a k v").isServed()).To(BeTrue())
			if i%2 == 0 {
				Expect(x.query("DEALLOCATE b").result).To(Equal("COMPLETE -"))
			} else {
				Expect(x.query("PREPARE b WRITE short").result).To(Equal("COMPLETE -"))
			}
			Expect(x.query("PREPARE a " + long("new")).result).To(Equal("COMPLETE -"))
			a := x.query("EXECUTE a k v")
			Expect(a.isServed()).To(BeTrue(), "%s, and the member ran %.20q", a.result, f.executed(a))
			Expect(f.executed(a)).To(Equal(long("new")))
			_ = x.c.Close()
		}
	})
})

var _ = Describe("the memory of a session", func() {
	// Guards against a short value that keeps its whole message, up to 1 MiB, in memory.
	It("does not hold the messages that its state came from", func() {
		s := newSessionState()
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range 64 {
			line := fmt.Sprintf("QUERY %s SET name-%d value", strings.Repeat("q", platform.MaxMessage-100), i)
			msg, err := platform.ParseCaller(line)
			Expect(err).NotTo(HaveOccurred())
			Expect(s.set(msg.Statement.Name, msg.Statement.Argument, DefaultSessionLimits)).To(Succeed())
			line = fmt.Sprintf("QUERY %s PREPARE name-%d READ shape", strings.Repeat("q", platform.MaxMessage-100), i)
			msg, err = platform.ParseCaller(line)
			Expect(err).NotTo(HaveOccurred())
			Expect(s.prepare(msg.Statement.Name, preparedStatement{shape: msg.Statement.Argument}, DefaultSessionLimits)).To(Succeed())
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		Expect(int64(after.HeapAlloc) - int64(before.HeapAlloc)).To(BeNumerically("<", 8<<20))
		runtime.KeepAlive(s)
	})

	// Guards against log lines, spans and counters that hold a caller's or member's text of 1 MiB.
	It("is not taken by long texts in log lines and counters", func() {
		f := newFleet(1)
		d := f.daemons[0]
		x := d.dial("db-primary")
		x.queryUntilServed("WRITE k 1")
		f.group.Primary().DropAnswers(1)
		id := strings.Repeat("i", platform.MaxMessage/2)
		x.send("QUERY " + id + " WRITE k 2")
		Expect(x.line()).To(HavePrefix("ERROR INDOUBT"))
		Eventually(f.log.Contents, waitLimit).Should(ContainSubstring(id[:maxLoggedText] + "..."))
		Expect(string(f.log.Contents())).NotTo(ContainSubstring(id[:maxLoggedText+1]))
		for _, code := range []string{"NEW", id, platform.CodeBusy} {
			d.p.stats.countRefusal(code)
		}
		Expect(valuesOf(&d.p.stats.refusals)).To(And(HaveKeyWithValue("other", "2"), HaveKey(platform.CodeBusy), Not(HaveKey(id))))
	})
})
