package proxy

import (
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

// logsUnreadable waits until the fleet has logged an item of the kind that it cannot read.
func (f *fleet) logsUnreadable(kind string) {
	GinkgoHelper()
	Eventually(func() string { return string(f.log.Contents()) }, waitLimit).Should(ContainSubstring(kind + " cannot be read"))
}

// deeplyNested is a value that exceeds every decoder's depth.
var deeplyNested = strings.Repeat("[", 100_000)
