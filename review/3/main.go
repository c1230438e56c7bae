// Command 3 is the case of a link to a home that does not learn of commits which the entry made
// itself: machines are replaced, two at a time, while replicas are behind.
package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"limpetspan/platform/standin"
	"limpetspan/review/harness"
)

const (
	groupName = "registry"
	database  = "reports"
	daemons   = 6
	zones     = 3
	// maxConns is the connection limit of each member.
	maxConns = 16
	// atOnce is the number of machines that are replaced at once.
	atOnce = 2
	// sessionsPerDaemon is the number of callers' sessions at each daemon.
	sessionsPerDaemon = 5
	// thinkTime is the pause of a caller after each answer.
	thinkTime = 30 * time.Millisecond
	usualLag  = 20 * time.Millisecond
	// behind is the lag of replicas that have fallen behind.
	behind = 1200 * time.Millisecond
	// warmUp is the time of undisturbed service at the start, pause that after each replacement.
	warmUp, pause = 4 * time.Second, 6 * time.Second
	// overlap is the time for which the new machines run beside the old ones.
	overlap      = 3 * time.Second
	replacements = 5
	// grace is the time between SIGTERM and SIGKILL.
	grace = 6 * time.Second
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
	record *harness.Record
	dir    string
	port   int
	store  *standin.Store
	group  *standin.Group

	mu sync.Mutex
	// daemons are the machines in use, ended those that were replaced.
	daemons [daemons]*harness.Daemon
	ended   []*harness.Daemon
	// started counts the machines that were ever started.
	started int

	reads, writes, stale atomic.Int64
}

func run(folder string, trouble bool) (int, error) {
	record, err := harness.NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		return notRun, err
	}
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return notRun, err
	}
	defer os.RemoveAll(dir)
	w := &world{record: record, dir: dir}
	defer w.end()
	if err := w.start(); err != nil {
		return notRun, err
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for i := range daemons * sessionsPerDaemon {
		callers.Add(1)
		go func() {
			defer callers.Done()
			w.call(i, stop)
		}()
	}
	time.Sleep(warmUp)
	if trouble {
		w.record.Announce("the replicas fall behind by %v", behind)
		w.group.Lag = behind
	}
	for i := range replacements {
		if trouble {
			err = w.replace(i * atOnce)
		} else {
			time.Sleep(overlap)
		}
		if err != nil {
			break
		}
		time.Sleep(pause)
	}
	close(stop)
	callers.Wait()
	if err != nil {
		return notRun, err
	}
	return w.judge(), nil
}

// start starts the platform's stand-ins and the daemons.
func (w *world) start() error {
	var err error
	if w.store, err = standin.NewStore(); err != nil {
		return err
	}
	if w.group, err = standin.NewGroup(groupName, 3); err != nil {
		return err
	}
	w.group.Lag, w.group.MaxConns = usualLag, maxConns
	w.group.SetStatementDelay(3 * time.Millisecond)
	for i, m := range w.group.Members() {
		m.Zone = zone(i)
	}
	if err := w.store.Register(w.group); err != nil {
		return err
	}
	route := map[string]any{"name": "r-reports", "host": database, "type": "read_your_writes", "timeout_ms": 800, "latency_goal_ms": 200,
		"priority": 2, "service": groupName, "max_staleness_ms": 2500}
	if err := w.store.Put("op/config", map[string]any{"version": 3, "routes": []any{route},
		"services": []any{map[string]any{"name": groupName, "max_conns": maxConns}}, "limits": map[string]any{"tx_idle_ms": 5000}}); err != nil {
		return err
	}
	if w.port, err = harness.FreePort(); err != nil {
		return err
	}
	for i := range w.daemons {
		if w.daemons[i], err = w.startDaemon(i); err != nil {
			return err
		}
	}
	for _, d := range w.daemons {
		if err := d.AwaitServing(database, 15*time.Second); err != nil {
			return err
		}
	}
	return nil
}

// startDaemon starts a daemon on a machine that was not in use before, in the zone of place i.
func (w *world) startDaemon(i int) (*harness.Daemon, error) {
	w.started++
	d, err := harness.NewDaemon(w.dir, harness.DaemonOptions{Name: fmt.Sprintf("edge-%d", w.started), IP: fmt.Sprintf("127.0.0.%d", 40+w.started),
		Zone: zone(i), Port: w.port, Store: w.store.Addr(), Promotions: w.store.Addr()})
	if err != nil {
		return nil, err
	}
	return d, d.Start()
}

func zone(i int) string { return fmt.Sprintf("zone-%d", i%zones+1) }

// at returns the daemon at place i.
func (w *world) at(i int) *harness.Daemon {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.daemons[i]
}

// replace replaces machines from a place on as the platform does in planned work: new ones start at
// other addresses, then the old ones get SIGTERM.
func (w *world) replace(first int) error {
	var next, old []*harness.Daemon
	for i := first; i < first+atOnce; i++ {
		d, err := w.startDaemon(i)
		if err != nil {
			return err
		}
		w.record.Announce("%s starts in place of %s", d.Name, w.at(i%daemons).Name)
		next = append(next, d)
	}
	for i, d := range next {
		if err := d.AwaitServing(database, 10*time.Second); err != nil {
			return err
		}
		place := (first + i) % daemons
		w.mu.Lock()
		old = append(old, w.daemons[place])
		w.ended = append(w.ended, w.daemons[place])
		w.daemons[place] = d
		w.mu.Unlock()
	}
	time.Sleep(overlap)
	for _, d := range old {
		w.record.Announce("%s gets SIGTERM", d.Name)
		d.Signal(syscall.SIGTERM)
		timer := time.AfterFunc(grace, func() { d.Signal(syscall.SIGKILL) })
		defer timer.Stop()
	}
	for _, d := range old {
		d.Wait()
		w.record.Announce("%s has ended", d.Name)
	}
	return nil
}

// call is a caller that writes an item and reads it, again and again. When its session ends, it opens
// another one at the next daemon, and expects nothing of what the old one has written.
func (w *world) call(i int, stop <-chan struct{}) {
	item := fmt.Sprintf("item%d", i)
	n := 0
	for at := i % daemons; ; at = (at + 1) % daemons {
		select {
		case <-stop:
			return
		case <-time.After(thinkTime):
		}
		d := w.at(at)
		c, err := harness.Open(d.Frontend, database)
		if err != nil {
			continue
		}
		n = w.serve(c, d.Name, i, item, n, stop)
		c.Close()
	}
}

// serve is one session of a caller. It returns the number of the last write.
func (w *world) serve(c *harness.Caller, daemon string, i int, item string, n int, stop <-chan struct{}) int {
	acked := -1
	statements := 0
	query := func(text string) (harness.Answer, bool) {
		select {
		case <-stop:
			return harness.Answer{}, false
		case <-time.After(thinkTime):
		}
		statements++
		id := fmt.Sprintf("c%d.%d.%d", i, n, statements)
		a, err := c.Query(id, text)
		if err != nil {
			w.record.Add("caller %d at %s: %s %q: no answer: %v", i, daemon, id, text, err)
			return a, false
		}
		w.record.Add("caller %d at %s: %s %q: %s", i, daemon, id, text, a)
		return a, true
	}
	for {
		n++
		a, ok := query(fmt.Sprintf("WRITE %s %d", item, n))
		if !ok {
			return n
		}
		if a.Code == "" {
			w.writes.Add(1)
			acked = n
		}
		if a, ok = query("READ " + item); !ok {
			return n
		}
		if a.Code != "" || acked < 0 {
			continue
		}
		w.reads.Add(1)
		seen := -1
		if len(a.Rows) > 0 {
			if v, err := strconv.Atoi(a.Rows[0]); err == nil {
				seen = v
			}
		}
		if seen < acked {
			w.stale.Add(1)
			w.record.Add("STALE: caller %d at %s has read %d of %s after its own write of %d was acknowledged in the same session: %s", i, daemon, seen, item, acked, a)
		}
	}
}

func (w *world) judge() int {
	w.record.Announce("%d writes acknowledged, %d reads after a write of the same session", w.writes.Load(), w.reads.Load())
	switch {
	case w.group.TermCount() != 1:
		w.record.Announce("the primary was replaced, which this case does not expect")
		return notRun
	case w.reads.Load() == 0:
		w.record.Announce("no read was served")
		return notRun
	case w.stale.Load() > 0:
		w.record.Announce("STALE is broken: %d reads lacked a commit that was acknowledged to the same session before", w.stale.Load())
		return broken
	}
	w.record.Announce("STALE held")
	return held
}

func (w *world) end() {
	for _, d := range append(w.ended, w.daemons[:]...) {
		if d == nil {
			continue
		}
		d.Kill()
		for line := range bytes.Lines(d.Log()) {
			if bytes.Contains(line, []byte(`"homes"`)) || bytes.Contains(line, []byte("home lost")) {
				w.record.Add("log of %s: %s", d.Name, bytes.TrimSpace(line))
			}
		}
	}
}
