package confstore_test

import (
	"context"

	"limpetspan/pkg/store"
	"limpetspan/pkg/store/storetest"
)

// interceptingStore calls afterLost when an answer to a swap was lost, before the
// code under test hears of it.
type interceptingStore struct {
	*storetest.Fake
	afterLost func()
}

func (m *interceptingStore) CompareAndSwap(ctx context.Context, swaps ...store.Swap) (store.SwapResult, error) {
	result, err := m.Fake.CompareAndSwap(ctx, swaps...)
	if err != nil {
		m.afterLost()
	}
	return result, err
}
