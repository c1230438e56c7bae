package proxy

import (
	"encoding/json"
	"fmt"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("an odd part of the configuration", func() {
	// Guards against one route that keeps a new database and all later versions from being served.
	It("is left out, and the other parts and later versions take effect", func() {
		f := newFleet(2)
		f.version += 2
		good, err := json.Marshal(routeTo("db-new", "ledger"))
		Expect(err).NotTo(HaveOccurred())
		f.store.PutBytes("op/config", fmt.Appendf(nil,
			`{"version":%d,"limits":{"tx_idle_ms":1e400},"routes":[{"host":"db-odd","service":"ledger","type":"primary","timeout_ms":1e400},%s,7],"services":[{"name":"ledger","max_conns":22},{"name":"odd","max_conns":-1}]}`, f.version, good))
		f.awaitConfiguration(f.daemons)
		x := f.daemons[0].dial("db-new")
		x.queryUntilServed("WRITE k 1")
		f.store.PutBytes("op/config", []byte(deeplyNested))
		Eventually(func() string { return string(f.log.Contents()) }, waitLimit).Should(ContainSubstring("configuration cannot be parsed"))
		x.queryUntilServed("WRITE k 2")
		f.configure("db-own")
		f.awaitConfiguration(f.daemons)
	})
})
