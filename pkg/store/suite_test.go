package store_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/pkg/store/storetest"
	standin "limpetspan/standin/store"
)

func TestStore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "store")
}

// startFake returns a store whose clock stands still, and a context that ends
// with the test.
func startFake() (context.Context, *storetest.Fake) {
	ctx, cancel := storetest.Context()
	DeferCleanup(cancel)
	return ctx, storetest.NewWithClock(standin.NewManualClock(time.Unix(1_000, 0)))
}
