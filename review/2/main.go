// Command 2 is the case of a promotion order that a partition holds back and that its sender does not
// take back when it gives up.
package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"limpetspan/platform/standin"
	"limpetspan/review/harness"
)

const (
	groupName = "parkdb"
	database  = "gates"
	daemons   = 3
	// maxCut bounds the cut; the case needs the time in which another daemon takes over.
	maxCut = 40 * time.Second
	// afterTakeOver is how long the cut lasts after another daemon's promotion was ordered.
	afterTakeOver = 2200 * time.Millisecond
	// afterHeal is how long callers go on after the cut.
	afterHeal      = 4 * time.Second
	promotionDelay = time.Second
	// oldPrimaryGoesOn is how long a primary goes on after it can reach the one that replaces it.
	oldPrimaryGoesOn = time.Second
)

// Exit codes of a case.
const (
	held = iota
	broken
	notRun
)

func main() {
	harness.EndOnSignal(notRun)
	code, err := run(os.Args[1], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println("the case could not run:", err)
		code = notRun
	}
	os.Exit(code)
}

// world is one run.
type world struct {
	record  *harness.Record
	trouble bool
	store   *standin.Store
	group   *standin.Group
	// links[i] are the relays between daemon i and the platform: the store and the promotion endpoint.
	links   [daemons][2]*harness.Relay
	daemons [daemons]*harness.Daemon
	// holder is the daemon whose first order is held back, -1 before that.
	holder atomic.Int32

	mu sync.Mutex
	// acked are the acknowledged writes.
	acked map[string]bool
}

func run(folder string, trouble bool) (int, error) {
	record, err := harness.NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return notRun, err
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return notRun, err
	}
	defer os.RemoveAll(dir)
	w := &world{record: record, trouble: trouble, acked: make(map[string]bool)}
	w.holder.Store(-1)
	defer w.end()
	if err := w.start(dir); err != nil {
		return notRun, err
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range w.daemons {
		callers.Add(1)
		go func() {
			defer callers.Done()
			w.write(i, stop)
		}()
	}
	time.Sleep(3 * time.Second)
	w.crashPrimary()
	err = w.awaitTakeOver()
	time.Sleep(afterHeal)
	close(stop)
	callers.Wait()
	if err != nil {
		return notRun, err
	}
	return w.judge(), nil
}

// start starts the platform's stand-ins and the daemons.
func (w *world) start(dir string) error {
	var err error
	if w.store, err = standin.NewStore(); err != nil {
		return err
	}
	if w.group, err = standin.NewGroup(groupName, 3); err != nil {
		return err
	}
	w.group.Lag, w.group.PromotionDelay = 20*time.Millisecond, promotionDelay
	w.group.SetStatementDelay(6 * time.Millisecond)
	for i, m := range w.group.Members() {
		m.Zone = zone(i)
	}
	if err := w.store.Register(w.group); err != nil {
		return err
	}
	route := map[string]any{"name": "r-gates", "host": database, "type": "primary", "timeout_ms": 800, "latency_goal_ms": 150,
		"priority": 1, "service": groupName, "max_staleness_ms": 0}
	if err := w.store.Put("op/config", map[string]any{"version": 3, "routes": []any{route},
		"services": []any{map[string]any{"name": groupName, "max_conns": 22}}, "limits": map[string]any{"tx_idle_ms": 5000}}); err != nil {
		return err
	}
	port, err := harness.FreePort()
	if err != nil {
		return err
	}
	for i := range w.daemons {
		if err := w.startDaemon(dir, i, port); err != nil {
			return err
		}
	}
	for _, d := range w.daemons {
		if err := d.AwaitServing(database, 15*time.Second); err != nil {
			return err
		}
	}
	// A daemon changes a primary only once it has followed the host list for a while.
	time.Sleep(3 * time.Second)
	return nil
}

func zone(i int) string { return fmt.Sprintf("zone-%d", i+1) }

func (w *world) startDaemon(dir string, i, port int) error {
	var err error
	if w.links[i][0], err = harness.NewRelay(w.store.Addr(), nil); err != nil {
		return err
	}
	if w.links[i][1], err = harness.NewRelay(w.store.Addr(), func(data []byte) { w.inspect(i, data) }); err != nil {
		return err
	}
	w.daemons[i], err = harness.NewDaemon(dir, harness.DaemonOptions{Name: fmt.Sprintf("edge-%d", i+1), IP: fmt.Sprintf("127.0.0.%d", 21+i),
		Zone: zone(daemons - 1 - i), Port: port, Store: w.links[i][0].Addr(), Promotions: w.links[i][1].Addr()})
	if err != nil {
		return err
	}
	return w.daemons[i].Start()
}

// inspect sees what a daemon sends to the promotion endpoint. The first order starts the cut of its
// sender from the platform, before the order has arrived.
func (w *world) inspect(i int, data []byte) {
	if !bytes.HasPrefix(data, []byte("POST /promote")) {
		return
	}
	token := "?"
	for line := range bytes.Lines(data) {
		if rest, ok := bytes.CutPrefix(line, []byte("X-Fence-Token: ")); ok {
			token = string(bytes.TrimSpace(rest))
		}
	}
	w.record.Add("%s sends POST /promote with fence %s", w.daemons[i].Name, token)
	if !w.holder.CompareAndSwap(-1, int32(i)) || !w.trouble {
		return
	}
	w.record.Announce("%s is cut off from the platform; its order is held up", w.daemons[i].Name)
	w.links[i][0].Cut()
	w.links[i][1].Cut()
}

func (w *world) crashPrimary() {
	p := w.group.Primary()
	w.record.Announce("primary %s goes dark", p.ID)
	p.SetUnresponsive(true)
}

// awaitTakeOver waits until an order of another daemon has arrived and callers were served, and ends
// the cut. Without trouble it waits as long as the change of the primary takes.
func (w *world) awaitTakeOver() error {
	if !w.trouble {
		time.Sleep(12 * time.Second)
		return nil
	}
	for end := time.Now().Add(maxCut); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if len(w.store.PromoteRequests()) == 0 {
			continue
		}
		time.Sleep(afterTakeOver)
		i := w.holder.Load()
		p, terms := w.group.Primary(), w.group.TermCount()
		// The stand-in's primary becomes a replica at once when another member leads, unless it receives
		// no log. By the protocol it goes on for a second.
		p.SetReplicationPaused(true)
		defer p.SetReplicationPaused(false)
		w.record.Announce("the cut of %s ends", w.daemons[i].Name)
		w.links[i][0].Heal()
		w.links[i][1].Heal()
		for end := time.Now().Add(2 * promotionDelay); time.Now().Before(end) && w.group.TermCount() == terms; {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(oldPrimaryGoesOn)
		return nil
	}
	return fmt.Errorf("no other daemon ordered a promotion within %v", maxCut)
}

// write sends writes through one daemon, one after the other, and records the answers.
func (w *world) write(i int, stop <-chan struct{}) {
	d := w.daemons[i]
	var c *harness.Caller
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = harness.Open(d.Frontend, database); err != nil {
				c = nil
				continue
			}
		}
		id := fmt.Sprintf("w%d.%d", i+1, n)
		a, err := c.Query(id, fmt.Sprintf("WRITE item%d-%d x%d", i+1, n, n))
		if err != nil {
			w.record.Add("%s %s: no answer: %v", d.Name, id, err)
			c.Close()
			c = nil
			continue
		}
		w.record.Add("%s %s: %s", d.Name, id, a)
		if a.Code == "" {
			w.mu.Lock()
			w.acked[id] = true
			w.mu.Unlock()
		}
	}
}

// judge checks the promotion orders in the order of their arrival.
func (w *world) judge() int {
	highest, code := uint64(0), held
	for _, r := range w.store.PromoteRequests() {
		w.record.Announce("the platform has got: promote %s, holder %s, fence %d", r.Member, r.Holder, r.Token)
		if r.Token < highest {
			w.record.Announce("ONE is broken: fence %d of %s is lower than %d, which the platform has seen", r.Token, r.Holder, highest)
			code = broken
		}
		highest = max(highest, r.Token)
	}
	if highest == 0 {
		w.record.Announce("no promotion was ordered")
		return notRun
	}
	if n := w.ackedAtOldPrimary(); n > 0 {
		w.record.Announce("ONE is broken: %d writes were committed at the old primary after a promote had taken effect, and acknowledged", n)
		code = broken
	}
	w.recordLosses()
	if code == held {
		w.record.Announce("ONE held")
	}
	return code
}

// ackedAtOldPrimary returns the number of acknowledged writes that were committed in a term after a
// newer one had begun.
func (w *world) ackedAtOldPrimary() (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	checks := w.group.Checks()
	for term, began := range checks.TermStarts {
		w.record.Add("term %d began at %s", term, began.Format("15:04:05.000"))
	}
	for _, c := range checks.Commits {
		began, replaced := checks.TermStarts[c.Term+1]
		if w.acked[c.ID] && replaced && c.At.After(began) {
			w.record.Add("%s was committed at %s in term %d, %v after term %d had begun, and acknowledged", c.ID, c.Member, c.Term, c.At.Sub(began), c.Term+1)
			n++
		}
	}
	return n
}

// recordLosses records how many acknowledged writes the present primary lacks. It decides nothing: the
// members don't wait for replicas.
func (w *world) recordLosses() {
	kept := make(map[string]bool)
	for _, c := range w.group.Commits() {
		kept[c.ID] = true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	lost := 0
	for id := range w.acked {
		if !kept[id] {
			lost++
			w.record.Add("not in the log: %s", id)
		}
	}
	w.record.Announce("%d writes were acknowledged, %d of them are not in the log of the present primary %s (information only)", len(w.acked), lost, w.group.Primary().ID)
}

func (w *world) end() {
	for i, d := range w.daemons {
		if d == nil {
			continue
		}
		d.Kill()
		for line := range bytes.Lines(d.Log()) {
			if bytes.Contains(line, []byte("promot")) || bytes.Contains(line, []byte("claim")) {
				w.record.Add("log of %s: %s", w.daemons[i].Name, bytes.TrimSpace(line))
			}
		}
	}
}
