package config

import (
	"errors"
	"io"
)

// Defaults of Options.
const (
	DefaultDaemons = 8
	DefaultChanges = 200
	DefaultStarts  = 5
	// DefaultWatcherChanges are few, as each takes up to some seconds.
	DefaultWatcherChanges = 20
)

// cutDaemons is how many daemons are cut off from the store at a time.
const cutDaemons = 3

// Options of a measurement.
type Options struct {
	// Daemons of the fleet; Changes with the store up and again with some
	// daemons cut off from it; WatcherChanges with all watchers cut off;
	// Starts of a new daemon while the store is down. Zero: the defaults.
	Daemons, Changes, WatcherChanges, Starts int
	// Command is noted in the report.
	Command string
	// Progress takes a line for each part, Log the daemons' log; nil: none.
	Progress, Log io.Writer
}

func (o *Options) complete() error {
	for _, field := range []struct {
		value    *int
		standard int
	}{{&o.Daemons, DefaultDaemons}, {&o.Changes, DefaultChanges}, {&o.WatcherChanges, DefaultWatcherChanges}, {&o.Starts, DefaultStarts}} {
		if *field.value <= 0 {
			*field.value = field.standard
		}
	}
	if o.Changes < turns {
		return errors.New("too few changes: each choice of daemons that are cut off needs one")
	}
	if o.Daemons <= cutDaemons {
		return errors.New("more daemons are needed than are cut off at a time")
	}
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	return nil
}
