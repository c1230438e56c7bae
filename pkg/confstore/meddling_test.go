package confstore_test

import (
	"context"

	"limpetspan/pkg/store"
	"limpetspan/pkg/store/storetest"
)

// meddlingStore calls afterLost when an answer to a swap was lost, before the
// code under test hears of it.
type meddlingStore struct {
	*storetest.Fake
	afterLost func()
}

func (m *meddlingStore) CompareAndSwap(ctx context.Context, swaps ...store.Swap) (store.SwapResult, error) {
	result, err := m.Fake.CompareAndSwap(ctx, swaps...)
	if err != nil {
		m.afterLost()
	}
	return result, err
}
