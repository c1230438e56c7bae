package stmtcache_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core/stmtcache"
)

func TestStmtcache(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "stmtcache")
}

var _ = Describe("the prepared statements of a connection", func() {
	It("are prepared once, and again after they were dropped or forgotten", func() {
		c := stmtcache.New(stmtcache.Limits{Statements: 2, Bytes: 100})
		use := func(name string, size int) string {
			dropped, prepare := c.Use(name, size)
			return fmt.Sprint(dropped, prepare)
		}
		Expect(use("a", 10)).To(Equal("[] true"))
		Expect(use("b", 10)).To(Equal("[] true"))
		Expect(use("a", 10)).To(Equal("[] false"))
		Expect(use("c", 10)).To(Equal("[b] true"), "b was not used for longest")
		Expect(use("d", 85)).To(Equal("[a] true"))
		Expect(use("e", 20)).To(Equal("[c d] true"), "the texts of d and e exceed the limit together")
		c.Forget("e")
		Expect(use("e", 20)).To(Equal("[] true"))
		c.Clear()
		Expect(use("f", 100)).To(Equal("[] true"))
		Expect(use("f", 100)).To(Equal("[] false"))
	})

	// Guards against a connection that holds more than its limits, or of which statements are lost
	// from the count.
	It("stay within the limits, and the member holds the same ones", func() {
		limits := stmtcache.Limits{Statements: 8, Bytes: 1000}
		c := stmtcache.New(limits)
		member := make(map[string]int)
		for i := range 5000 {
			name, size := fmt.Sprint(i*i%37), 1+i*i%37*7
			dropped, prepare := c.Use(name, size)
			for _, d := range dropped {
				Expect(member).To(HaveKey(d))
				delete(member, d)
			}
			_, held := member[name]
			Expect(prepare).To(Equal(!held))
			member[name] = size
			total := 0
			for _, s := range member {
				total += s
			}
			Expect(total).To(BeNumerically("<=", limits.Bytes))
			Expect(len(member)).To(And(BeNumerically("<=", limits.Statements), Equal(c.Len())))
		}
	})

	It("may be a single one that exceeds the limit of bytes", func() {
		c := stmtcache.New(stmtcache.Limits{Statements: 0, Bytes: 10})
		_, prepare := c.Use("a", 500)
		Expect(prepare).To(BeTrue())
		_, prepare = c.Use("a", 500)
		Expect(prepare).To(BeFalse())
	})
})
