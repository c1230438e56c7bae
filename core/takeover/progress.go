package takeover

import (
	"slices"
	"time"
)

// Progress is the progress of a machine under its claim.
type Progress struct {
	// Buckets is the number of buckets to move, Done the number moved.
	Buckets int `json:"buckets"`
	Done    int `json:"done"`
	// Records and Changes count the rows copied in pages and in catch-up rounds.
	Records int64 `json:"records"`
	Changes int64 `json:"changes"`
	// Batches counts the flipped batches, Aborted those aborted before their flip.
	Batches int `json:"batches"`
	Aborted int `json:"aborted"`
	// PauseMax is the longest time from the request of a hold to the end of its
	// flip.
	PauseMax time.Duration `json:"pause_max_ns"`
	// Rate is the current limit of the copy, in records per second, and Baseline
	// the callers' latency that it is compared with.
	Rate     float64       `json:"rate"`
	Baseline time.Duration `json:"baseline_ns"`
	// Blocked lists the buckets that need an operator.
	Blocked []int `json:"blocked,omitempty"`
	// Steps counts the buckets by step.
	Steps map[string]int `json:"steps"`
}

// Progress returns a copy of the current progress.
func (m *Machine) Progress() Progress {
	p := m.progress
	p.Buckets = len(m.buckets)
	p.Rate, p.Baseline = m.pacer.Rate(), m.pacer.Baseline()
	p.Steps = make(map[string]int)
	for id, b := range m.buckets {
		p.Steps[b.step.String()]++
		if b.step == StepBlocked {
			p.Blocked = append(p.Blocked, id)
		}
	}
	slices.Sort(p.Blocked)
	return p
}
