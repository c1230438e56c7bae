package pgframe_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestPgframe(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "pgframe")
}
