package proxy

import (
	"cmp"
	"maps"
	"math"
	"net"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/core/policy"
	"limpetspan/pkg/proxy/reportpb"
)

// peers exchanges reports on groups with other daemons, by datagrams.
type peers struct {
	p    *Proxy
	conn net.PacketConn
	// changed signals that a report is due before the end of the interval.
	changed chan struct{}

	mu    sync.Mutex
	known map[core.DaemonID]*peer
	// changedGroups are the groups with a change that is to be reported at once. fullReportDue is
	// set if a full report is to be sent at once.
	changedGroups map[core.GroupID]bool
	fullReportDue bool
}

// peer is another daemon.
type peer struct {
	ip     string
	zone   core.Zone
	weight float64
	// burden is that of the daemon's entry in the store.
	burden direct.Burden
	addr   *net.UDPAddr
	// lastSeen is when its last report was received.
	lastSeen core.Time
	// listed is set if the store's list contains the daemon, or contained it until unlistedAt, less
	// than unlistedRetention ago. unlistedAt is 0 if the list contains it.
	listed     bool
	unlistedAt core.Time
	// stamp is the timestamp in its last report, on its own clock. The report was received at
	// stampAt.
	stamp   direct.Stamp
	stampAt core.Time
	// echoFault is that of its last report.
	echoFault direct.EchoFault
}

// maxReportBytes bounds a report. A report of a few hundred groups is smaller.
const maxReportBytes = 32 << 10

func newPeers(p *Proxy) (*peers, error) {
	conn, err := net.ListenPacket("udp4", p.settings.GossipAddr(p.settings.IP))
	if err != nil {
		return nil, err
	}
	return &peers{p: p, conn: conn, changed: make(chan struct{}, 1), known: make(map[core.DaemonID]*peer), changedGroups: make(map[core.GroupID]bool)}, nil
}

// requestFullReport requests that a full report be sent at once.
func (s *peers) requestFullReport() {
	s.mu.Lock()
	s.fullReportDue = true
	s.mu.Unlock()
	s.notify()
}

// requestGroupReport requests that a report of the group be sent at once, without the daemon's other
// groups. A home probes each of its groups several times per second. When each of these reports
// contained all groups, they were two thirds of the report traffic between zones.
func (s *peers) requestGroupReport(id core.GroupID) {
	s.mu.Lock()
	s.changedGroups[id] = true
	s.mu.Unlock()
	s.notify()
}

// notify wakes run without waiting for it.
func (s *peers) notify() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// updateListed applies the store's list of daemons.
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
			k.zone, k.weight, k.burden, k.listed, k.unlistedAt = e.Zone, e.Weight, e.Burden, true, 0
		}
	}
}

// expireUnlisted removes the listed state from daemons that have been missing from the store's list
// for unlistedRetention, and reports whether there were any.
func (s *peers) expireUnlisted(at core.Time) (expired bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, k := range s.known {
		if k.listed && k.unlistedAt != 0 {
			k.markUnlisted(at)
			expired = expired || !k.listed
		}
	}
	return expired
}

// markUnlisted records that the store's list lacks the daemon, which then counts as listed for
// unlistedRetention more, as it may be running and merely cut off from the store. Without this delay,
// when half of a fleet was cut off, the other half chose all homes again, and once more when the list
// was complete. Former and new homes together used up the members' connections, and one request in
// twenty was refused for ten seconds.
func (k *peer) markUnlisted(at core.Time) {
	if k.listed && k.unlistedAt == 0 {
		k.unlistedAt = at
	}
	k.listed = k.listed && at.Sub(k.unlistedAt) < unlistedRetention
}

// ensurePeer returns the daemon's record. It creates a new one if the daemon was not known at that
// address, and returns nil for this daemon itself or a malformed address. The lock is held.
func (s *peers) ensurePeer(id core.DaemonID, ip string) *peer {
	if id == s.p.settings.Daemon {
		return nil
	}
	k := s.known[id]
	if k != nil && k.ip == ip {
		return k
	}
	addr := s.gossipAddr(ip)
	if addr == nil {
		s.p.stats.reportsMalformed.Add(1)
		return nil
	}
	k = &peer{ip: ip, addr: addr, lastSeen: now()}
	s.known[id] = k
	return k
}

// seenRecently reports whether a report of the daemon was received within two intervals, as single
// reports may be lost.
func (s *peers) seenRecently(id core.DaemonID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.known[id]
	return k != nil && now().Sub(k.lastSeen) < 2*reportInterval
}

// homeAddr returns the address at which the daemon accepts sessions from entries, false if it is
// unknown.
func (s *peers) homeAddr(id core.DaemonID) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.known[id]
	if k == nil {
		return "", false
	}
	return s.p.settings.LinkAddr(k.ip), true
}

// ip returns the daemon's IP address, "" if it is unknown.
func (s *peers) ip(id core.DaemonID) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if k := s.known[id]; k != nil {
		return k.ip
	}
	return ""
}

// daemons returns all known daemons including this one, sorted by ID. In a small fleet, where
// reports are sent to all daemons, a daemon counts while its reports arrive. In a large fleet it also
// counts while it is listed. A daemon whose reports do not arrive and that is not listed is forgotten.
func (s *peers) daemons() []direct.Daemon {
	own, _ := s.p.view.daemonList().entry(s.p.settings.Daemon)
	s.mu.Lock()
	defer s.mu.Unlock()
	at := now()
	large := s.isLargeFleet()
	list := []direct.Daemon{{ID: s.p.settings.Daemon, Zone: s.p.settings.Zone, Weight: s.p.settings.Weight, Burden: own.Burden}}
	for id, k := range s.known {
		fresh := at.Sub(k.lastSeen) <= peerRetention
		if !fresh && !k.listed {
			delete(s.known, id)
		}
		if fresh || large && k.listed {
			list = append(list, direct.Daemon{ID: id, Zone: k.zone, Weight: k.weight, Burden: k.burden})
		}
	}
	if !s.p.policy.Has(policy.HomesByLoad) {
		for i := range list {
			list[i].Burden = 0
		}
	}
	slices.SortFunc(list, func(a, b direct.Daemon) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// isLargeFleet reports whether the fleet is so large that reports are not sent to all its daemons.
// The lock is held.
func (s *peers) isLargeFleet() bool {
	n := 1
	for _, k := range s.known {
		if k.listed {
			n++
		}
	}
	return !direct.IsSmallFleet(max(n, int(s.p.homes.lastChosenSize.Load())))
}

// recipient is a daemon that receives a report, with the last timestamp received from it.
type recipient struct {
	addr    *net.UDPAddr
	stamp   direct.Stamp
	stampAt core.Time
	// groups are the groups that its report contains.
	groups []core.GroupID
}

// recipients returns the daemons that receive reports on the groups: in a small fleet all daemons, in
// a large one each group's other homes.
func (s *peers) recipients(groups []core.GroupID) []recipient {
	shared := s.p.homes.sharedGroups(groups)
	s.mu.Lock()
	defer s.mu.Unlock()
	large := s.isLargeFleet()
	var list []recipient
	for _, id := range slices.Sorted(maps.Keys(s.known)) {
		k := s.known[id]
		to := recipient{k.addr, k.stamp, k.stampAt, groups}
		if large {
			to.groups = shared[id]
		}
		if !large || len(to.groups) > 0 {
			list = append(list, to)
		}
	}
	return list
}

// run sends a full report at each interval, and changes at once.
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

// sendFullReport sends the periodic report on all groups in use.
func (s *peers) sendFullReport() {
	if s.p.homes.allAreHomes() {
		// A small fleet notices new and lost daemons by their reports, a large one by the list.
		s.p.homes.update()
	}
	s.takeChanges()
	s.sendReport(s.p.activeGroups())
}

// sendReport sends a full report, which also contains this daemon's address, zone and weight.
func (s *peers) sendReport(groups []*group) {
	s.send(groups, &reportpb.Report{
		Ip: s.p.settings.IP, Zone: string(s.p.settings.Zone), Weight: s.p.settings.Weight, Leaving: s.p.stopping.Load(),
	})
}

// sendChanges sends the reports that were requested since the last report.
func (s *peers) sendChanges() {
	changed, full := s.takeChanges()
	if full {
		s.sendReport(s.p.activeGroups())
		return
	}
	groups := slices.DeleteFunc(s.p.activeGroups(), func(g *group) bool { return !changed[g.id] })
	if len(groups) > 0 {
		s.send(groups, &reportpb.Report{})
	}
}

// takeChanges returns the requested reports and clears the requests.
func (s *peers) takeChanges() (changed map[core.GroupID]bool, full bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changed, full = s.changedGroups, s.fullReportDue
	s.changedGroups, s.fullReportDue = make(map[core.GroupID]bool), false
	return changed, full
}

// send adds the groups to the report and sends it to its recipients.
//
// The timestamps are taken before the state of the groups is read. A process may be frozen or
// throttled between reading and sending. If the state were dated by the time of sending, the
// receiver would think that a sample is younger than it is, and its reads would miss commits, or
// that a lease lasts longer than it does.
func (s *peers) send(groups []*group, m *reportpb.Report) {
	ids := make([]core.GroupID, 0, len(groups))
	for _, g := range groups {
		ids = append(ids, g.id)
	}
	recipients, began := s.recipients(ids), now()
	m.Daemon, m.Boot = string(s.p.settings.Daemon), s.p.boot
	reports := make(map[core.GroupID]*reportpb.Group, len(groups))
	for _, g := range groups {
		isHome, homes := s.p.homes.ownRole(g.id)
		severalHomes, unevenHosts := s.p.homes.sharesLoad(g.id)
		g.mu.Lock()
		g.core.SetHomes(homes, isHome)
		sharing := severalHomes && (unevenHosts || g.core.HasUnevenMembers())
		changed := g.core.SetSharedLoad(sharing)
		r := g.core.Report(now())
		g.mu.Unlock()
		reports[g.id] = encodeReport(&r)
		if changed {
			s.p.log.Info("placement by the load of all homes", "group", g.id, "on", sharing, "homes", homes, "uneven_hosts", unevenHosts)
		}
	}
	for _, to := range recipients {
		m.Groups = m.Groups[:0]
		for _, id := range to.groups {
			m.Groups = append(m.Groups, reports[id])
		}
		to.addTimestamps(m, began)
		s.sendTo(to, m)
	}
}

// addTimestamps adds this daemon's timestamp, which the receiver sends back, and the receiver's last
// timestamp with the time since it was received. With these the receiver dates the content of the
// report on its own clock. began is a time before anything in the report was read and after the
// receiver's timestamp was received.
func (r *recipient) addTimestamps(m *reportpb.Report, began core.Time) {
	m.Stamp, m.Echo, m.EchoBoot = int64(began), int64(r.stamp.At), r.stamp.Boot
	m.EchoAgeUs = uint64(max(0, began.Sub(r.stampAt)) / time.Microsecond)
}

func encodeReport(r *direct.Report) *reportpb.Group {
	out := &reportpb.Group{
		Group: string(r.Group), Primary: string(r.Primary), PrimaryStarted: r.PrimaryStarted, Term: uint64(r.Term), Suspect: r.Suspect, Claiming: r.Claiming, Ordered: uint64(r.OrderedTerm), Successor: string(r.Successor),
		// This is rounded down, as a lease must not seem longer than it is.
		LeaseLeftUs: uint64(r.LeaseRemaining / time.Microsecond),
		LoadPercent: uint32(100 * r.Load), LoadAgeUs: microseconds(r.LoadAge),
		SampleTerm: uint64(r.Sample.Term), SampleLsn: uint64(r.Sample.LSN), SampleAgeUs: microseconds(r.SampleAge),
		SharesLoad: r.SharesLoad,
	}
	if r.TermStart.Term == r.Term && r.Term != 0 {
		out.BeganLsn = proto.Uint64(uint64(r.TermStart.LSN))
	}
	if r.PrimarySeen {
		out.LedAgeUs = proto.Uint64(microseconds(r.PrimarySeenAge))
	}
	for _, m := range r.Members {
		member := &reportpb.Member{
			Member: string(m.Member), Started: m.Started, Open: uint32(m.OpenConns), Confirmed: uint64(m.ConfirmedTerm), AgeUs: microseconds(m.ConfirmationAge),
		}
		if r.SharesLoad {
			member.RunningPercent = proto.Uint32(uint32(math.Round(100 * m.Running)))
		}
		out.Members = append(out.Members, member)
	}
	return out
}

// microseconds rounds up, as what is reported must not seem younger than it is.
func microseconds(d time.Duration) uint64 {
	return uint64((d + time.Microsecond - 1) / time.Microsecond)
}

// maxReportedAge bounds the ages in a received report. No greater age is useful. A number beyond the
// range of time.Duration would otherwise become a time in the future, and a confirmation dated in
// the future would give a lease that does not end.
const maxReportedAge = direct.MaxEchoAge

// maxRunningPercent bounds the reported number of statements on a member: no member has more slots
// than a few thousand, and a greater number is an error of the sender.
const maxRunningPercent = 100 * 4096

func decodeAge(us uint64) time.Duration {
	return time.Duration(min(us, uint64(maxReportedAge/time.Microsecond))) * time.Microsecond
}

func decodeReport(g *reportpb.Group) direct.Report {
	r := direct.Report{
		Group: core.GroupID(g.Group), Primary: core.MemberID(g.Primary), PrimaryStarted: g.PrimaryStarted, Term: core.Term(g.Term),
		Suspect: g.Suspect, Claiming: g.Claiming, OrderedTerm: core.Term(g.Ordered), Successor: core.MemberID(g.Successor), LeaseRemaining: decodeAge(g.LeaseLeftUs),
		Load: float64(g.LoadPercent) / 100, LoadAge: decodeAge(g.LoadAgeUs),
		Sample:    core.Position{Term: core.Term(g.SampleTerm), LSN: core.LSN(g.SampleLsn)},
		SampleAge: decodeAge(g.SampleAgeUs), SharesLoad: g.SharesLoad,
	}
	if g.BeganLsn != nil {
		r.TermStart = core.Position{Term: r.Term, LSN: core.LSN(*g.BeganLsn)}
	}
	if g.LedAgeUs != nil {
		r.PrimarySeen, r.PrimarySeenAge = true, decodeAge(*g.LedAgeUs)
	}
	for _, m := range g.Members {
		r.SharesLoad = r.SharesLoad || m.RunningPercent != nil
		r.Members = append(r.Members, direct.MemberReport{
			Member: core.MemberID(m.Member), Started: m.Started, OpenConns: int(m.Open), ConfirmedTerm: core.Term(m.Confirmed),
			ConfirmationAge: decodeAge(m.AgeUs), Running: float64(min(m.GetRunningPercent(), maxRunningPercent)) / 100,
		})
	}
	return r
}

// sendTo sends the report to one daemon.
func (s *peers) sendTo(to recipient, m *reportpb.Report) {
	data, err := proto.Marshal(m)
	if err != nil || len(data) > maxReportBytes {
		s.p.log.Error("report cannot be encoded or is too large", "bytes", len(data), "error", errorText(err))
		return
	}
	if _, err := s.conn.WriteTo(data, to.addr); err != nil {
		s.p.stats.reportsUnsent.Add(1)
	}
}

// maxWaitingReports bounds the received reports that wait to be handled. Further ones wait in the
// socket.
const maxWaitingReports = 32

// receive handles reports of other daemons until the connection is closed. Reports are handled in a
// goroutine of their own, as they wait for locks of groups. Liveness checks must be answered meanwhile,
// or this daemon would be taken for lost.
func (s *peers) receive() {
	reports, handled := make(chan *reportpb.Report, maxWaitingReports), make(chan struct{})
	go func() {
		defer close(handled)
		for m := range reports {
			s.handleReport(m)
		}
	}()
	defer func() {
		close(reports)
		<-handled
	}()
	buf := make([]byte, maxReportBytes)
	for {
		n, from, err := s.conn.ReadFrom(buf)
		if err != nil {
			if !s.p.running() {
				return
			}
			s.p.stats.reportsUnsent.Add(1)
			time.Sleep(minReportInterval)
			continue
		}
		var m reportpb.Report
		if err := proto.Unmarshal(buf[:n], &m); err != nil || !isName(m.Daemon) {
			s.p.stats.reportsMalformed.Add(1)
			continue
		}
		if s.handleProbe(&m, from) {
			continue
		}
		reports <- &m
	}
}

// handleReport records the sender and passes each group's report to the group, if it is in use here.
func (s *peers) handleReport(m *reportpb.Report) {
	from := core.DaemonID(m.Daemon)
	if from == s.p.settings.Daemon {
		return
	}
	s.updateSender(from, m)
	// sent is a time, on this daemon's clock, before the content of the report was read; 0 if none is
	// known.
	echo := decodeEcho(m)
	sent, fault := echo.SentAt(now(), direct.Process{Boot: s.p.boot, StartedAt: s.p.startedAt})
	s.recordEchoFault(from, echo, fault)
	for _, r := range m.Groups {
		g := s.p.existingGroup(core.GroupID(r.Group))
		if g == nil {
			continue
		}
		if !hasPlausibleTerms(r) {
			s.p.stats.reportsMalformed.Add(1)
			continue
		}
		g.update(func(c *direct.Group, at core.Time) []direct.Effect {
			report := decodeReport(r)
			if !c.IsPlausible(&report) {
				s.p.stats.reportsMalformed.Add(1)
			}
			return c.PeerReported(at, sent, from, report)
		})
	}
}

// decodeEcho returns the report's echo. A sender that names its own boot is of a version that sends
// back the boot of a stamp.
func decodeEcho(m *reportpb.Report) direct.Echo {
	return direct.Echo{Stamp: direct.Stamp{Boot: m.EchoBoot, At: core.Time(m.Echo)}, Age: decodeAge(m.EchoAgeUs), NamesBoot: m.Boot != 0}
}

// recordEchoFault counts a report that its echo does not date, and logs the first of several from a
// known sender.
func (s *peers) recordEchoFault(from core.DaemonID, e direct.Echo, fault direct.EchoFault) {
	if fault != "" {
		s.p.stats.reportsUndated.Add(string(fault), 1)
	}
	s.mu.Lock()
	k := s.known[from]
	changed := k != nil && k.echoFault != fault
	if changed {
		k.echoFault = fault
	}
	s.mu.Unlock()
	if changed && fault != "" {
		s.p.log.Info("report not dated", "peer", from, "reason", fault, "echo", e.At, "echo_boot", e.Boot, "boot", s.p.boot, "now", now())
	}
}

// updateSender records the sender's address and timestamp, or removes a sender that is leaving.
// Reports may arrive out of order. A timestamp that is older than the previous one is valid, too: the
// sender only dates the content of this daemon's next report earlier than necessary.
func (s *peers) updateSender(from core.DaemonID, m *reportpb.Report) {
	if m.Leaving {
		s.mu.Lock()
		delete(s.known, from)
		s.mu.Unlock()
		s.p.homes.health.replaced(from)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	k := s.known[from]
	if m.Ip != "" {
		if k = s.ensurePeer(from, m.Ip); k != nil {
			if isName(m.Zone) {
				k.zone = core.Zone(m.Zone)
			}
			if direct.IsValidWeight(m.Weight) && m.Weight <= maxHostWeight {
				k.weight = m.Weight
			}
		}
	}
	// A report of changes has no address, so its sender may be unknown.
	if k != nil {
		k.lastSeen, k.stamp, k.stampAt = now(), direct.Stamp{Boot: m.Boot, At: core.Time(m.Stamp)}, now()
	}
}
