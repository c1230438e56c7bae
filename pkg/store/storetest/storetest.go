// Package storetest gives tests a store without sockets: the ordinary client
// over an in-process transport to the stand-in, so that the client's code is
// the one under test and no second implementation exists.
package storetest

import (
	"context"
	"time"

	"limpetspan/pkg/store"
	standin "limpetspan/standin/store"
)

// Fake is a stand-in service and a client of it.
type Fake struct {
	// Client is the store for the code under test.
	*store.Client
	// Server injects faults and counts calls.
	Server *standin.Server
	Hosts  *standin.HostList
	// Transport is Client's; SetDown makes connecting fail.
	Transport *Transport
}

// endpoint is never dialled.
const endpoint = "http://store.invalid"

// New returns an empty store on the system's clock.
func New() *Fake { return NewWithClock(standin.SystemClock{}) }

// NewWithClock returns an empty store whose leases run by the clock.
func NewWithClock(c standin.Clock) *Fake {
	engine := standin.NewEngine(c)
	f := &Fake{Server: standin.NewServer(engine), Hosts: standin.NewHostList(engine)}
	f.Transport = NewTransport(f.Server)
	f.Client = f.NewClient(store.Options{Transport: f.Transport})
	return f
}

// NewClient returns another client of the same store, as another daemon has,
// with a transport of its own unless one is given.
func (f *Fake) NewClient(o store.Options) *store.Client {
	o.Endpoints = []string{endpoint}
	if o.Transport == nil {
		o.Transport = NewTransport(f.Server)
	}
	c, err := store.NewClient(o)
	if err != nil {
		panic(err)
	}
	return c
}

// MustPut sets a key whatever its revision.
func (f *Fake) MustPut(key string, value []byte) {
	if _, err := f.Server.Engine().Put(standin.Put{Key: key, Value: value}); err != nil {
		panic(err)
	}
}

// MustGet reads a key past all faults; nil if there is none.
func (f *Fake) MustGet(key string) []byte {
	r, _, err := f.Server.Engine().Range(standin.Range{KeyRange: standin.KeyRange{Key: key}})
	if err != nil {
		panic(err)
	}
	if len(r.Keys) == 0 {
		return nil
	}
	return r.Keys[0].Value
}

// Advance moves a manual clock; the lease timers run before it returns.
func (f *Fake) Advance(d time.Duration) {
	f.Server.Engine().Clock().(*standin.ManualClock).Advance(d)
}

// Context returns a context that ends after a generous bound for one test step.
func Context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), 30*time.Second)
}
