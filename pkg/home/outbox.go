package home

import "sync"

// outbox runs jobs one after the other in the order in which they were put,
// without keeping their poster waiting. It has a goroutine only while there is
// something to do.
type outbox struct {
	mu      sync.Mutex
	jobs    []func()
	running bool
}

func (o *outbox) put(job func()) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.jobs = append(o.jobs, job)
	if !o.running {
		o.running = true
		go o.run()
	}
}

func (o *outbox) run() {
	for {
		o.mu.Lock()
		jobs := o.jobs
		o.jobs = nil
		o.running = len(jobs) > 0
		o.mu.Unlock()
		if len(jobs) == 0 {
			return
		}
		for _, job := range jobs {
			job()
		}
	}
}

// mailbox delivers the newest value to one receiver. A value that is replaced
// before it was sent is never sent: a receiver that is slow or cut off gets the
// present state, not a queue of old ones.
type mailbox[T any] struct {
	mu      sync.Mutex
	next    T
	full    bool
	running bool
}

func (m *mailbox[T]) put(value T, send func(T)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.next, m.full = value, true
	if !m.running {
		m.running = true
		go m.run(send)
	}
}

func (m *mailbox[T]) run(send func(T)) {
	for {
		m.mu.Lock()
		value, full := m.next, m.full
		m.full = false
		m.running = full
		m.mu.Unlock()
		if !full {
			return
		}
		send(value)
	}
}
