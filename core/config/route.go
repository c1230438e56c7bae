package config

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"limpetspan/core"
)

// NoBucket is the bucket of a statement that no take-over affects.
const NoBucket = -1

// Bucket returns the bucket of a record key.
func Bucket(key string, buckets int) int {
	return int(xxhash.Sum64String(key) % uint64(buckets))
}

// Route describes where a statement runs under one revision.
type Route struct {
	Group core.GroupID
	// Bucket is the record's bucket while a take-over of the kind is active, else
	// NoBucket.
	Bucket int
	// Durable and MaxStaleness are the declared defaults, see Kind.
	Durable      bool
	MaxStaleness time.Duration
	// Revision is the revision that determined the route.
	Revision Revision
}

// Route returns the group that serves a statement. An error is one of
// *UnknownKindError, *NoDefaultGroupError, *VersionNotInServiceError,
// *KeyMissingError and *FencedError, and the statement must not run then.
//
// While a take-over is active, a bucket is entirely on one side, so the record's
// side also determines which schema versions are in service for it.
func (d *Document) Route(kind, version, key string, write bool) (Route, error) {
	if kind == "" {
		return d.defaultRoute()
	}
	k := d.Kinds[kind]
	if k == nil {
		return Route{}, &UnknownKindError{Kind: kind}
	}
	r := Route{Group: k.Group, Bucket: NoBucket, Durable: k.Durable, MaxStaleness: k.MaxStaleness, Revision: d.Revision}
	t := d.Takeovers[kind]
	if t == nil || !t.Active() {
		return r, k.checkVersion(kind, version, t.excludedVersion(k.Group))
	}
	return d.takeoverRoute(r, k, t, statement{kind, version, key, write})
}

type statement struct {
	kind, version, key string
	write              bool
}

func (d *Document) defaultRoute() (Route, error) {
	g := d.Groups[d.DefaultGroup]
	if g == nil {
		return Route{}, &NoDefaultGroupError{}
	}
	return Route{Group: d.DefaultGroup, Bucket: NoBucket, Durable: g.Durable, Revision: d.Revision}, nil
}

func (d *Document) takeoverRoute(r Route, k *Kind, t *Takeover, s statement) (Route, error) {
	if s.key == "" {
		return Route{}, &KeyMissingError{Kind: s.kind}
	}
	r.Bucket = Bucket(s.key, t.Buckets)
	other := t.DestinationVersion
	r.Group = t.SourceGroup
	if HasBit(t.Flipped, r.Bucket) {
		other = t.SourceVersion
		r.Group = t.DestinationGroup
	}
	if t.SourceVersion == t.DestinationVersion {
		other = ""
	}
	if err := k.checkVersion(s.kind, s.version, other); err != nil {
		return Route{}, err
	}
	if s.write && HasBit(t.Fenced, r.Bucket) {
		return Route{}, &FencedError{Kind: s.kind, Bucket: r.Bucket, Revision: d.Revision}
	}
	return r, nil
}

// excludedVersion returns the version of the side of a planned or ended take-over
// that does not own the records, if there is one. Both versions stay declared until
// the operator retires one. Without this check a statement in the version of the
// side without the records would reach the other side's tables and fail because a
// table is missing or, worse, use one of the same name.
func (t *Takeover) excludedVersion(owner core.GroupID) string {
	switch {
	case t == nil || t.SourceVersion == t.DestinationVersion:
		return ""
	case owner == t.DestinationGroup:
		return t.SourceVersion
	case owner == t.SourceGroup:
		return t.DestinationVersion
	}
	return ""
}

// checkVersion rejects a version that is not in service, or that belongs to the
// other side of a take-over. An empty version is not checked.
func (k *Kind) checkVersion(kind, version, other string) error {
	if version == "" || len(k.Versions) == 0 {
		return nil
	}
	if version != other && slices.Contains(k.Versions, version) {
		return nil
	}
	in := slices.DeleteFunc(slices.Clone(k.Versions), func(v string) bool { return v == other })
	return &VersionNotInServiceError{Kind: kind, Version: version, InService: in}
}

// HasBit reports whether a bit set contains n; bits beyond its end are clear.
func HasBit(set []byte, n int) bool {
	return n>>3 < len(set) && set[n>>3]&(1<<(n&7)) != 0
}

// WithBits returns a copy of a bit set, with size bits, in which the given bits are
// set or cleared.
func WithBits(set []byte, size int, value bool, bits ...int) []byte {
	next := make([]byte, (size+7)/8)
	copy(next, set)
	for _, n := range bits {
		if value {
			next[n>>3] |= 1 << (n & 7)
		} else {
			next[n>>3] &^= 1 << (n & 7)
		}
	}
	return next
}
