package takeover

import (
	"errors"
	"fmt"
	"time"

	"limpetspan/core"
	"limpetspan/pkg/operator"
	standinstore "limpetspan/standin/store"
)

const (
	// firstFault is when the first fault happens, faultLength how long each
	// lasts, faultGap the time from the start of one to the start of the next.
	firstFault  = 4 * time.Second
	faultLength = 3 * time.Second
	faultGap    = 8 * time.Second
)

// faultRun lets the faults happen one after the other.
type faultRun struct {
	bench *bench
	began time.Time
	left  []Fault
	at    time.Time
	// heal ends the present fault at healAt; nil: there is none.
	heal   func() error
	healAt time.Time
}

func (b *bench) faultsFrom(began time.Time) *faultRun {
	return &faultRun{bench: b, began: began, left: b.options.Faults, at: began.Add(firstFault)}
}

// next begins or ends a fault when it is time.
func (f *faultRun) next(now time.Time) error {
	if f.heal != nil && now.After(f.healAt) {
		return f.finish()
	}
	if len(f.left) == 0 || f.heal != nil || now.Before(f.at) {
		return nil
	}
	fault := f.left[0]
	heal, err := f.inject(fault)
	if errors.Is(err, errNotYet) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("fault %s: %w", fault, err)
	}
	f.left = f.left[1:]
	f.bench.report.Events = append(f.bench.report.Events, fmt.Sprintf("%s at %.1f s", fault, now.Sub(f.began).Seconds()))
	f.heal, f.healAt, f.at = heal, now.Add(faultLength), now.Add(faultGap)
	return nil
}

// finish ends the present fault.
func (f *faultRun) finish() error {
	if f.heal == nil {
		return nil
	}
	heal := f.heal
	f.heal = nil
	return heal()
}

// errNotYet: nobody works the take-over at the moment.
var errNotYet = errors.New("no daemon works the take-over")

func (f *faultRun) inject(fault Fault) (heal func() error, err error) {
	fleet := f.bench.fleet
	switch fault {
	case Worker:
		d, _ := fleet.work()
		if d == nil {
			return nil, errNotYet
		}
		return func() error { return fleet.replace(d.Place) }, fleet.kill(d)
	case Store:
		return func() error { return fleet.Store.SetOutage(standinstore.OutageNone) }, fleet.Store.SetOutage(standinstore.OutageSilent)
	case Source:
		return f.crash(source)
	}
	return f.crash(destination)
}

func (f *faultRun) crash(group core.GroupID) (heal func() error, err error) {
	primary := f.bench.fleet.primary(group)
	if primary == nil {
		return nil, fmt.Errorf("group %s has no primary", group)
	}
	faults := f.bench.fleet.Group(group).Faults()
	return func() error { return faults.Restart(primary.ID()) }, faults.Crash(primary.ID())
}

// note keeps the greatest values of the workers' progress.
func (b *bench) note(w operator.TakeoverWork) {
	r := b.report
	r.WorkerPauseMaxMs = max(r.WorkerPauseMaxMs, float64(w.Progress.PauseMax)/float64(time.Millisecond))
	r.Batches, r.Aborted = max(r.Batches, w.Progress.Batches), max(r.Aborted, w.Progress.Aborted)
	r.Blocked = w.Progress.Blocked
}
