package proxy

import (
	"errors"
	"fmt"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/platform"
)

var _ = Describe("an item of the store that cannot be decoded", func() {
	// Guards against a log that an item fills which is written again and again, or thousands of items do.
	It("is counted, and logged once for each revision and at a limited rate", func() {
		log := &logBuffer{}
		p := New(platform.Settings{Daemon: "d"}, log)
		odd := platform.Item{Key: "servers/\x1b[2J" + strings.Repeat("x", 300), Revision: 1}
		for range 100 {
			p.unreadable.report(kindMember, odd, errors.New(strings.Repeat("long", 100)))
		}
		Eventually(func() int { return log.count("host list entry cannot be read") }, waitLimit).Should(Equal(1))
		Expect(log.count("\x1b")).To(BeZero())
		for n := range 5_000 {
			p.unreadable.report(kindMember, platform.Item{Key: fmt.Sprint("servers/", n), Revision: 2}, errors.New("odd"))
		}
		Expect(p.unreadable.counts.Get(kindMember).String()).To(Equal("5001"))
		Expect(len(p.unreadable.reported)).To(BeNumerically("<=", maxUnreadableKeys))
		Consistently(func() int { return log.count("cannot be read") }).Should(BeNumerically("<", 100))
	})
})
