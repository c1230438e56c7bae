package soak

import (
	"syscall"
	"time"
)

// faultNames are the faults by their number.
var faultNames = [...]string{"daemon killed", "daemon stops", "daemon paused", "settings read again", "all daemons killed",
	"connections reset", "connections silenced", "cut", "delay", "member silent", "member silent", "store away",
	"answers lost", "configuration and compaction"}

// fault injects one fault and returns how to end it.
func (w *world) fault() (heal func()) {
	d := w.daemons[w.random.IntN(len(w.daemons))]
	r := w.relays[w.random.IntN(len(w.relays))]
	m := w.group.Members()[w.random.IntN(3)]
	none := func() {}
	kind := w.random.IntN(len(faultNames))
	w.note("fault %d", kind)
	w.recorder.Fault(faultNames[kind])
	switch kind {
	case 0:
		d.signal(syscall.SIGKILL)
	case 1:
		d.signal(syscall.SIGTERM)
	case 2:
		d.signal(syscall.SIGSTOP)
		return func() { d.signal(syscall.SIGCONT) }
	case 3:
		d.signal(syscall.SIGHUP)
	case 4:
		for _, d := range w.daemons {
			d.signal(syscall.SIGKILL)
		}
	case 5:
		r.resetAll()
	case 6:
		r.silence()
	case 7:
		r.cutOff(w.random.IntN(2))
		return r.heal
	case 8:
		r.setDelay(time.Duration(w.random.IntN(60)) * time.Millisecond)
		return r.heal
	case 9, 10:
		if p := w.group.Primary(); p != nil {
			m = p
		}
		m.SetUnresponsive(true)
		return func() { m.SetUnresponsive(false) }
	case 11:
		w.store.SetDown(true)
		return func() { w.store.SetDown(false) }
	case 12:
		w.store.DropWriteAnswers(1)
		m.DropAnswers(1 + w.random.IntN(5))
	case 13:
		if err := w.configure(); err != nil {
			w.note("configuration not written: %v", err)
		}
		w.store.Compact()
	}
	return none
}

// faults come in series and overlap, for about the time given.
func (w *world) faults(d time.Duration) {
	end := time.Now().Add(d)
	var heals []func()
	for time.Now().Before(end) {
		heals = append(heals, w.fault())
		time.Sleep(time.Duration(100+w.random.IntN(1200)) * time.Millisecond)
		if len(heals) > 2 || w.random.IntN(2) == 0 {
			heals[0]()
			w.recorder.Fault("end of a fault")
			heals = heals[1:]
		}
	}
	for _, heal := range heals {
		heal()
	}
}
