package proxy

import (
	"fmt"

	. "github.com/onsi/ginkgo/v2"

	"limpetspan/core/quota"
)

var _ = Describe("an odd slot of teams", func() {
	// Guards against a team that no daemon serves, because its slot's entry cannot be decoded or names a
	// holder that is not there.
	DescribeTable("is taken by the daemon that should hold it", func(key, value string) {
		f := newFleet(2, withLimits)
		f.awaitAllDiscovered()
		f.store.PutBytes(fmt.Sprintf(key, quota.SlotOf("bays")), []byte(value))
		f.daemons[0].openSession("db-primary", baysKey).queryUntilServed("READ k")
		f.logsUnreadable(kindSlot)
	},
		Entry("deep nesting", "limpetspan/limit/%d", deeplyNested),
		Entry("another holder, without a lease", "limpetspan/limit/%d", `{"daemon":"edge-77","boot":3}`),
		Entry("another spelling of the number", "limpetspan/limit/0%d", `{"daemon":"edge-77","boot":3}`),
	)
})
