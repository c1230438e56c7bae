package control

import (
	"time"

	"limpetspan/core"
	"limpetspan/pkg/fleet"
)

// pollInterval is the time between two comparisons of views.
const pollInterval = 100 * time.Millisecond

// wait polls until done holds, and returns how long it took.
func (s *simulation) wait(limit time.Duration, done func() bool) (time.Duration, bool) {
	start := time.Now()
	for !done() {
		if time.Since(start) > limit || s.ctx.Err() != nil {
			return time.Since(start), false
		}
		time.Sleep(pollInterval)
	}
	return time.Since(start), true
}

// waitAgree waits until the views of the daemons are equal and hold exactly them.
func (s *simulation) waitAgree(limit time.Duration, daemons []*daemon) (time.Duration, bool) {
	return s.wait(limit, func() bool { return agree(daemons, len(daemons)) })
}

func agree(daemons []*daemon, live int) bool {
	var first uint64
	for i, d := range daemons {
		n, root := d.service.Fingerprint()
		if i == 0 {
			first = root
		}
		if n != live || root != first {
			return false
		}
	}
	return true
}

// complete reports whether each of the daemons holds that many for alive.
func complete(daemons []*daemon, live int) bool {
	for _, d := range daemons {
		if n, _ := d.service.Fingerprint(); n != live {
			return false
		}
	}
	return true
}

func (s *simulation) watchers() int {
	n := 0
	for _, d := range s.up(nil) {
		if d.service.IsWatcher() {
			n++
		}
	}
	return n
}

// moveHomes announces the next home of each group whose home is gone, as the
// group's other candidates do, and returns their number.
func (s *simulation) moveHomes(gone map[core.DaemonID]bool, from *daemon) int {
	moved := 0
	for i, g := range s.groups {
		h, ok := from.service.Home(g.ID)
		if !ok || !gone[h.Daemon] {
			continue
		}
		for _, c := range from.service.Candidates(g.ID) {
			if gone[c.ID] {
				continue
			}
			s.terms[i] = max(s.terms[i], h.Term) + 2
			s.byID[c.ID].service.AnnounceHome(fleet.Home{Group: g.ID, Term: s.terms[i], Daemon: c.ID, Primary: h.Primary})
			moved++
			break
		}
	}
	return moved
}
