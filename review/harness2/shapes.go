package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["shapes"] = playShapes }

// Size of the shapes, number of sessions at each daemon, and how long they go on.
const (
	shapeBytes    = 48 << 10
	shapeSessions = 4
	shapesFor     = 60 * time.Second
	endsToBreak   = 3
)

// playShapes lets a few sessions prepare, run and deallocate one statement after the other. Without
// trouble all have the same shape, otherwise each has its own. As the platform does, it kills a
// process whose memory exceeds the limit.
func playShapes(w *world) error {
	g, err := w.addGroup("ledger")
	if err != nil {
		return err
	}
	g.quiet = true
	if err := w.configure(w.configuration(5, []map[string]any{route("park", "primary", "ledger")})); err != nil {
		return err
	}
	if err := w.startDaemons(2, smallDeployment()); err != nil {
		return err
	}
	ends := make([]int, len(w.daemons))
	end := time.Now().Add(shapesFor)
	var done sync.WaitGroup
	for i, d := range w.daemons {
		enough := make(chan struct{})
		for n := range shapeSessions {
			done.Go(func() { w.runShapes(fmt.Sprintf("c%d%d", i+1, n+1), d, end, enough) })
		}
		done.Go(func() {
			defer close(enough)
			ends[i] = w.enforceMemory(d, end)
		})
	}
	done.Wait()
	if min(ends[0], ends[1]) >= endsToBreak {
		w.breaks("Fault: on %d of %d machines the process exceeded its memory limit %d times, without a disturbance", len(ends), len(w.daemons), endsToBreak)
	}
	return nil
}

// enforceMemory kills the process whenever it takes more memory than its limit. It returns how often
// that was, and ends when it was often enough.
func (w *world) enforceMemory(d *daemon, end time.Time) (ends int) {
	top := 0.0
	for time.Now().Before(end) && ends < endsToBreak {
		time.Sleep(50 * time.Millisecond)
		mb := d.residentMB()
		top = max(top, mb)
		if mb > memoryMB {
			ends++
			w.rec.note("%s takes %.0f MB, its limit is %d MB: the platform kills it, time %d", d.name, mb, memoryMB, ends)
			d.signal(syscall.SIGKILL)
			time.Sleep(time.Second)
		}
	}
	w.rec.note("%s took %.0f MB at most", d.name, top)
	return ends
}

// runShapes runs one prepared statement after the other until the end, or until it is enough.
func (w *world) runShapes(name string, d *daemon, end time.Time, enough <-chan struct{}) {
	served := 0
	var x *consumer
	for n := 0; time.Now().Before(end); n++ {
		select {
		case <-enough:
			end = time.Now()
			continue
		default:
		}
		if x == nil {
			var err error
			if x, err = connect(name, d, "park", nil); err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
		}
		shape := strings.Repeat("q", shapeBytes)
		if w.trouble {
			shape = fmt.Sprintf("%s-%d-%s", name, n, shape)
		}
		id := fmt.Sprintf("%s.%d", name, n)
		ok := x.exchange(id+"p", "PREPARE s1 READ "+shape).ok()
		if x.exchange(id, "EXECUTE s1 bike-1").ok() {
			served++
		}
		if !x.exchange(id+"d", "DEALLOCATE s1").ok() || !ok {
			x.close()
			x = nil
		}
	}
	if x != nil {
		x.close()
	}
	w.rec.note("%s: %d statements served", name, served)
}
