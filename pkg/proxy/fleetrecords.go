package proxy

// Kinds of items in the store, for the log and the counters.
const (
	kindMember        = "host list entry"
	kindDaemon        = "entry of a daemon"
	kindRoster        = "roster of the fleet"
	kindEra           = "settled era"
	kindLock          = "promotion lock"
	kindSlot          = "slot of teams"
	kindConfiguration = "configuration"
	// kindConfigurationPart is a route, service, team or limit.
	kindConfigurationPart = "part of the configuration"
)
