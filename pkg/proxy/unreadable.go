package proxy

import (
	"expvar"
	"strconv"
	"sync"
	"time"

	"limpetspan/core"
	"limpetspan/core/mirror"
	"limpetspan/platform"
)

// Limits of the log lines about items of the store that cannot be decoded.
const (
	// maxUnreadablePerSecond bounds these lines: another writer may repeat its item, or write thousands.
	maxUnreadablePerSecond = 10
	// maxUnreadableKeys bounds the keys whose revision is remembered.
	maxUnreadableKeys = 1024
)

// unreadableItems records items of the store, and parts of them, that this daemon cannot decode. Each
// revision of an item is counted and logged once.
type unreadableItems struct {
	p *Proxy
	// counts are the numbers of items by kind.
	counts expvar.Map

	mu          sync.Mutex
	reported    map[string]mirror.Revision
	windowStart core.Time
	logged      int
}

func newUnreadableItems(p *Proxy) *unreadableItems {
	return &unreadableItems{p: p, reported: make(map[string]mirror.Revision)}
}

// report records an item of the kind that cannot be decoded.
func (u *unreadableItems) report(kind string, item platform.Item, err error) {
	first, log := u.observe(item, now())
	if first {
		u.counts.Add(kind, 1)
	}
	switch {
	case log:
		u.p.log.Error(kind+" cannot be read", "key", strconv.QuoteToASCII(boundText(item.Key)), "revision", item.Revision, "error", boundText(err.Error()))
	case first:
		u.p.stats.logLinesDropped.Add(1)
	}
}

// observe reports whether this revision of the item is new, and whether it may be logged.
func (u *unreadableItems) observe(item platform.Item, at core.Time) (first, log bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if revision, ok := u.reported[item.Key]; ok && revision == item.Revision {
		return false, false
	}
	if len(u.reported) >= maxUnreadableKeys {
		clear(u.reported)
	}
	u.reported[item.Key] = item.Revision
	if at.Sub(u.windowStart) >= time.Second {
		u.windowStart, u.logged = at, 0
	}
	u.logged++
	return true, u.logged <= maxUnreadablePerSecond
}
