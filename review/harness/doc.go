// Package harness runs limpetspand processes against the platform's stand-ins for the cases of the
// review. It has relays that cut connections, callers, and a record of what was sent and answered.
package harness
