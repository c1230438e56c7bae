// Package agenda orders what happens in the time of a model.
package agenda

import (
	"container/heap"

	"limpetspan/core"
)

// Agenda holds actions by their time, and those of one time in the order in which
// they were added. The zero Agenda is empty.
type Agenda struct {
	actions queue
	added   int
}

// Add has do happen at the time.
func (a *Agenda) Add(at core.Time, do func()) {
	a.added++
	heap.Push(&a.actions, action{at, a.added, do})
}

// Len is how many actions are left.
func (a *Agenda) Len() int { return a.actions.Len() }

// Next takes the first action out; there must be one.
func (a *Agenda) Next() (at core.Time, do func()) {
	first := heap.Pop(&a.actions).(action)
	return first.at, first.do
}

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
