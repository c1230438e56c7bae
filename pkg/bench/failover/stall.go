package failover

import (
	"slices"
	"time"

	"limpetspan/pkg/bench/result"
)

// Stall is a time in which one caller got no acknowledgment.
type Stall struct {
	Caller int     `json:"caller"`
	Ms     float64 `json:"ms"`
	// Begin is the acknowledgment before it, RFC 3339; Next the write after it.
	Begin string `json:"begin"`
	Next  string `json:"next"`
	// Run is the run in which it began; the last fault before it is the run's.
	Run   int   `json:"run"`
	Fault Fault `json:"fault"`
}

// maxStalls is how many stalls are reported.
const maxStalls = 10

// stalls returns the longest stalls of all callers, the longest first. They
// also show what holds callers up after the end of a fault, which the gap
// leaves out.
func stalls(acks []acknowledgment, runs []run) []Stall {
	var found []Stall
	last := map[int]time.Time{}
	for _, ack := range acks {
		if before, ok := last[ack.caller]; ok {
			number, fault := runAt(runs, ack.at)
			found = append(found, Stall{Caller: ack.caller, Ms: result.Milliseconds(ack.at.Sub(before)),
				Begin: before.UTC().Format(time.RFC3339Nano), Next: ack.id, Run: number, Fault: fault})
		}
		last[ack.caller] = ack.at
	}
	slices.SortFunc(found, func(a, b Stall) int { return int(b.Ms - a.Ms) })
	return found[:min(len(found), maxStalls)]
}

// runAt returns the last run that began before t.
func runAt(runs []run, t time.Time) (int, Fault) {
	for i := len(runs) - 1; i >= 0; i-- {
		if runs[i].began.Before(t) {
			return i, runs[i].fault
		}
	}
	return -1, ""
}
