package explore

import (
	"container/heap"

	"limpetspan/core"
)

// action is something that happens at a time of the model.
type action struct {
	at  core.Time
	seq int
	do  func()
}

// queue orders actions by time, then by their creation.
type queue []action

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(action)) }
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

var _ heap.Interface = (*queue)(nil)
