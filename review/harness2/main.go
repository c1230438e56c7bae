// Command review-2 runs the cases of the second review that are scripts. It starts the daemons as
// processes and plays the consumers, the members and the platform itself.
//
// Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNoRun  = 2
)

// timeLimit ends a case that takes too long.
const timeLimit = 115 * time.Second

// world is what one run of a case uses.
type world struct {
	rec     *record
	store   *store
	groups  []*group
	daemons []*daemon
	dir     string
	// trouble is set unless the case is run without its disruption.
	trouble bool
	broken  []string
}

// breaks records that a rule was broken.
func (w *world) breaks(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.broken = append(w.broken, text)
	w.rec.note("BROKEN: %s", text)
}

var cases = map[string]func(w *world) error{}

func main() { os.Exit(play()) }

func play() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: review-2 CASE FOLDER")
		return exitNoRun
	}
	runCase, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		return exitNoRun
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNoRun
	}
	w := &world{rec: rec, dir: dir, trouble: os.Getenv("TROUBLE") != "0", store: newStore(rec)}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	done := make(chan error, 1)
	go func() { done <- runCase(w) }()
	select {
	case err = <-done:
	case <-interrupted:
		err = fmt.Errorf("interrupted")
	case <-time.After(timeLimit):
		err = fmt.Errorf("the case took longer than %v", timeLimit)
	}
	for _, d := range w.daemons {
		d.end()
	}
	code := exitHeld
	switch {
	case len(w.broken) > 0:
		code = exitBroken
	case err != nil:
		code = exitNoRun
	}
	rec.note("exit %d, trouble %v, error %v", code, w.trouble, err)
	if keep := os.Getenv("KEEP_LOGS"); keep == "" {
		_ = os.RemoveAll(dir)
	} else {
		fmt.Println("logs:", dir)
	}
	if err := rec.close(); err != nil {
		fmt.Fprintln(os.Stderr, err)
	}
	for _, b := range w.broken {
		fmt.Println("broken:", b)
	}
	if err != nil {
		fmt.Println("error:", err)
	}
	return code
}

// addGroup starts a group of three members.
func (w *world) addGroup(name string) (*group, error) {
	g, err := newGroup(name, 3, w.rec)
	if err != nil {
		return nil, err
	}
	w.groups = append(w.groups, g)
	return g, g.register(w.store)
}

// startDaemons starts n daemons and waits until all are ready.
func (w *world) startDaemons(n int, o daemonOptions) error {
	port, err := freePorts()
	if err != nil {
		return err
	}
	for i := range n {
		d, err := newDaemon(w.dir, i, port, w.store, o, w.rec)
		if err != nil {
			return err
		}
		w.daemons = append(w.daemons, d)
	}
	for _, d := range w.daemons {
		if err := d.start(); err != nil {
			return err
		}
	}
	for _, d := range w.daemons {
		if !until(20*time.Second, d.isReady) {
			return fmt.Errorf("%s is not ready after 20 s", d.name)
		}
	}
	w.rec.note("all daemons are ready")
	return nil
}

// until waits until the condition holds, and returns false if it does not within the time.
func until(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}

// route is a route of the configuration.
func route(host, kind, service string) map[string]any {
	return map[string]any{
		"name": "r-" + host, "host": host, "type": kind, "service": service, "timeout_ms": 800, "latency_goal_ms": 250,
		"priority": 1, "max_staleness_ms": 1500,
	}
}

// configuration returns a configuration with these routes and all services.
func (w *world) configuration(version int, routes []map[string]any) map[string]any {
	var services []map[string]any
	for _, g := range w.groups {
		services = append(services, map[string]any{"name": g.name, "max_conns": maxConns, "sync_replicas": 0})
	}
	return map[string]any{"version": version, "routes": routes, "services": services, "limits": map[string]any{"tx_idle_ms": 3000}}
}

// configure writes a configuration. It returns when the store has acknowledged it.
func (w *world) configure(c map[string]any) error { return w.store.put("op/config", c) }

// await waits until a session at the daemon serves a read of the database.
func (w *world) await(d *daemon, startup string) error {
	ok := until(15*time.Second, func() bool {
		x, err := connect("probe", d, startup, nil)
		if err != nil {
			return false
		}
		defer x.close()
		return x.query("probe", "READ probe").ok()
	})
	if !ok {
		return fmt.Errorf("%s does not serve %q", d.name, startup)
	}
	return nil
}
