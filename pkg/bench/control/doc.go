// Package control measures what the control work of a daemon costs: it runs
// the membership, news and candidate parts of many daemons in one process,
// with their real messages over loopback UDP, and divides what the process
// used by their number. Callers and targets take no part.
//
// Everything that the bench itself does (starting, counting, comparing views)
// is in the figures, which are therefore on the high side.
package control
