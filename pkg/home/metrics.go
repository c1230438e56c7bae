package home

import (
	"expvar"

	"limpetspan/core"
	"limpetspan/core/group"
)

// published holds the metrics of every shard of this process under
// "daemon/group". It is bounded by the groups that the daemons are candidates
// of: a shard takes its part away when it ends.
var published = expvar.NewMap("limpetspan.home")

var reasonNames = [...]string{
	group.ReasonNotHome:         "not_home",
	group.ReasonOverloaded:      "overloaded",
	group.ReasonDeadline:        "deadline",
	group.ReasonCancelled:       "cancelled",
	group.ReasonUnavailable:     "unavailable",
	group.ReasonConnectionLost:  "connection_lost",
	group.ReasonNotConfirmed:    "not_confirmed",
	group.ReasonWriteLost:       "write_lost",
	group.ReasonShuttingDown:    "shutting_down",
	group.ReasonReplaced:        "replaced",
	group.ReasonTransactionLost: "transaction_lost",
}

// metrics are the counters of one shard.
type metrics struct {
	name string
	// requests arrived, dispatched counts their tries at members.
	requests, dispatched expvar.Int
	failed               [len(reasonNames)]expvar.Int
	// open is the number of caller-work connections; dropped counts those that
	// were given up because their state was not known.
	open, dropped expvar.Int
	// outOfStep counts connections that ended because something came in place of an awaited answer.
	outOfStep           expvar.Int
	dials, dialFailures expvar.Int
	cancels             expvar.Int
	// onceRepeated counts requests whose must-not-repeat key had run.
	onceRepeated expvar.Int
	// onceRemoved counts keys that were removed after their retention.
	onceRemoved expvar.Int
}

func newMetrics(self core.DaemonID, id core.GroupID) *metrics {
	m := &metrics{name: string(self) + "/" + string(id)}
	vars := new(expvar.Map).Init()
	vars.Set("requests", &m.requests)
	vars.Set("dispatched", &m.dispatched)
	vars.Set("connections_open", &m.open)
	vars.Set("connections_dropped", &m.dropped)
	vars.Set("connections_out_of_step", &m.outOfStep)
	vars.Set("dials", &m.dials)
	vars.Set("dial_failures", &m.dialFailures)
	vars.Set("cancels", &m.cancels)
	vars.Set("once_repeated", &m.onceRepeated)
	vars.Set("once_removed", &m.onceRemoved)
	for i, name := range reasonNames {
		vars.Set("failed_"+name, &m.failed[i])
	}
	published.Set(m.name, vars)
	return m
}

func (m *metrics) fail(reason group.Reason) {
	if int(reason) < len(m.failed) {
		m.failed[reason].Add(1)
	}
}

func (m *metrics) remove() { published.Delete(m.name) }
