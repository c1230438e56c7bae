package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["drill"] = playDrill }

// Times of the drill. The store turns one daemon away for less than 9 s, and its copy is less than
// 6 s old when it comes back.
const (
	revokeBound   = 5 * time.Second
	awayAfter     = 4900 * time.Millisecond
	awayFor       = 500 * time.Millisecond
	rewritePause  = 1500 * time.Millisecond
	watchFor      = 9 * time.Second
	askEvery      = 50 * time.Millisecond
	revokedKey    = "u3f1"
	revokedTenant = "park"
)

// playDrill takes a key away while the store turns one daemon away, and brings the store back from a
// copy that still has the key. The operator writes the configuration again 1.5 s later.
func playDrill(w *world) error {
	g, err := w.addGroup("ledger")
	if err != nil {
		return err
	}
	g.quiet = true
	routes := []map[string]any{route("park", "primary", "ledger")}
	tenant := func(name, key string) map[string]any {
		return map[string]any{"name": name, "api_keys": []string{key}}
	}
	with := w.configuration(5, routes)
	with["tenants"] = []any{tenant(revokedTenant, revokedKey), tenant("desk", "k7aa")}
	without := w.configuration(8, routes)
	without["tenants"] = []any{tenant("desk", "k7aa")}
	if err := w.configure(with); err != nil {
		return err
	}
	o := smallDeployment()
	o.contracts = append(o.contracts, "tenants", "quota")
	for name, bound := range map[string]any{"fail_closed": true, "revoke_ms": revokeBound.Milliseconds(), "quota_window_s": 5, "quota_overage": 0.1, "quota_slack": 20} {
		o.bounds[name] = bound
	}
	if err := w.startDaemons(3, o); err != nil {
		return err
	}
	for _, d := range w.daemons {
		if err := w.await(d, "park "+revokedKey); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)

	calls := &revokedCaller{w: w, d: w.daemons[0], stop: make(chan struct{}), sentAt: make(map[string]time.Time)}
	calls.done.Add(1)
	go calls.run()
	if w.trouble {
		w.store.takeCopy()
		w.daemons[0].gate.setRefusing(true)
		w.rec.note("the store turns %s away", w.daemons[0].name)
	}
	time.Sleep(200 * time.Millisecond)
	if err := w.configure(without); err != nil {
		return err
	}
	revoked := time.Now()
	w.rec.note("the store has acknowledged version 8, which takes the key of %s away", revokedTenant)
	if w.trouble {
		time.Sleep(awayAfter)
		w.store.setAway()
		w.rec.note("the store is away")
		time.Sleep(awayFor)
		w.daemons[0].gate.setRefusing(false)
		w.store.comeBack(rewritePause)
		w.rec.note("the store is back from its copy, era 1, and turns nobody away")
	}
	time.Sleep(time.Until(revoked.Add(watchFor)))
	close(calls.stop)
	calls.done.Wait()
	late := 0
	for _, r := range g.ran() {
		sent, ok := calls.sentAt[r.id]
		if ok && r.tenant == revokedTenant && sent.Sub(revoked) > revokeBound {
			if late++; late <= 3 {
				w.breaks("CONFIG: %s was sent %d ms after the acknowledgement that took its key away, and member %s ran it for tenant %s", r.id, sent.Sub(revoked).Milliseconds(), r.member, r.tenant)
			}
		}
	}
	w.rec.note("%d requests ran with the key that were sent later than %v after it was taken away", late, revokeBound)
	return nil
}

// revokedCaller sends requests with the key, one after the other.
type revokedCaller struct {
	w      *world
	d      *daemon
	stop   chan struct{}
	done   sync.WaitGroup
	sentAt map[string]time.Time
}

func (c *revokedCaller) run() {
	defer c.done.Done()
	last := ""
	for n := 1; ; n++ {
		select {
		case <-c.stop:
			return
		case <-time.After(askEvery):
		}
		id := fmt.Sprintf("c1.%d", n)
		c.sentAt[id] = time.Now()
		outcome := c.ask(id)
		if outcome != last {
			c.w.rec.note("%s at %s: %s", id, c.d.name, outcome)
			last = outcome
		}
	}
}

// ask sends one request in a session of its own, and returns how it was answered.
func (c *revokedCaller) ask(id string) string {
	x, err := connect("c1", c.d, "park "+revokedKey, nil)
	if err != nil {
		return "no session"
	}
	defer x.close()
	a := x.exchange(id, "READ bike-1")
	switch {
	case a.ok():
		return "served"
	case a.err != nil:
		return "no whole answer"
	}
	return "refused with " + a.code
}
