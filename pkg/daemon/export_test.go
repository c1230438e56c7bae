package daemon

import (
	"limpetspan/core"
	"limpetspan/pkg/fleet"
)

// KnownHome returns the home to which the daemon's entry sends the group's requests first.
func (d *Daemon) KnownHome(id core.GroupID) (fleet.Home, bool) { return d.gossip.Home(id) }
