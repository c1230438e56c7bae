package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"limpetspan/core"
)

const (
	// VersionWindow is the time that VersionUses covers, at least.
	VersionWindow = time.Minute
	// maxVersions bounds what is counted: callers may name any version of a
	// kind that declares none.
	maxVersions = 4096
)

// VersionUse counts the requests of one schema version.
type VersionUse struct {
	Kind, Version string
	Requests      int64
}

type versionKey struct{ kind, version string }

// versionCount counts in two halves of time: the present and the one before.
type versionCount struct{ current, previous atomic.Int64 }

// versions counts requests by kind and version.
type versions struct {
	counts  sync.Map // versionKey -> *versionCount
	size    atomic.Int64
	rotated atomic.Int64
}

func (v *versions) count(kind, version string, now core.Time) {
	if version == "" {
		return
	}
	v.rotate(now)
	key := versionKey{kind, version}
	c, ok := v.counts.Load(key)
	if !ok {
		if v.size.Load() >= maxVersions {
			return
		}
		var loaded bool
		if c, loaded = v.counts.LoadOrStore(key, &versionCount{}); !loaded {
			v.size.Add(1)
		}
	}
	c.(*versionCount).current.Add(1)
}

// rotate makes the present half the one before when it is over.
func (v *versions) rotate(now core.Time) {
	last := v.rotated.Load()
	if now.Sub(core.Time(last)) < VersionWindow || !v.rotated.CompareAndSwap(last, int64(now)) {
		return
	}
	v.counts.Range(func(key, value any) bool {
		c := value.(*versionCount)
		c.previous.Store(c.current.Swap(0))
		if c.previous.Load() == 0 {
			v.counts.Delete(key)
			v.size.Add(-1)
		}
		return true
	})
}

// VersionUses returns the requests of the last window by kind and version.
func (e *Entry) VersionUses() []VersionUse {
	e.versions.rotate(e.options.Now())
	var uses []VersionUse
	e.versions.counts.Range(func(key, value any) bool {
		k, c := key.(versionKey), value.(*versionCount)
		if n := c.current.Load() + c.previous.Load(); n > 0 {
			uses = append(uses, VersionUse{Kind: k.kind, Version: k.version, Requests: n})
		}
		return true
	})
	return uses
}
