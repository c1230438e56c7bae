package group

import "limpetspan/core"

// The heap slots of a request. Each heap keeps its own index and key there.
const (
	slotDeadline = iota
	slotQueue
	slotCount
)

// heapSlot is a request's place in one heap. Index 0 means that the request is
// not in the heap; the first place is 1.
type heapSlot struct {
	index int
	key   core.Time
}

// requestHeap is a binary heap of requests, smallest key first. Unlike
// container/heap it can remove any request without interface calls.
type requestHeap struct {
	items []*request
	slot  int
}

func (h *requestHeap) len() int { return len(h.items) }

func (h *requestHeap) push(r *request, key core.Time) {
	h.items = append(h.items, r)
	r.heap[h.slot] = heapSlot{index: len(h.items), key: key}
	h.siftUp(len(h.items) - 1)
}

func (h *requestHeap) contains(r *request) bool {
	i := r.heap[h.slot].index
	return i > 0 && i <= len(h.items) && h.items[i-1] == r
}

func (h *requestHeap) remove(r *request) {
	i := r.heap[h.slot].index - 1
	last := len(h.items) - 1
	h.swap(i, last)
	h.items[last] = nil
	h.items = h.items[:last]
	r.heap[h.slot].index = 0
	if i < last {
		h.siftDown(i)
		h.siftUp(i)
	}
}

func (h *requestHeap) less(i, j int) bool {
	a, b := h.items[i], h.items[j]
	ka, kb := a.heap[h.slot].key, b.heap[h.slot].key
	if ka != kb {
		return ka < kb
	}
	return a.id < b.id
}

func (h *requestHeap) swap(i, j int) {
	h.items[i], h.items[j] = h.items[j], h.items[i]
	h.items[i].heap[h.slot].index = i + 1
	h.items[j].heap[h.slot].index = j + 1
}

func (h *requestHeap) siftUp(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if !h.less(i, parent) {
			return
		}
		h.swap(i, parent)
		i = parent
	}
}

func (h *requestHeap) siftDown(i int) {
	for {
		smallest := i
		for c := 2*i + 1; c <= 2*i+2 && c < len(h.items); c++ {
			if h.less(c, smallest) {
				smallest = c
			}
		}
		if smallest == i {
			return
		}
		h.swap(i, smallest)
		i = smallest
	}
}
