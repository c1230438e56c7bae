package target_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/tests/knownred"
)

func TestTarget(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "target")
}

var _ = BeforeEach(func() {
	line, err := knownred.Line(CurrentSpecReport().FullText())
	Expect(err).NotTo(HaveOccurred())
	if line != "" {
		Skip("known to fail: " + line)
	}
})
