package embedded

import (
	"io"
	"time"

	"limpetspan/core"
	"limpetspan/core/group"
	"limpetspan/core/membership"
	"limpetspan/pkg/confstore"
	"limpetspan/standin/target"
)

// Place is where a daemon or member stands.
type Place struct {
	ID   string
	Zone core.Zone
}

// GroupOptions describes one database group.
type GroupOptions struct {
	ID      core.GroupID
	Members []Place
	Durable bool
	// Target holds the rest of the stand-in's options: slots, connections,
	// latency, connect cost, lag.
	Target target.Options
}

// Options describes a fleet.
type Options struct {
	Daemons []Place
	// Groups; the first is the default group.
	Groups []GroupOptions
	// User and Password of the callers; Database is the name they give.
	User, Password, Database string
	// Log takes the daemons' JSON log lines; nil: dropped. LogLevel is an
	// hclog level; empty: "info".
	Log      io.Writer
	LogLevel string
	// StoreLinks gives each daemon a path to the store that can be cut.
	StoreLinks bool
	// Tuning, Gossip and Config replace the daemons' own timings.
	Tuning group.Tuning
	Gossip membership.Settings
	Config confstore.Timing
}

// targetUser is the user towards the stand-in targets, which ask for no password.
const targetUser = "limpetspan"

// Times of the brief.
const (
	// KitacycleLatency and AuctionLatency are one way between zones.
	KitacycleLatency = time.Millisecond
	AuctionLatency   = 500 * time.Microsecond
)

// Kitacycle is the first users' fleet: parkdb with 3 slots and 20 connections.
// latency is added one way between daemons and targets.
func Kitacycle(latency time.Duration) Options {
	zones := []core.Zone{"sapporo-hall", "asahikawa", "hakodate"}
	return fleetOf("parkdb-1", zones, target.Options{Slots: 3, MaxConnections: 20,
		ConnectCost: target.DefaultConnectCost, Latency: latency, Seed: 1})
}

// AuctionRing is the second users' fleet: ring-ledger with 2 slots and 30 connections.
func AuctionRing(latency time.Duration) Options {
	zones := []core.Zone{"ring-hall", "weigh-shed", "ring-office"}
	return fleetOf("ring-ledger-1", zones, target.Options{Slots: 2, MaxConnections: 30,
		ConnectCost: target.DefaultConnectCost, Latency: latency, Seed: 1})
}

func fleetOf(id core.GroupID, zones []core.Zone, t target.Options) Options {
	o := Options{User: "rider", Password: "demo", Database: "park"}
	g := GroupOptions{ID: id, Durable: true, Target: t}
	for i, zone := range zones {
		o.Daemons = append(o.Daemons, Place{ID: "d" + string(rune('1'+i)), Zone: zone})
		g.Members = append(g.Members, Place{ID: "m" + string(rune('1'+i)), Zone: zone})
	}
	o.Groups = []GroupOptions{g}
	return o
}
