package membership

import (
	"net/netip"
	"slices"
)

// handlePull sends the entries that the sender lacks. They go to the address in
// the sender's record, never to the source address of the datagram: that could
// be forged to flood a third host.
func (r *Reducer) handlePull(from netip.AddrPort, m *Message) {
	sender := r.members[m.From]
	if sender == nil {
		r.newMessage(from, KindUpdate).WantRecord = true
		return
	}
	r.refillDatagramTokens()
	p := pullResponse{reducer: r, to: sender.addr}
	for i := range m.Pulls[:min(len(m.Pulls), bucketsPerPull)] {
		r.sendBucket(&p, &m.Pulls[i])
	}
}

func (r *Reducer) refillDatagramTokens() {
	s := &r.sync
	elapsed := max(0, r.now.Sub(s.datagramTokensAt))
	s.datagramTokensAt = r.now
	s.datagramTokens = min(pullDatagramsPerSecond, s.datagramTokens+elapsed.Seconds()*pullDatagramsPerSecond)
}

func (r *Reducer) sendBucket(p *pullResponse, pull *Pull) {
	bucket := int(pull.Bucket)
	missing := func(hash uint64) bool { return hash != 0 && !slices.Contains(pull.Known, uint32(hash)) }
	for _, m := range r.digest.daemons.buckets[bucket] {
		switch {
		case m.State == Dead:
			u := m.stateUpdate()
			u.Remembered = true
			p.appendDaemon(u)
		case missing(m.entryHash):
			p.appendDaemon(m.fullUpdate())
		}
	}
	for _, h := range r.digest.homes.buckets[bucket] {
		if missing(h.entryHash) {
			p.appendEntry(h)
		}
	}
	for _, t := range r.digest.targets.buckets[bucket] {
		if missing(t.entryHash) {
			p.appendEntry(t)
		}
	}
}

// pullResponse writes entries to as many datagrams as the rate limit allows.
type pullResponse struct {
	reducer *Reducer
	to      netip.AddrPort
	message *Message
	room    int
}

// reserve makes room for an entry. It reports false if no further datagram is
// allowed.
func (p *pullResponse) reserve(size int) bool {
	if p.message != nil && p.room >= size {
		return true
	}
	if p.reducer.sync.datagramTokens < 1 {
		return false
	}
	p.reducer.sync.datagramTokens--
	p.message = p.reducer.newMessage(p.to, KindEntries)
	p.room = p.message.room()
	return true
}

func (p *pullResponse) appendDaemon(u DaemonUpdate) {
	if !p.reserve(u.size()) {
		return
	}
	p.message.Daemons = append(p.message.Daemons, u)
	p.room -= u.size()
}

func (p *pullResponse) appendEntry(e viewEntry) {
	if !p.reserve(maxUpdateBytes) {
		return
	}
	used, _ := e.appendTo(p.message, p.room, p.reducer.now)
	p.room -= used
}

// maxUpdateBytes bounds the size of an update about a home or a target.
const maxUpdateBytes = 32 + 3*MaxNameBytes
