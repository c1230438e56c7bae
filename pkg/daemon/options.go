// Package daemon assembles one limpetspand: the callers' front, the entry, the
// homes, the connections between daemons, gossip, configuration and the
// operators' interface, and stops them in order. Several daemons may live in
// one process.
package daemon

import (
	"io"
	"os"

	"github.com/hashicorp/go-hclog"

	"limpetspan/core/group"
	"limpetspan/core/membership"
	"limpetspan/pkg/confstore"
	"limpetspan/pkg/front"
	"limpetspan/pkg/store"
)

// Options replace parts of a daemon; the zero value is that of production.
type Options struct {
	// Stdout takes spans and recorded events, Stderr the log; nil: those of
	// the process.
	Stdout, Stderr io.Writer
	// Logger replaces the logger that writes to Stderr.
	Logger hclog.Logger
	// Store replaces the client of the platform's store.
	Store store.Store
	// Users replace the users file; they are then not read again.
	Users *front.Users
	// Gossip and Config replace the timings of membership and configuration.
	Gossip membership.Settings
	Config confstore.Timing
	// Tuning replaces the reducers' tuning where settings have no key for it.
	Tuning group.Tuning
}

func (o Options) withDefaults() Options {
	if o.Stdout == nil {
		o.Stdout = os.Stdout
	}
	if o.Stderr == nil {
		o.Stderr = os.Stderr
	}
	return o
}

// Addrs are the addresses that a daemon is bound to.
type Addrs struct {
	Callers, Peers, Gossip, Operator string
}
