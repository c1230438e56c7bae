package proxy

import (
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("a store that returns the changes of a watch in parts", func() {
	// Guards against proofs that never come while changes go on.
	It("proves the copy although each watch returns changes", func() {
		f := newFleet(1, withKeys)
		d := f.daemons[0]
		f.store.LimitWatches(1)
		x := d.openSession("db-primary", gatesKey)
		for end := time.Now().Add(2 * keyRevocationBound); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			Expect(f.store.Put("other/key", 1)).To(Succeed())
			Expect(x.query("READ k").result).NotTo(HavePrefix("ERROR"), strings.TrimSpace(f.logTail()))
		}
	})
})
