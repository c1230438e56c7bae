// Package overhead compares statements that go straight to the target stand-in
// with statements that go through one daemon, which is entry and home, in
// alternating slices of one run. A relay that passes bytes on without looking at
// them is measured beside: the part of the ratio that any proxy costs.
//
// The stand-in answers without its engine and without latency, so that the
// ratio shows the daemon's own cost at its worst. All ways use as many callers
// and as many target connections. Caller, daemon and stand-in share this
// process; a daemon's processor time is the difference of the process's time
// per statement between two ways, in which callers and stand-in do the same
// work.
package overhead
