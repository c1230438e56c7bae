package entry

import "expvar"

// metrics are the entry's counters.
type metrics struct {
	requests, local, forwarded             expvar.Int
	retries, repeatedReads, repeatsRefused expvar.Int
	shed, fenced, waits, failed, hangups   expvar.Int
}

// Metrics returns the counters for expvar.
func (e *Entry) Metrics() expvar.Var {
	m, vars := &e.metrics, new(expvar.Map).Init()
	vars.Set("requests", &m.requests)
	vars.Set("served_local", &m.local)
	vars.Set("served_forwarded", &m.forwarded)
	vars.Set("retries_not_run", &m.retries)
	vars.Set("reads_repeated", &m.repeatedReads)
	vars.Set("reads_repeat_refused", &m.repeatsRefused)
	vars.Set("shed", &m.shed)
	vars.Set("held_fenced", &m.fenced)
	vars.Set("waits_for_home", &m.waits)
	vars.Set("failed", &m.failed)
	vars.Set("remote_hangups", &m.hangups)
	return vars
}
