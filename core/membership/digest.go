package membership

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// The entries of a view are divided into buckets by the hash of their names, so
// that two views locate their differences by comparing one number per bucket.
const (
	daemonBuckets      = 80
	homeBuckets        = 80
	targetBuckets      = 8
	homeBucketOffset   = daemonBuckets
	targetBucketOffset = daemonBuckets + homeBuckets
	bucketCount        = daemonBuckets + homeBuckets + targetBuckets
)

// digest summarizes the view. The value of a bucket is the sum of its entries'
// hashes, which does not depend on their order.
type digest struct {
	bucketSums [bucketCount]uint64
	daemons    bucketTable[*member]
	homes      bucketTable[*home]
	targets    bucketTable[*target]
}

// bucketTable lists the entries of each bucket.
type bucketTable[T comparable] struct {
	buckets map[int][]T
}

func (t *bucketTable[T]) add(bucket int, e T) {
	if t.buckets == nil {
		t.buckets = map[int][]T{}
	}
	t.buckets[bucket] = append(t.buckets[bucket], e)
}

func (t *bucketTable[T]) remove(bucket int, e T) {
	list := t.buckets[bucket]
	if i := slices.Index(list, e); i >= 0 {
		t.buckets[bucket] = slices.Delete(list, i, i+1)
	}
}

// replaceHash replaces an entry's hash in the sum of its bucket.
func (d *digest) replaceHash(bucket int, old *uint64, hash uint64) {
	d.bucketSums[bucket] += hash - *old
	*old = hash
}

// root returns the hash of all bucket sums.
func (d *digest) root() uint64 {
	var bytes [8 * bucketCount]byte
	for i, s := range d.bucketSums {
		binary.LittleEndian.PutUint64(bytes[8*i:], s)
	}
	return xxhash.Sum64(bytes[:])
}

func (m *member) bucket() int { return int(m.nameHash % daemonBuckets) }
func (h *home) bucket() int   { return homeBucketOffset + int(h.nameHash%homeBuckets) }
func (t *target) bucket() int { return targetBucketOffset + int(t.nameHash%targetBuckets) }

// hashVersion hashes an entry's name hash and version; the result is never zero.
func hashVersion(values ...uint64) uint64 {
	var h uint64
	for _, v := range values {
		h = mix(h*31 + v)
	}
	return h | 1
}

// updateDigest updates a daemon's contribution to the digest. Dead daemons
// contribute nothing, because each daemon removes them at its own time. A
// suspicion is too short-lived to be compared.
func (r *Reducer) updateDigest(m *member) {
	var hash uint64
	if m.State != Dead {
		var leaving uint64
		if m.State == Leaving {
			leaving = 1
		}
		hash = hashVersion(m.nameHash, m.Incarnation, leaving, uint64(m.recordHash))
	}
	r.digest.replaceHash(m.bucket(), &m.entryHash, hash)
}

// updateHomeDigest leaves out homes of groups that this daemon's configuration
// does not contain, because setGroups removes them.
func (r *Reducer) updateHomeDigest(h *home) {
	var hash uint64
	_, configured := r.groups[h.Group]
	if configured || r.groups == nil {
		var released uint64
		if h.Released {
			released = 1
		}
		hash = hashVersion(h.nameHash, uint64(h.Term), hashName(string(h.Daemon)), released)
	}
	r.digest.replaceHash(h.bucket(), &h.entryHash, hash)
}

func (r *Reducer) updateTargetDigest(t *target) {
	var leaving uint64
	if t.Leaving {
		leaving = 1
	}
	r.digest.replaceHash(t.bucket(), &t.entryHash, hashVersion(t.nameHash, t.Version, leaving))
}

func (r *Reducer) removeMember(m *member) {
	m.cancelBroadcast()
	r.dead.set(m, false)
	r.digest.replaceHash(m.bucket(), &m.entryHash, 0)
	r.digest.daemons.remove(m.bucket(), m)
	delete(r.members, m.ID)
}

func (r *Reducer) removeHome(h *home) {
	h.cancelBroadcast()
	r.digest.replaceHash(h.bucket(), &h.entryHash, 0)
	r.digest.homes.remove(h.bucket(), h)
	delete(r.homes, h.Group)
}

func (r *Reducer) removeTarget(t *target) {
	t.cancelBroadcast()
	r.digest.replaceHash(t.bucket(), &t.entryHash, 0)
	r.digest.targets.remove(t.bucket(), t)
	delete(r.targets, t.Addr)
}
