package membership

import (
	"net/netip"
	"slices"
)

// pulled sends the entries that the sender lacks. They go to the address in
// the sender's record, never to the source of the datagram, which anybody can
// forge to have a third host flooded.
func (r *Reducer) pulled(from netip.AddrPort, m *Message) {
	sender := r.members[m.From]
	if sender == nil {
		r.message(from, KindNews).WantRecord = true
		return
	}
	r.refillPages()
	p := pager{reducer: r, to: sender.addr}
	for i := range m.Pulls[:min(len(m.Pulls), pullBuckets)] {
		r.sendBucket(&p, &m.Pulls[i])
	}
}

func (r *Reducer) refillPages() {
	s := &r.sync
	elapsed := max(0, r.now.Sub(s.pagesAt))
	s.pagesAt = r.now
	s.pages = min(pagesPerSecond, s.pages+elapsed.Seconds()*pagesPerSecond)
}

func (r *Reducer) sendBucket(p *pager, pull *Pull) {
	bucket := int(pull.Bucket)
	missing := func(sum uint64) bool { return sum != 0 && !slices.Contains(pull.Known, uint32(sum)) }
	for _, m := range r.digest.daemons.buckets[bucket] {
		switch {
		case m.State == Dead:
			u := m.short()
			u.Remembered = true
			p.daemon(u)
		case missing(m.sum):
			p.daemon(m.full())
		}
	}
	for _, h := range r.digest.homes.buckets[bucket] {
		if missing(h.sum) {
			p.add(h)
		}
	}
	for _, t := range r.digest.targets.buckets[bucket] {
		if missing(t.sum) {
			p.add(t)
		}
	}
}

// pager spreads entries over as many datagrams as are allowed.
type pager struct {
	reducer *Reducer
	to      netip.AddrPort
	message *Message
	room    int
}

// page makes room for an entry; false: no datagram is left.
func (p *pager) page(size int) bool {
	if p.message != nil && p.room >= size {
		return true
	}
	if p.reducer.sync.pages < 1 {
		return false
	}
	p.reducer.sync.pages--
	p.message = p.reducer.message(p.to, KindEntries)
	p.room = p.message.room()
	return true
}

func (p *pager) daemon(u DaemonUpdate) {
	if !p.page(u.size()) {
		return
	}
	p.message.Daemons = append(p.message.Daemons, u)
	p.room -= u.size()
}

func (p *pager) add(e entry) {
	if !p.page(maxNewsSize) {
		return
	}
	used, _ := e.addTo(p.message, p.room, p.reducer.now)
	p.room -= used
}

// maxNewsSize bounds the size of news of homes and targets.
const maxNewsSize = 32 + 3*MaxName
