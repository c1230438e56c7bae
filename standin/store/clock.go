package store

import (
	"slices"
	"sync"
	"time"
)

// Clock is the engine's source of time.
type Clock interface {
	Now() time.Time
	// AfterFunc runs f once, d from now, on another goroutine or inside
	// Advance. stop prevents a run that has not begun.
	AfterFunc(d time.Duration, f func()) (stop func())
}

// SystemClock is the clock of the machine.
type SystemClock struct{}

// Now returns the present time.
func (SystemClock) Now() time.Time { return time.Now() }

// AfterFunc uses time.AfterFunc.
func (SystemClock) AfterFunc(d time.Duration, f func()) func() {
	t := time.AfterFunc(d, f)
	return func() { t.Stop() }
}

// ManualClock moves only when Advance is called. Its zero value is not usable.
type ManualClock struct {
	mu     sync.Mutex
	now    time.Time
	timers []*manualTimer
}

type manualTimer struct {
	at time.Time
	f  func()
}

// NewManualClock returns a clock that stands at start.
func NewManualClock(start time.Time) *ManualClock { return &ManualClock{now: start} }

// Now returns the clock's time.
func (c *ManualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// AfterFunc runs f inside the Advance that reaches its time.
func (c *ManualClock) AfterFunc(d time.Duration, f func()) func() {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := &manualTimer{at: c.now.Add(d), f: f}
	c.timers = append(c.timers, t)
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.timers = slices.DeleteFunc(c.timers, func(u *manualTimer) bool { return u == t })
	}
}

// Advance moves the clock by d and runs what falls due, in order of time.
func (c *ManualClock) Advance(d time.Duration) {
	c.mu.Lock()
	end := c.now.Add(d)
	for {
		t := c.earliest(end)
		if t == nil {
			break
		}
		c.now = t.at
		c.mu.Unlock()
		t.f()
		c.mu.Lock()
	}
	c.now = end
	c.mu.Unlock()
}

// earliest takes the first timer due at or before end from the list.
func (c *ManualClock) earliest(end time.Time) *manualTimer {
	best := -1
	for i, t := range c.timers {
		if !t.at.After(end) && (best < 0 || t.at.Before(c.timers[best].at)) {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	t := c.timers[best]
	c.timers = slices.Delete(c.timers, best, best+1)
	return t
}
