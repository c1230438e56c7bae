package proxy

import (
	"cmp"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/pkg/proxy/reportpb"
)

// peers exchanges reports with the other daemons by datagrams.
type peers struct {
	p       *Proxy
	conn    net.PacketConn
	changed chan struct{}

	mu    sync.Mutex
	known map[core.DaemonID]*peer
	// changedGroups are the groups of which something is to be told at once; all says that the
	// whole report is.
	changedGroups map[core.GroupID]bool
	fullReportDue bool
}

type peer struct {
	ip     string
	zone   core.Zone
	weight float64
	addr   *net.UDPAddr
	// lastSeen is when a report of it last came; listed says that the store's list has it,
	// or has had it until unlistedAt, not long ago.
	lastSeen   core.Time
	listed     bool
	unlistedAt core.Time
	// stamp is the newest one that came from the daemon, at stampAt.
	stamp   int64
	stampAt core.Time
}

// maxReportBytes is more than a report of a few hundred groups takes, in bytes.
const maxReportBytes = 32 << 10

func newPeers(p *Proxy) (*peers, error) {
	conn, err := net.ListenPacket("udp4", p.settings.GossipAddr(p.settings.IP))
	if err != nil {
		return nil, err
	}
	return &peers{p: p, conn: conn, changed: make(chan struct{}, 1), known: make(map[core.DaemonID]*peer), changedGroups: make(map[core.GroupID]bool)}, nil
}

// requestFullReport has a whole report sent at once.
func (s *peers) requestFullReport() {
	s.mu.Lock()
	s.fullReportDue = true
	s.mu.Unlock()
	s.notify()
}

// requestGroupReport has a report of the group sent at once. The others of this daemon's groups
// are left out: a home probes each of its groups several times a second, and to repeat
// all of them each time made two thirds of what reports take between zones.
func (s *peers) requestGroupReport(id core.GroupID) {
	s.mu.Lock()
	s.changedGroups[id] = true
	s.mu.Unlock()
	s.notify()
}

func (s *peers) notify() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// updateListed takes the store's list of daemons.
func (s *peers) updateListed(entries map[core.DaemonID]daemonEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := now()
	for id, k := range s.known {
		if _, ok := entries[id]; !ok {
			k.markUnlisted(at)
		}
	}
	for id, e := range entries {
		if k := s.ensurePeer(id, e.IP); k != nil {
			k.zone, k.weight, k.listed, k.unlistedAt = e.Zone, e.Weight, true, 0
		}
	}
}

// expireUnlisted ends the time for which daemons count that the list has lost, and says whether any
// has gone by that.
func (s *peers) expireUnlisted(at core.Time) (gone bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.known {
		if k.listed && k.unlistedAt != 0 {
			k.markUnlisted(at)
			gone = gone || !k.listed
		}
	}
	return gone
}

// markUnlisted takes that the store's list lacks the daemon. It may only be cut from the
// store: when half of a fleet was, the other half chose all homes anew, and again when
// the list was whole; daemons that were no homes any more and new ones filled the
// members with connections, and one request of twenty was refused for ten seconds.
func (k *peer) markUnlisted(at core.Time) {
	if k.listed && k.unlistedAt == 0 {
		k.unlistedAt = at
	}
	k.listed = k.listed && at.Sub(k.unlistedAt) < unlistedRetention
}

// ensurePeer returns the daemon's record, a new one if it was not known at that
// address; nil for this daemon itself. The lock is held.
func (s *peers) ensurePeer(id core.DaemonID, ip string) *peer {
	if id == s.p.settings.Daemon {
		return nil
	}
	k := s.known[id]
	if k != nil && k.ip == ip {
		return k
	}
	addr, err := net.ResolveUDPAddr("udp4", s.p.settings.GossipAddr(ip))
	if err != nil {
		s.p.log.Error("address of a daemon is malformed", "daemon", id, "ip", ip, "error", err.Error())
		return nil
	}
	k = &peer{ip: ip, addr: addr, lastSeen: now()}
	s.known[id] = k
	return k
}

// seenRecently says whether a report of the daemon has come lately: two of three may be lost.
func (s *peers) seenRecently(id core.DaemonID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.known[id]
	return k != nil && now().Sub(k.lastSeen) < 2*reportInterval
}

// homeAddr is where the daemon takes sessions of entries.
func (s *peers) homeAddr(id core.DaemonID) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.known[id]
	if k == nil {
		return "", false
	}
	return s.p.settings.LinkAddr(k.ip), true
}

// daemons are all that are known by their ids, this one included. In a fleet in which reports
// reach everyone, one that sends none has gone; in a larger one the list tells.
func (s *peers) daemons() []direct.Daemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	at := now()
	large := s.isLargeFleet()
	list := []direct.Daemon{{ID: s.p.settings.Daemon, Zone: s.p.settings.Zone, Weight: s.p.settings.Weight}}
	for id, k := range s.known {
		fresh := at.Sub(k.lastSeen) <= peerRetention
		if !fresh && !k.listed {
			delete(s.known, id)
		}
		if fresh || large && k.listed {
			list = append(list, direct.Daemon{ID: id, Zone: k.zone, Weight: k.weight})
		}
	}
	slices.SortFunc(list, func(a, b direct.Daemon) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// isLargeFleet says whether reports do not reach all daemons of the fleet. The lock is held.
func (s *peers) isLargeFleet() bool {
	n := 1
	for _, k := range s.known {
		if k.listed {
			n++
		}
	}
	return !direct.IsSmallFleet(max(n, int(s.p.homes.lastChosenSize.Load())))
}

// recipient is a daemon to report to.
type recipient struct {
	addr    *net.UDPAddr
	stamp   int64
	stampAt core.Time
	// groups are those on which it is to be told.
	groups []core.GroupID
}

// recipients are the daemons to report to on the groups: all in a small fleet, and in a larger
// one for each group its other homes.
func (s *peers) recipients(groups []core.GroupID) []recipient {
	partners := s.p.homes.sharedGroups(groups)
	s.mu.Lock()
	defer s.mu.Unlock()
	large := s.isLargeFleet()
	var targets []recipient
	for _, id := range slices.Sorted(maps.Keys(s.known)) {
		k := s.known[id]
		t := recipient{k.addr, k.stamp, k.stampAt, groups}
		if large {
			t.groups = partners[id]
		}
		if !large || len(t.groups) > 0 {
			targets = append(targets, t)
		}
	}
	return targets
}

// run reports at intervals, and at once when something has changed.
func (s *peers) run() {
	timer := time.NewTicker(reportInterval)
	defer timer.Stop()
	for s.p.running() {
		select {
		case <-s.p.done:
			return
		case <-timer.C:
			s.sendFullReport()
		case <-s.changed:
			time.Sleep(minReportInterval)
			s.sendChanges()
		}
	}
}

// sendFullReport reports on all groups.
func (s *peers) sendFullReport() {
	if s.p.homes.allAreHomes() {
		// A small fleet learns by reports who has come and gone, a large one from the list.
		s.p.homes.update()
	}
	s.takeChanges()
	s.sendReport(s.p.activeGroups())
}

// sendReport sends a whole report, which introduces this daemon as well.
func (s *peers) sendReport(groups []*group) {
	s.send(groups, &reportpb.Report{
		Ip: s.p.settings.IP, Zone: string(s.p.settings.Zone), Weight: s.p.settings.Weight, Leaving: s.p.stopping.Load(),
	})
}

// sendChanges reports what has changed since the last report.
func (s *peers) sendChanges() {
	news, all := s.takeChanges()
	if all {
		s.sendReport(s.p.activeGroups())
		return
	}
	groups := slices.DeleteFunc(s.p.activeGroups(), func(g *group) bool { return !news[g.id] })
	if len(groups) > 0 {
		s.send(groups, &reportpb.Report{})
	}
}

// takeChanges returns the news and forgets them.
func (s *peers) takeChanges() (news map[core.GroupID]bool, all bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	news, all = s.changedGroups, s.fullReportDue
	s.changedGroups, s.fullReportDue = make(map[core.GroupID]bool), false
	return news, all
}

// send completes the report with the groups and sends it to all who are to have it.
//
// The stamps are those from before the groups were looked at. A process that is frozen,
// or out of its quota, between looking and sending would otherwise date what it saw by
// the time of sending: the receiver would take a sample for younger than it is, and
// its reads would miss commits, or a lease for longer.
func (s *peers) send(groups []*group, m *reportpb.Report) {
	ids := make([]core.GroupID, 0, len(groups))
	for _, g := range groups {
		ids = append(ids, g.id)
	}
	targets, began := s.recipients(ids), now()
	m.Daemon = string(s.p.settings.Daemon)
	reports := make(map[core.GroupID]*reportpb.Group, len(groups))
	for _, g := range groups {
		here, n := s.p.homes.ownRole(g.id)
		g.mu.Lock()
		g.core.SetHomes(n, here)
		r := g.core.Report(now())
		g.mu.Unlock()
		reports[g.id] = encodeReport(&r)
	}
	for _, t := range targets {
		m.Groups = m.Groups[:0]
		for _, id := range t.groups {
			m.Groups = append(m.Groups, reports[id])
		}
		t.addTimestamps(m, began)
		s.sendTo(t, m)
	}
}

// addTimestamps puts a stamp on the report for the receiver to send back, and the receiver's own
// with the time since it came: that dates what the report says on the receiver's clock.
// began is a moment before anything in the report was looked at, and after the
// receiver's stamp came.
func (t *recipient) addTimestamps(m *reportpb.Report, began core.Time) {
	m.Stamp, m.Echo = int64(began), t.stamp
	m.EchoAgeUs = uint64(max(0, began.Sub(t.stampAt)) / time.Microsecond)
}

func encodeReport(r *direct.Report) *reportpb.Group {
	out := &reportpb.Group{
		Group: string(r.Group), Primary: string(r.Primary), PrimaryStarted: r.PrimaryStarted, Term: uint64(r.Term), Suspect: r.Suspect, Claiming: r.Claiming, Ordered: uint64(r.OrderedTerm), Successor: string(r.Successor),
		// Rounded down: a lease must not look longer than it is.
		LeaseLeftUs: uint64(r.LeaseRemaining / time.Microsecond),
		LoadPercent: uint32(100 * r.Load), LoadAgeUs: microseconds(r.LoadAge),
		SampleTerm: uint64(r.Sample.Term), SampleLsn: uint64(r.Sample.LSN), SampleAgeUs: microseconds(r.SampleAge),
	}
	if r.TermStart.Term == r.Term && r.Term != 0 {
		out.BeganLsn = proto.Uint64(uint64(r.TermStart.LSN))
	}
	if r.PrimarySeen {
		out.LedAgeUs = proto.Uint64(microseconds(r.PrimarySeenAge))
	}
	for _, m := range r.Members {
		out.Members = append(out.Members, &reportpb.Member{
			Member: string(m.Member), Started: m.Started, Open: uint32(m.OpenConns), Confirmed: uint64(m.ConfirmedTerm), AgeUs: microseconds(m.ConfirmationAge),
		})
	}
	return out
}

// microseconds rounds up: what is reported must not look younger than it is.
func microseconds(d time.Duration) uint64 {
	return uint64((d + time.Microsecond - 1) / time.Microsecond)
}

// maxReportedAge is more than any age in a report is of use, a minute. Longer ones count as
// this long: a number that exceeds the range of a time would become a moment to come,
// and a confirmation from then a lease without end.
const maxReportedAge = time.Minute

func decodeAge(us uint64) time.Duration {
	return time.Duration(min(us, uint64(maxReportedAge/time.Microsecond))) * time.Microsecond
}

func decodeReport(g *reportpb.Group) direct.Report {
	r := direct.Report{
		Group: core.GroupID(g.Group), Primary: core.MemberID(g.Primary), PrimaryStarted: g.PrimaryStarted, Term: core.Term(g.Term),
		Suspect: g.Suspect, Claiming: g.Claiming, OrderedTerm: core.Term(g.Ordered), Successor: core.MemberID(g.Successor), LeaseRemaining: decodeAge(g.LeaseLeftUs),
		Load: float64(g.LoadPercent) / 100, LoadAge: decodeAge(g.LoadAgeUs),
		Sample:    core.Position{Term: core.Term(g.SampleTerm), LSN: core.LSN(g.SampleLsn)},
		SampleAge: decodeAge(g.SampleAgeUs),
	}
	if g.BeganLsn != nil {
		r.TermStart = core.Position{Term: r.Term, LSN: core.LSN(*g.BeganLsn)}
	}
	if g.LedAgeUs != nil {
		r.PrimarySeen, r.PrimarySeenAge = true, decodeAge(*g.LedAgeUs)
	}
	for _, m := range g.Members {
		r.Members = append(r.Members, direct.MemberReport{
			Member: core.MemberID(m.Member), Started: m.Started, OpenConns: int(m.Open), ConfirmedTerm: core.Term(m.Confirmed),
			ConfirmationAge: decodeAge(m.AgeUs),
		})
	}
	return r
}

// sendTo sends the report to one daemon.
func (s *peers) sendTo(t recipient, m *reportpb.Report) {
	data, err := proto.Marshal(m)
	if err != nil || len(data) > maxReportBytes {
		s.p.log.Error("report cannot be sent", "bytes", len(data), "error", errorText(err))
		return
	}
	if _, err := s.conn.WriteTo(data, t.addr); err != nil {
		s.p.stats.reportsUnsent.Add(1)
	}
}

// receive takes the others' reports until the connection is closed.
func (s *peers) receive() {
	buf := make([]byte, maxReportBytes)
	for {
		n, _, err := s.conn.ReadFrom(buf)
		if err != nil {
			if !s.p.running() {
				return
			}
			s.p.stats.reportsUnsent.Add(1)
			time.Sleep(minReportInterval)
			continue
		}
		var m reportpb.Report
		if err := proto.Unmarshal(buf[:n], &m); err != nil || m.Daemon == "" {
			s.p.stats.reportsMalformed.Add(1)
			continue
		}
		s.handleReport(&m)
	}
}

func (s *peers) handleReport(m *reportpb.Report) {
	from := core.DaemonID(m.Daemon)
	if from == s.p.settings.Daemon {
		return
	}
	s.updateSender(from, m)
	var sent core.Time
	if m.Echo != 0 {
		sent = core.Time(m.Echo).Add(decodeAge(m.EchoAgeUs))
	}
	for _, r := range m.Groups {
		g := s.p.existingGroup(core.GroupID(r.Group))
		if g == nil {
			continue
		}
		g.update(func(c *direct.Group, at core.Time) []direct.Effect {
			return c.PeerReported(at, min(sent, at), from, decodeReport(r))
		})
	}
}

// updateSender keeps the sender's address and stamp. A stamp that is older than the one
// that is kept came late; it would still be a true moment, but a worse one.
func (s *peers) updateSender(from core.DaemonID, m *reportpb.Report) {
	if m.Leaving {
		s.mu.Lock()
		delete(s.known, from)
		s.mu.Unlock()
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.known[from]
	if m.Ip != "" {
		if k = s.ensurePeer(from, m.Ip); k != nil {
			k.zone, k.weight = core.Zone(m.Zone), m.Weight
		}
	}
	// A report on news alone does not introduce its sender.
	if k != nil {
		k.lastSeen, k.stamp, k.stampAt = now(), m.Stamp, now()
	}
}
