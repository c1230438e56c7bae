package daemon

import (
	"context"

	"limpetspan/core"
	"limpetspan/pkg/fleet"
)

// KnownHome returns the home to which the daemon's entry sends the group's requests first.
func (d *Daemon) KnownHome(id core.GroupID) (fleet.Home, bool) { return d.gossip.Home(id) }

// Parts returns the functions that run the daemon's parts, by name.
func (d *Daemon) Parts() map[string]func(context.Context) error { return d.parts() }

// StopServing is the planned stop, without the end of the parts' context.
func (d *Daemon) StopServing() { d.stop() }

// Close closes what New opened, as the end of Run does.
func (d *Daemon) Close() { d.close() }
