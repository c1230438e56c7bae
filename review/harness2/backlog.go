package main

import (
	"fmt"
	"time"
)

func init() { cases["backlog"] = playBacklog }

// Sizes and times of the backlog: four times 350 routes, a cut of one daemon from the store for
// 5.5 s, and meanwhile a storm of configurations each 0.315 s.
const (
	moreRoutes  = 350
	growths     = 4
	cutFor      = 5500 * time.Millisecond
	stormGap    = 315 * time.Millisecond
	stormFor    = 4580 * time.Millisecond
	stableFor   = 4 * time.Second
	applyWithin = 3 * time.Second
)

// playBacklog cuts one daemon off from the store while configurations come in quick succession. The
// last of them moves a database to another service. Once the daemon is in touch again, writes to
// that database have to run on the new service.
func playBacklog(w *world) error {
	old, err := w.addGroup("ledger")
	if err != nil {
		return err
	}
	next, err := w.addGroup("vault")
	if err != nil {
		return err
	}
	old.quiet, next.quiet = true, true
	routes := []map[string]any{route("park", "primary", "ledger"), route("fines", "primary", "ledger")}
	version := 5
	write := func() error {
		version += 2
		return w.configure(w.configuration(version, routes))
	}
	if err := write(); err != nil {
		return err
	}
	if err := w.startDaemons(3, smallDeployment()); err != nil {
		return err
	}
	for _, d := range w.daemons {
		if err := w.await(d, "park"); err != nil {
			return err
		}
	}
	for n := range growths {
		for i := range moreRoutes {
			routes = append(routes, route(fmt.Sprintf("station-%d-%03d", n, i), "bounded_stale", "ledger"))
		}
		if err := write(); err != nil {
			return err
		}
		w.rec.note("version %d has %d routes", version, len(routes))
		time.Sleep(time.Second)
	}
	time.Sleep(2 * time.Second)
	d := w.daemons[0]
	if w.trouble {
		d.gate.setCut(true)
		w.rec.note("%s is cut from the store", d.name)
	}
	cutAt := time.Now()
	time.Sleep(300 * time.Millisecond)
	for end := time.Now().Add(stormFor); time.Now().Before(end); time.Sleep(stormGap) {
		routes[0]["timeout_ms"] = 700 + version%50
		if err := write(); err != nil {
			return err
		}
	}
	routes[1] = route("fines", "primary", "vault")
	if err := write(); err != nil {
		return err
	}
	acknowledged := time.Now()
	w.rec.note("the store has acknowledged version %d, which moves fines to vault; its value has %d bytes", version, w.store.size("op/config"))
	time.Sleep(time.Until(cutAt.Add(cutFor)))
	d.gate.setCut(false)
	healed := time.Now()
	w.rec.note("the cut has healed")
	judged := healed.Add(stableFor)
	if later := acknowledged.Add(applyWithin); later.After(judged) {
		judged = later
	}
	last := ""
	for n := 1; time.Now().Before(healed.Add(30 * time.Second)); n++ {
		id, sent := fmt.Sprintf("c1.%d", n), time.Now()
		x, err := connect("c1", d, "fines", nil)
		if err != nil {
			return err
		}
		a := x.exchange(id, fmt.Sprintf("WRITE fine-%d settled", n))
		x.close()
		where := w.ranAt(id)
		if what := fmt.Sprintf("%s, run by %s", a.outcome(), where); what != last {
			w.rec.note("%s at %s, %.1f s after the cut healed: %s", id, d.name, sent.Sub(healed).Seconds(), what)
			last = what
		}
		if where == old.name && sent.After(judged) && len(w.broken) < 5 {
			w.breaks("CONFIG: %s was sent %.1f s after the acknowledgement of version %d and %.1f s after the cut healed, and the old service %s ran it (answer: %s)",
				id, sent.Sub(acknowledged).Seconds(), version, sent.Sub(healed).Seconds(), old.name, a.outcome())
		}
		time.Sleep(200 * time.Millisecond)
	}
	return nil
}

// outcome says in a word how a request was answered.
func (a answer) outcome() string {
	switch {
	case a.err != nil:
		return "no whole answer"
	case a.code != "":
		return a.code
	}
	return "success"
}

// ranAt returns the service that ran the request, "nobody" if none did.
func (w *world) ranAt(id string) string {
	for _, g := range w.groups {
		for _, r := range g.ran() {
			if r.id == id {
				return g.name
			}
		}
	}
	return "nobody"
}
