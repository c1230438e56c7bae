package proxy

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"limpetspan/core"
)

// dependencyLogInterval is the least time between two log lines about a dependency that stays lost.
const dependencyLogInterval = 5 * time.Second

// dependencies logs when the use of a dependency begins to fail, why it still fails, and when it
// succeeds again.
type dependencies struct {
	log hclog.Logger

	mu   sync.Mutex
	lost map[string]*loss
}

// loss is a series of failures without a success.
type loss struct {
	since, loggedAt core.Time
	failures        int
}

func newDependencies(log hclog.Logger) *dependencies {
	return &dependencies{log: log, lost: make(map[string]*loss)}
}

// report records the outcome of a use of the dependency, nil if it succeeded. The reason of a failure
// may change while the dependency stays lost, so the current one is logged from time to time.
func (d *dependencies) report(name string, at core.Time, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.lost[name]
	switch {
	case err == nil && l != nil:
		delete(d.lost, name)
		d.log.Info("dependency regained", "dependency", name, "lost_ms", at.Sub(l.since).Milliseconds(), "failures", l.failures)
	case err != nil && l == nil:
		d.lost[name] = &loss{since: at, loggedAt: at, failures: 1}
		d.log.Warn("dependency lost", "dependency", name, "error", boundText(err.Error()))
	case err != nil:
		l.failures++
		if at.Sub(l.loggedAt) >= dependencyLogInterval {
			l.loggedAt = at
			d.log.Warn("dependency still lost", "dependency", name, "lost_ms", at.Sub(l.since).Milliseconds(), "failures", l.failures, "error", boundText(err.Error()))
		}
	}
}

// isLost reports whether the last use of the dependency failed.
func (d *dependencies) isLost(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.lost[name] != nil
}
