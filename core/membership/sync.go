package membership

import (
	"net/netip"
	"slices"
	"time"

	"limpetspan/core"
)

// syncer is the state of anti-entropy, the comparison with random daemons.
type syncer struct {
	nextAt      core.Time
	requestedAt core.Time
	// interval is the delay before the next comparison while views differ.
	interval time.Duration
	// seq identifies the last digest request; its reply must carry it.
	seq uint64
	// peer sent the last reply; buckets are those still to be fetched from it.
	peer    netip.AddrPort
	buckets []uint32
	pullAt  core.Time
	// synced is set once this view matched another one, or a comparison after the
	// first found few differences.
	synced      bool
	hasCompared bool
	// datagramTokens is the number of datagrams that may be sent in reply to
	// pulls, as of datagramTokensAt.
	datagramTokens   float64
	datagramTokensAt core.Time
}

const (
	// bucketsPerPull is the number of buckets that one pull requests.
	bucketsPerPull = 6
	// bucketsPerSlowPull is that number for a daemon that has synced.
	bucketsPerSlowPull = 3
	// distributedPullThreshold is the least number of differing buckets that are
	// fetched from many daemons instead of one.
	distributedPullThreshold = 24
	// pullDatagramsPerSecond limits the datagrams that one daemon sends in reply
	// to pulls, so that a zone that restarts cannot overload the others. The next
	// comparison finds what was left unanswered.
	pullDatagramsPerSecond = 60
	// minResyncDelay is the delay before the next comparison after one that found
	// differences; it doubles up to SyncInterval.
	minResyncDelay = 500 * time.Millisecond
	// newcomerAge is the age below which a daemon's view may be incomplete.
	// maxSyncDelay bounds how long queued updates postpone a comparison.
	newcomerAge  = 20 * time.Second
	maxSyncDelay = 10 * time.Second
)

func (s *syncer) wakeAt() core.Time {
	if len(s.buckets) > 0 {
		return min(s.nextAt, s.pullAt)
	}
	return s.nextAt
}

func (r *Reducer) syncTick() {
	s := &r.sync
	if len(s.buckets) > 0 && r.now >= s.pullAt {
		r.pull()
	}
	if r.now < s.nextAt {
		return
	}
	if s.synced && r.hasUpdates() && r.availableBytes() > 0 && r.now < s.requestedAt.Add(maxSyncDelay) {
		// The queued updates probably resolve the present differences.
		s.nextAt = r.now.Add(minResyncDelay)
		return
	}
	s.nextAt = r.now.Add(r.settings.SyncInterval)
	if len(r.live.list) == 0 {
		return
	}
	s.requestedAt = r.now
	r.requestDigest(r.syncPeer().addr)
}

// syncPeer chooses a random daemon, preferably one known long enough to have a
// complete view: compared with a daemon that has just started, everything differs.
func (r *Reducer) syncPeer() *member {
	var m *member
	for range maxPickAttempts {
		m = r.live.list[r.random.IntN(len(r.live.list))]
		if m.State == Alive && r.now.Sub(m.stateSince) > newcomerAge {
			break
		}
	}
	return m
}

// requestDigest asks whether the receiver's view differs.
func (r *Reducer) requestDigest(to netip.AddrPort) *Message {
	r.probe.seq++
	r.sync.seq = r.probe.seq
	m := r.newMessage(to, KindDigest)
	m.Seq = r.sync.seq
	m.Root = r.digest.root()
	return m
}

// handleDigest replies to a request, or handles the reply to its own request.
func (r *Reducer) handleDigest(from netip.AddrPort, m *Message) {
	if len(m.Buckets) == 0 {
		r.replyDigest(from, m)
		return
	}
	s := &r.sync
	if s.seq == 0 || m.Seq != s.seq || len(m.Buckets) != bucketCount {
		return
	}
	s.seq = 0
	s.peer = from
	s.buckets = s.buckets[:0]
	// The next comparison may come before all buckets are fetched, so each starts
	// at a random bucket. A new daemon starts with the daemons, which come first.
	first := 0
	if s.synced {
		first = r.random.IntN(bucketCount)
	}
	for i := range m.Buckets {
		bucket := (first + i) % bucketCount
		if uint32(r.digest.bucketSums[bucket]) != m.Buckets[bucket] {
			s.buckets = append(s.buckets, uint32(bucket))
		}
	}
	s.pullAt = r.now
	// In a small fleet few buckets differ from the start, so the first comparison
	// does not show whether this view is complete.
	s.synced = s.synced || s.hasCompared && len(s.buckets) < distributedPullThreshold
	s.hasCompared = true
	r.scheduleResync(m.Root == r.digest.root())
}

// handleDigestMatch handles the reply that the sender's view was equal.
func (r *Reducer) handleDigestMatch(m *Message) {
	s := &r.sync
	if s.seq == 0 || m.Seq != s.seq {
		return
	}
	s.seq = 0
	s.synced = true
	s.buckets = s.buckets[:0]
	r.scheduleResync(true)
}

// scheduleResync schedules the next comparison: soon while much differs, with a
// growing delay while little does, because queued updates resolve that.
func (r *Reducer) scheduleResync(equal bool) {
	s := &r.sync
	switch {
	case equal:
		s.interval = 0
		s.nextAt = r.now.Add(r.settings.SyncInterval)
		return
	case s.interval == 0 || len(s.buckets) >= distributedPullThreshold:
		s.interval = minResyncDelay
		if !s.synced {
			s.interval = r.settings.PullInterval
		}
	default:
		s.interval = min(2*s.interval, r.settings.SyncInterval)
	}
	interval, buckets := r.pullRate()
	pulls := time.Duration(len(s.buckets)/buckets+1) * interval
	s.nextAt = r.now.Add(pulls + s.interval)
}

func (r *Reducer) replyDigest(from netip.AddrPort, m *Message) {
	root := r.digest.root()
	sender := r.members[m.From]
	if sender != nil && m.Root == root {
		r.newMessage(from, KindDigestMatch).Seq = m.Seq
		return
	}
	reply := r.newMessage(from, KindDigest)
	reply.Seq = m.Seq
	reply.Root = root
	for _, sum := range r.digest.bucketSums {
		reply.Buckets = append(reply.Buckets, uint32(sum))
	}
	reply.Daemons = append(reply.Daemons, r.self.fullUpdate())
	if sender == nil {
		reply.WantRecord = true
	} else {
		r.appendAccusation(reply, sender)
	}
}

// pull requests the next differing buckets. A daemon that lacks nearly everything
// asks a different daemon each time, because all have about the same entries.
func (r *Reducer) pull() {
	s := &r.sync
	interval, buckets := r.pullRate()
	s.pullAt = r.now.Add(interval)
	to := s.peer
	if len(s.buckets) >= distributedPullThreshold && len(r.live.list) >= bucketsPerPull {
		to = r.live.list[r.random.IntN(len(r.live.list))].addr
	}
	m := r.newMessage(to, KindPull)
	done := 0
	for _, bucket := range s.buckets[:min(buckets, len(s.buckets))] {
		p := Pull{Bucket: bucket, Known: r.knownHashes(int(bucket))}
		if p.size() > m.room() {
			if done > 0 {
				break
			}
			p.Known = p.Known[:max(0, (m.room()-(&Pull{Bucket: bucket}).size())/sizeHash)]
		}
		m.Pulls = append(m.Pulls, p)
		done++
	}
	s.buckets = slices.Delete(s.buckets, 0, done)
}

// pullRate returns the time between pulls and the number of buckets in each. A
// new daemon pulls fast, because it cannot serve before it knows the fleet. When
// regions reconnect, all daemons find all buckets different, but updates also
// arrive by gossip, so a slow rate suffices.
func (r *Reducer) pullRate() (interval time.Duration, buckets int) {
	if !r.sync.synced {
		return r.settings.PullInterval, bucketsPerPull
	}
	return r.settings.SlowPullInterval, bucketsPerSlowPull
}

// knownHashes returns the lower halves of the hashes of a bucket's entries.
func (r *Reducer) knownHashes(bucket int) []uint32 {
	var known []uint32
	add := func(hash uint64) {
		if hash != 0 {
			known = append(known, uint32(hash))
		}
	}
	for _, m := range r.digest.daemons.buckets[bucket] {
		add(m.entryHash)
	}
	for _, h := range r.digest.homes.buckets[bucket] {
		add(h.entryHash)
	}
	for _, t := range r.digest.targets.buckets[bucket] {
		add(t.entryHash)
	}
	return known
}
