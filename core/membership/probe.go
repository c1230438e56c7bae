package membership

import (
	"net/netip"
	"slices"
	"time"

	"limpetspan/core"
)

// prober is the state of failure detection.
type prober struct {
	nextAt core.Time
	seq    uint64
	// order is the shuffled order of the current round, position the next index.
	order    []*member
	position int
	// verify holds the members that another daemon remembers as dead.
	verify  []verification
	pending []pendingProbe
	// healthPenalty is 0 while probes succeed and rises with each failure. It
	// lengthens the probe timeouts, as the fault may be on this daemon's side.
	healthPenalty int
}

type verification struct {
	member      *member
	incarnation uint64
}

// pendingProbe is a probe that waits for an acknowledgment.
type pendingProbe struct {
	seq    uint64
	target *member
	// indirectAt is when helpers are asked; zero if they are not, or no longer.
	indirectAt core.Time
	deadline   core.Time
	// requester receives the acknowledgment under requesterSeq. It is set for a
	// probe on behalf of another daemon, whose failure raises no suspicion here.
	requester    netip.AddrPort
	requesterSeq uint64
	// confirm is set after the suspicion timeout: if the probe fails, the target
	// is declared dead.
	confirm bool
}

func (p *pendingProbe) wakeAt() core.Time {
	if p.indirectAt != 0 {
		return p.indirectAt
	}
	return p.deadline
}

const (
	// maxPending bounds the outstanding probes, including those for other daemons.
	maxPending = 64
	// maxVerify bounds the deaths to be verified.
	maxVerify = 256
	// verifyPerProbe is the number of verification probes per regular probe.
	verifyPerProbe = 2
	// confirmPerProbe is the number of suspects probed a last time per regular
	// probe.
	confirmPerProbe = 4
	// maxHealthPenalty bounds the lengthening of the probe timeouts.
	maxHealthPenalty = 3
)

func (r *Reducer) probeTick() {
	p := &r.probe
	for i := 0; i < len(p.pending); {
		if r.handleDeadlines(&p.pending[i]) {
			p.pending = slices.Delete(p.pending, i, i+1)
			continue
		}
		i++
	}
	if r.now < p.nextAt {
		return
	}
	p.nextAt = r.now.Add(r.settings.ProbeInterval)
	for range verifyPerProbe {
		if m := r.nextVerify(); m != nil {
			r.ping(m, false)
		}
	}
	if m := r.nextProbe(); m != nil {
		r.ping(m, false)
	}
	r.confirmTick()
}

// handleDeadlines handles the deadlines of one probe and reports whether the
// probe has ended.
func (r *Reducer) handleDeadlines(p *pendingProbe) bool {
	if p.indirectAt != 0 && r.now >= p.indirectAt {
		p.indirectAt = 0
		r.requestIndirectProbes(p)
	}
	if r.now < p.deadline {
		return false
	}
	if !p.requester.IsValid() {
		r.probe.healthPenalty = min(maxHealthPenalty, r.probe.healthPenalty+1)
		r.handleProbeFailure(p.target, p.confirm)
	}
	return true
}

// nextProbe returns the next member of the round, or nil if there is none.
func (r *Reducer) nextProbe() *member {
	p := &r.probe
	for range 2 {
		for p.position < len(p.order) {
			m := p.order[p.position]
			p.position++
			if m.liveIndex >= 0 {
				return m
			}
		}
		p.order = append(p.order[:0], r.live.list...)
		r.random.Shuffle(len(p.order), func(i, j int) { p.order[i], p.order[j] = p.order[j], p.order[i] })
		p.position = 0
	}
	return nil
}

func (r *Reducer) nextVerify() *member {
	p := &r.probe
	for len(p.verify) > 0 {
		v := p.verify[0]
		p.verify = slices.Delete(p.verify, 0, 1)
		if v.member.liveIndex >= 0 && v.member.Incarnation <= v.incarnation {
			return v.member
		}
	}
	return nil
}

// ping probes a live member.
func (r *Reducer) ping(m *member, confirm bool) {
	timeoutFactor := time.Duration(1 + r.probe.healthPenalty)
	p := pendingProbe{
		target:     m,
		indirectAt: r.now.Add(timeoutFactor * r.settings.AckTimeout),
		deadline:   r.now.Add(timeoutFactor * r.settings.ProbeTimeout),
		confirm:    confirm,
	}
	r.sendPing(m, p)
}

func (r *Reducer) sendPing(m *member, p pendingProbe) {
	if len(r.probe.pending) >= maxPending {
		return
	}
	r.probe.seq++
	p.seq = r.probe.seq
	r.probe.pending = append(r.probe.pending, p)
	msg := r.newMessage(m.addr, KindPing)
	msg.Seq = p.seq
	msg.Target = m.ID
	r.appendAccusation(msg, m)
	r.appendUpdates(msg)
}

// appendAccusation adds the receiver's recorded state if it is suspect or dead,
// so that a wrongly accused daemon learns of it at once and refutes it.
func (r *Reducer) appendAccusation(msg *Message, m *member) {
	if m.State == Suspect || m.State == Dead {
		msg.Daemons = append(msg.Daemons, m.stateUpdate())
	}
}

func (r *Reducer) requestIndirectProbes(p *pendingProbe) {
	var chosen [8]*member
	helpers := r.chooseHelpers(chosen[:0], p.target)
	for _, h := range helpers {
		msg := r.newMessage(h.addr, KindPingRequest)
		msg.Seq = p.seq
		msg.Target = p.target.ID
		r.appendUpdates(msg)
	}
}

// chooseHelpers prefers daemons in zones other than this daemon's and different
// from one another. A helper in the same zone would share the broken path that it
// has to rule out.
func (r *Reducer) chooseHelpers(dst []*member, target *member) []*member {
	want := min(r.settings.Helpers, cap(dst))
	const tries = 8
	for try := 0; try < want*tries && len(dst) < want && len(r.live.list) > 0; try++ {
		m := r.live.list[r.random.IntN(len(r.live.list))]
		if m == target || m.State == Suspect || slices.Contains(dst, m) {
			continue
		}
		strict := try < want*tries/2
		if strict && (m.Zone == r.self.Zone || slices.ContainsFunc(dst, func(o *member) bool { return o.Zone == m.Zone })) {
			continue
		}
		dst = append(dst, m)
	}
	return dst
}

// handlePing acknowledges a probe addressed to this daemon. A new process at the
// address of a dead daemon must not acknowledge for it.
func (r *Reducer) handlePing(from netip.AddrPort, m *Message) {
	if m.Target != r.self.ID {
		return
	}
	ack := r.newMessage(from, KindAck)
	ack.Seq = m.Seq
	ack.Target = r.self.ID
	sender := r.members[m.From]
	if sender == nil {
		ack.WantRecord = true
	} else {
		r.appendAccusation(ack, sender)
	}
	if r.isAccused {
		ack.Daemons = append(ack.Daemons, r.self.stateUpdate())
	}
	r.appendUpdates(ack)
}

// handleAck ends a probe. The sequence number is unpredictable to others and must
// belong to the target, so an old or forged acknowledgment has no effect.
func (r *Reducer) handleAck(m *Message) {
	p := &r.probe
	i := slices.IndexFunc(p.pending, func(o pendingProbe) bool {
		return o.seq == m.Seq && o.target.ID == m.Target
	})
	if i < 0 {
		return
	}
	done := p.pending[i]
	p.pending = slices.Delete(p.pending, i, i+1)
	if done.target.State == Suspect {
		done.target.stateSince = r.now // restarts the suspicion timeout
	}
	if !done.requester.IsValid() {
		r.probe.healthPenalty = max(0, r.probe.healthPenalty-1)
		return
	}
	ack := r.newMessage(done.requester, KindAck)
	ack.Seq = done.requesterSeq
	ack.Target = m.Target
	r.appendUpdates(ack)
}

// handlePingRequest probes a daemon on behalf of another one.
func (r *Reducer) handlePingRequest(from netip.AddrPort, m *Message) {
	target := r.members[m.Target]
	if m.Target == r.self.ID || target == nil || r.members[m.From] == nil {
		return
	}
	r.sendPing(target, pendingProbe{
		target:       target,
		deadline:     r.now.Add(r.settings.ProbeTimeout),
		requester:    from,
		requesterSeq: m.Seq,
	})
}
