package daemon

import (
	"expvar"
	"time"

	"limpetspan/pkg/store"
)

// published holds the metrics of each daemon of this process by its id.
var published = expvar.NewMap("limpetspan.daemon")

// publish shows the daemon's metrics until the returned function is called.
func publish(d *Daemon) func() {
	vars := new(expvar.Map).Init()
	vars.Set("front", d.front.Metrics())
	vars.Set("entry", d.entry.Metrics())
	vars.Set("gossip", expvar.Func(func() any { return d.gossip.Stats() }))
	vars.Set("peer_connections", expvar.Func(func() any { return d.peerClient.Connections() }))
	vars.Set("config_revision", expvar.Func(func() any { return d.follower.Current().Revision }))
	vars.Set("config_store_calls", expvar.Func(func() any {
		c := d.follower.Calls()
		return map[string]int64{"reads": c.Reads.Load(), "writes": c.Writes.Load(), "watches": c.Watches.Load()}
	}))
	vars.Set("config_unreadable", expvar.Func(func() any { return d.follower.Calls().Unreadable.Load() }))
	vars.Set("groups", expvar.Func(func() any { return d.homes.Snapshot() }))
	vars.Set("uptime_s", expvar.Func(func() any { return int64(time.Since(d.started).Seconds()) }))
	if client, ok := d.store.(*store.Client); ok {
		vars.Set("store", client.Metrics())
	}
	published.Set(string(d.id), vars)
	return func() { published.Delete(string(d.id)) }
}
