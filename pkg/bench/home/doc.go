// Package home measures what a group costs each daemon that is a candidate for
// it while no caller sends anything: probes, heartbeats and leases.
//
// Three daemons before few and before many groups run in this process, together
// with the stand-in members; the slope between the two is a group's cost, a
// third of it each candidate's. What the stand-ins take without daemons is
// measured and taken off; what they take to answer the probes is left in, so the
// figures are upper bounds.
package home
