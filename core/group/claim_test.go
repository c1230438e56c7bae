package group

import (
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
)

var _ = ginkgo.Describe("claiming a group", func() {
	ginkgo.It("makes exactly one daemon the home and serves", func() {
		n := newNet(3)
		n.run(2 * time.Second)
		Expect(n.home("A").isHome()).To(BeTrue())
		Expect(n.home("B").isHome()).To(BeFalse())
		w := n.home("A").write()
		n.run(10 * ms)
		Expect(n.home("A").acks).To(HaveKey(w))
		read := n.home("A").read("s")
		n.run(30 * ms)
		Expect(n.home("A").acks).To(HaveKey(read))
		r := n.home("B").write()
		Expect(n.home("B").last[r].Hint).To(Equal(core.DaemonID("A")))
	})
})
