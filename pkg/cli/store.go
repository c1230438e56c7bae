package cli

import "limpetspan/pkg/store"

// openStore connects to the store's HTTP endpoints.
func openStore(endpoints []string) (store.Store, error) {
	return store.NewClient(store.Options{Endpoints: endpoints})
}
