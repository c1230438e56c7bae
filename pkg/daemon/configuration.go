package daemon

import "limpetspan/core/config"

// Configuration is the document in force here. It must not be changed.
func (d *Daemon) Configuration() *config.Document { return d.follower.Current() }
