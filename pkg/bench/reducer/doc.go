// Package reducer measures the steady state of the group reducer: requests that
// arrive, are dispatched, finish and are acknowledged, seven reads to a write,
// with the members' reports in between. Nothing but the reducer runs.
package reducer
