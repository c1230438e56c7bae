package takeover_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestTakeover(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "takeover")
}
