package proxy

import (
	"fmt"
	"runtime"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the state of one session", func() {
	// A caller sets ever new names. The daemon kept them all, some megabytes a second,
	// until the platform killed it and every other caller lost its session.
	It("is bounded, and what the session has stays", func() {
		d := newFleet(1).daemons[0]
		Expect(d.p.SetSessionLimits(SessionLimits{Names: 20, Bytes: 4000})).To(Succeed())
		x := d.dial("db-own")
		for i := range 20 {
			Expect(x.query(fmt.Sprintf("SET n%d v", i)).result).To(Equal("COMPLETE -"))
		}
		refused := x.query("SET one-more v")
		Expect(refused.result).To(HavePrefix("ERROR TOOBIG"))
		Expect(refused.result).To(ContainSubstring("20 values and prepared statements"))
		Expect(x.query("PREPARE p READ shape").result).To(HavePrefix("ERROR TOOBIG"))
		Expect(x.query("SET n1 other").result).To(Equal("COMPLETE -"), "a name that it has may change")
		Expect(x.query("SET n1 " + strings.Repeat("v", 5000)).result).To(ContainSubstring("may take 4000"))
		Expect(x.queryUntilServed("WRITE k 1").state).To(Equal("I"))
	})

	It("takes no more memory than its limit, whatever a caller tries", func() {
		s := newSessionState()
		l := DefaultSessionLimits
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range 20_000 {
			_ = s.set(fmt.Sprintf("name-%d", i), strings.Repeat("v", 1000), l)
			_ = s.prepare(fmt.Sprintf("name-%d", i), preparedStatement{shape: strings.Repeat("s", 1000)}, l)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		Expect(int64(after.HeapAlloc) - int64(before.HeapAlloc)).To(BeNumerically("<", 2*l.Bytes))
		Expect(len(s.values) + len(s.prepared)).To(BeNumerically("<=", l.Names))
	})

	It("is counted down when a prepared statement goes", func() {
		s := newSessionState()
		l := SessionLimits{Names: 1, Bytes: 100}
		Expect(s.prepare("a", preparedStatement{shape: "q"}, l)).To(Succeed())
		Expect(s.prepare("b", preparedStatement{shape: "q"}, l)).NotTo(Succeed())
		Expect(s.deallocate("a")).To(BeTrue())
		Expect(s.bytes).To(BeZero())
		Expect(s.prepare("b", preparedStatement{shape: "q"}, l)).To(Succeed())
	})
})
