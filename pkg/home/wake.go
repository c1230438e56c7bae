package home

import (
	"time"

	"limpetspan/core"
	"limpetspan/core/group"
)

// wakeTimer is the timer for the reducer's WakeAt. It is armed anew only for an
// earlier time: most wishes move the time back, and the timer then finds out
// when it fires too early.
type wakeTimer struct {
	timer *time.Timer
	// at is the time the reducer asked for, armed the one the timer is set to;
	// zero: none.
	at, armed core.Time
}

func (t *wakeTimer) stop() {
	if t.timer != nil {
		t.timer.Stop()
	}
}

// wakeAt sees to a Tick at the time; s.mu is held.
func (s *Shard) wakeAt(at core.Time) {
	t := &s.wake
	t.at = at
	if t.armed != 0 && t.armed <= at {
		return
	}
	s.arm(at)
}

func (s *Shard) arm(at core.Time) {
	t := &s.wake
	t.armed = at
	wait := max(at.Sub(s.manager.options.Now()), 0)
	if t.timer == nil {
		t.timer = time.AfterFunc(wait, s.onWake)
		return
	}
	t.timer.Reset(wait)
}

func (s *Shard) onWake() {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := &s.wake
	t.armed = 0
	if s.closed || t.at == 0 {
		return
	}
	if t.at > s.manager.options.Now() {
		s.arm(t.at)
		return
	}
	t.at = 0
	s.reduce(&group.Tick{})
}
