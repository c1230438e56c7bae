package proxy

// Kinds of items in the store, for the log and the counters.
const (
	kindMember = "host list entry"
	kindDaemon = "entry of a daemon"
	kindRoster = "roster of the fleet"
	kindEra    = "settled era"
	kindLock   = "promotion lock"
	kindSlot   = "slot of teams"
)
