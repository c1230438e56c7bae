package proxy

import (
	"context"
	"errors"
	"net"
	"os"
	"strconv"
	"time"

	"google.golang.org/protobuf/encoding/protodelim"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/core/pipeline"
	"limpetspan/pkg/proxy/metadata"
	"limpetspan/pkg/proxy/reportpb"
	"limpetspan/pkg/resetconn"
	"limpetspan/platform"
)

// link is an entry's connection to a home for one session. The home serves it like
// the connection of a caller.
type link struct {
	home core.DaemonID
	c    net.Conn
	r    *platform.Reader
	out  []byte
	body []byte
	// requests matches the home's answers to the statements.
	requests pipeline.Requests
	// values and prepared are the session state at the home.
	values   map[string]string
	prepared map[string]preparedStatement
	// commit is the position of the session's last commit that the home knows.
	commit core.Position
	// moveRequested is set once the home has asked the entry to move the session to
	// another home.
	moveRequested bool
}

var errNoHome = errors.New("no home of the group answers")

// connectHome returns the session's link to a home of the group. It opens a new link if
// the current one has been closed or its home has asked for a move. It also does so if the
// current link leads to a daemon that is no longer a home, because that daemon's
// connections to the members add to those of the current homes, or if the session has
// committed elsewhere since, which the home learns only when a link is opened.
func (s *session) connectHome(id core.GroupID, deadline core.Time) (*link, error) {
	team, overflow := s.p.access.teamOf(s.key), s.overflowHome
	defer func() { s.overflowHome = "" }()
	if s.link != nil && s.link.group == id && s.link.isUsable(s) && (s.staysAtOtherHolder() || s.p.homes.mayKeepLink(id, team, s.link.home)) && !s.isLinkOutdated() {
		return s.link.link, nil
	}
	s.closeLink()
	if s.p.homes.health.enabled() {
		return s.connectWatched(id, deadline)
	}
	unknown := 0
	for _, home := range preferHome(s.p.homes.candidates(id, team), overflow) {
		if now() >= deadline {
			break
		}
		l, err := s.dialHome(id, home, deadline, s.asksForSecondPart(id, team, home, overflow))
		if err == nil {
			s.link = &groupLink{group: id, link: l}
			if home == overflow {
				s.link.overflowUntil = now().Add(overflowRetention)
			}
			return l, nil
		}
		s.logDecision("home connect failed", "home", home, "error", err)
		s.p.homes.sessionRefused(home, id, err)
		if isUnknownDatabase(err) {
			unknown++
		}
		if unknown >= maxUnknownDatabase {
			return nil, err
		}
	}
	return nil, errNoHome
}

// isLinkOutdated reports whether the session has committed elsewhere since its link's home has last
// learned of a commit. Reads at that home could lack the session's own commit.
func (s *session) isLinkOutdated() bool {
	committed := s.commits.In(s.link.group).Position
	if s.link.commit == committed {
		return false
	}
	s.p.stats.linksOutdated.Add(1)
	s.logDecision("home link outdated", "home", s.link.home, "known", s.link.commit, "committed", committed)
	return true
}

// maxUnknownDatabase bounds how many homes may answer that they do not know the database,
// before the statement is refused. Such a database has just been added or removed, and all
// daemons have the new configuration within moments.
const maxUnknownDatabase = 2

func isUnknownDatabase(err error) bool {
	var r *linkRefusal
	return errors.As(err, &r) && r.kind == reportpb.Refusal_REFUSAL_DATABASE
}

// linkRefusal is a home's answer that it does not accept a session.
type linkRefusal struct {
	kind reportpb.Refusal
	text string
}

func (r *linkRefusal) Error() string { return r.text }

// groupLink is a link and the group for which it was opened.
type groupLink struct {
	*link
	group core.GroupID
	// overflowUntil is when a session that was moved to the other holder of its team's split limit
	// may move back; 0: it was not moved.
	overflowUntil core.Time
}

func (s *session) closeLink() {
	if s.link != nil {
		_ = s.link.c.Close()
		s.link = nil
	}
}

func (s *session) dialHome(id core.GroupID, home core.DaemonID, deadline core.Time, secondPart bool) (*link, error) {
	timeout := min(homeDialTimeout, until(deadline, minDialTimeout))
	return s.openLink(id, home, dialLink, timeout, secondPart, func() time.Duration { return timeout })
}

// minDialTimeout is the time for opening a link that a statement is given in any case.
const minDialTimeout = 20 * time.Millisecond

// openLink opens a link to a home of the group. secondPart asks for the second part of the team's split limit.
// handshakeTimeout returns the time for the handshake once the connection is there.
func (s *session) openLink(id core.GroupID, home core.DaemonID, dial dialFunc, timeout time.Duration, secondPart bool, handshakeTimeout func() time.Duration) (*link, error) {
	addr, ok := s.p.peers.homeAddr(home)
	if !ok {
		return nil, errNoHome
	}
	c, err := dial(home, addr, timeout)
	if err != nil {
		return nil, err
	}
	l := &link{
		home: home, c: c, r: platform.NewReader(c), values: map[string]string{}, prepared: map[string]preparedStatement{},
		commit: s.commits.In(id).Position,
	}
	if err := l.handshake(s, handshakeTimeout(), secondPart); err != nil {
		_ = c.Close()
		return nil, err
	}
	return l, nil
}

// dialFunc opens a connection to a home.
type dialFunc func(home core.DaemonID, addr string, timeout time.Duration) (net.Conn, error)

// dialLink opens a connection to a home. It is reset when it ends, so that the home cannot receive a
// statement after this entry has abandoned it.
func dialLink(_ core.DaemonID, addr string, timeout time.Duration) (net.Conn, error) {
	c, err := resetconn.Dial(context.Background(), addr, resetconn.Options{Timeout: timeout})
	if err != nil {
		return nil, err
	}
	return c, nil
}

// handshake opens the session at the home.
func (l *link) handshake(s *session, timeout time.Duration, secondPart bool) error {
	_ = l.c.SetDeadline(time.Now().Add(timeout))
	hello := &reportpb.Hello{
		Database: s.database, Entry: string(s.p.settings.Daemon), Term: uint64(l.commit.Term), Lsn: uint64(l.commit.LSN),
		Version: s.p.metadata.Version(), Ip: s.p.settings.IP, KeyFingerprint: s.key[:], SecondPart: secondPart,
		NumberedAnswers: true,
	}
	if _, err := protodelim.MarshalTo(l.c, hello); err != nil {
		return err
	}
	var welcome reportpb.Welcome
	if err := protodelim.UnmarshalFrom(l.r, &welcome); err != nil {
		return err
	}
	if welcome.Refused != "" {
		if welcome.Refusal == reportpb.Refusal_REFUSAL_DATABASE {
			// The home may have a newer configuration, in which the database has been
			// removed.
			addr, _ := s.p.peers.homeAddr(l.home)
			s.p.catchUp(addr, welcome.Version)
		}
		return &linkRefusal{welcome.Refusal, welcome.Refused}
	}
	l.requests = pipeline.NewRequests(welcome.NumberedAnswers)
	return nil
}

// isUsable reports whether the link is open, each statement on it has its answer, and the home has not asked for a
// move. A write that is sent on a link that the home has closed would be reported as in doubt, although it never ran.
func (l *link) isUsable(s *session) bool {
	if l.moveRequested || !l.requests.Idle() {
		return false
	}
	unread, err := l.peekUnread()
	s.reportOutOfTurn(l, unsolicited(unread))
	return err == nil && len(unread) == 0
}

// entryStatementID is the id of statements that the entry itself issues.
const entryStatementID = "entry"

// run updates the session state at the home and runs texts there. The last text is the
// caller's statement, whose answer is returned. sent is false if nothing of that statement
// can have reached the home. With waitToDeadline set, run waits until the deadline even for
// a home that is unresponsive.
func (l *link) run(s *session, id string, texts []string, deadline time.Time, waitToDeadline bool) (a platform.Answer, sent bool, err error) {
	end := s.startSpan("home.link", id, string(l.home))
	defer func() { end(outcomeText(a.Code, err)) }()
	precedingCount, sent, err := l.send(s, id, texts, deadline)
	if err != nil {
		return a, sent, err
	}
	began := now()
	if err := l.awaitAnswer(s, deadline, waitToDeadline); err != nil {
		return a, true, err
	}
	a, err = l.receive(s, precedingCount, began, nil)
	return a, true, err
}

// send sends what run runs. It returns the number of answers that precede that of the caller's
// statement. It sends nothing if an answer has arrived that no statement awaits.
func (l *link) send(s *session, id string, texts []string, deadline time.Time) (precedingCount int, sent bool, err error) {
	if err := l.checkUnread(s); err != nil {
		return 0, false, err
	}
	l.out = l.out[:0]
	precedingCount = l.syncState(s)
	for _, text := range texts[:len(texts)-1] {
		l.out = platform.AppendStatement(l.out, entryStatementID, text, core.Position{})
		precedingCount++
	}
	l.out = platform.AppendStatement(l.out, id, texts[len(texts)-1], core.Position{})
	l.requests.Sent(precedingCount + 1)
	_ = l.c.SetDeadline(deadline)
	n, err := l.c.Write(l.out)
	return precedingCount, n > 0, err
}

// receive reads the answers to what was sent, and returns the last one. It calls ready before each,
// if ready is not nil.
func (l *link) receive(s *session, precedingCount int, began core.Time, ready func()) (a platform.Answer, err error) {
	if ready == nil {
		ready = func() {}
	}
	for range precedingCount {
		ready()
		a, err = l.readAnswer(s)
		if err == nil && a.Code != "" {
			err = errors.New(a.Code + " " + a.Text)
		}
		if err != nil {
			return a, err
		}
	}
	ready()
	a, err = l.readAnswer(s)
	if err == nil {
		s.p.homes.answered(l.home, began)
		if !l.isDecline(&a) && s.p.homes.health.enabled() {
			s.p.homes.health.teamAccepted(l.home, s.p.access.teamOf(s.key))
		}
	}
	return a, err
}

// awaitAnswer waits for the first byte of an answer. It returns an error after homeSilenceTimeout
// if the home has answered nothing else in that time: the home is then unreachable, and
// another one may still serve the statement in time. If the home answers other statements,
// this one is waiting for a member.
//
// An entry may have no other statement at the home, so the home's liveness is checked as
// well. In a fleet of hundreds of daemons each entry sends about one statement a second to
// each home. Without the check, entries would abandon one home after the other while a group's
// members are overloaded. Daemons that are not homes would then use up the members'
// connections, and the overload would sustain itself.
func (l *link) awaitAnswer(s *session, deadline time.Time, waitToDeadline bool) error {
	if _, watched := l.c.(*watchedConn); watched || waitToDeadline || time.Until(deadline) <= homeSilenceTimeout {
		return nil
	}
	sent := now()
	_ = l.c.SetReadDeadline(time.Now().Add(homeSilenceTimeout))
	_, err := l.r.Peek(1)
	_ = l.c.SetReadDeadline(deadline)
	if errors.Is(err, os.ErrDeadlineExceeded) && s.p.isResponsive(l.home, sent) {
		return nil
	}
	return err
}

// checkHome stops using a home for a while if it has answered nothing since a statement was
// sent to it, and a liveness check fails as well.
func (p *Proxy) checkHome(id core.DaemonID, sent core.Time) {
	if !p.isResponsive(id, sent) {
		p.homes.backOffIfUnseen(id, sent)
	}
}

// isResponsive reports whether a home has answered on any link of this daemon since the
// statement was sent, or answers a liveness check now.
func (p *Proxy) isResponsive(id core.DaemonID, sent core.Time) bool {
	return p.homes.seenSince(id, sent) || p.isAlive(id)
}

// isAlive reports whether a daemon answers a request for its configuration. Sessions that check
// the same daemon at the same time share one request.
func (p *Proxy) isAlive(id core.DaemonID) bool {
	addr, ok := p.peers.homeAddr(id)
	if !ok {
		return false
	}
	_, err, _ := p.livenessChecks.Do(string(id), func() (any, error) { return nil, p.metadata.Fetch(addr) })
	// A daemon that is stopping answers that it has no configuration to offer. It is alive.
	alive := err == nil || errors.Is(err, metadata.ErrUnavailable)
	if alive {
		p.homes.markSeen(id)
	}
	return alive
}

// syncState appends the statements that bring the session at the home to the caller's
// values and prepared statements, and returns their number. The home limits the state as the entry
// does, so what frees room comes first: otherwise the state may exceed the limit in between.
func (l *link) syncState(s *session) int {
	n := 0
	for name := range l.prepared {
		if _, ok := s.prepared[name]; !ok {
			l.appendEntryStatement(platform.TextDeallocate(name))
			delete(l.prepared, name)
			n++
		}
	}
	shrinking, growing := l.appendChanges(s, false)
	n += shrinking
	if growing > 0 {
		l.appendChanges(s, true)
	}
	return n + growing
}

// appendChanges appends the changed values and prepared statements, either those that take more room
// than before or the others, and returns the number of changes that it appended and that it left out.
func (l *link) appendChanges(s *session, growing bool) (appended, left int) {
	selects := func(known bool, old, size int) bool {
		if grows := !known || size > old; grows != growing {
			left++
			return false
		}
		appended++
		return true
	}
	for name, value := range s.values {
		old, known := l.values[name]
		if (!known || old != value) && selects(known, len(old), len(value)) {
			l.appendEntryStatement(platform.TextSet(name, value))
			l.values[name] = value
		}
	}
	for name, def := range s.prepared {
		old, known := l.prepared[name]
		if old != def && selects(known, len(old.shape), len(def.shape)) {
			l.appendEntryStatement(platform.TextPrepare(name, def.writes, def.shape))
			l.prepared[name] = def
		}
	}
	return appended, left
}

func (l *link) appendEntryStatement(text string) {
	l.out = platform.AppendStatement(l.out, entryStatementID, text, core.Position{})
}

// serveLink serves a connection of another daemon: a session that it forwards as an entry,
// or a request for the configuration.
func (p *Proxy) serveLink(c net.Conn) {
	s := p.newSession(c)
	s.fromEntry = true
	s.runFromEntry()
}

// welcome returns the answer to an entry that opens a session here. A refusal says whether it
// concerns the daemon, the group or the database.
func (p *Proxy) welcome(hello *reportpb.Hello) *reportpb.Welcome {
	catalog := p.catalog.Load()
	if catalog == nil || p.closing() || !p.access.proofValid() {
		return &reportpb.Welcome{Refused: "not serving", Refusal: reportpb.Refusal_REFUSAL_DAEMON}
	}
	w := &reportpb.Welcome{Version: catalog.Version}
	route, ok := catalog.Routes[hello.Database]
	if !ok {
		w.Refused = "no such database in version " + strconv.FormatUint(catalog.Version, 10)
		w.Refusal = reportpb.Refusal_REFUSAL_DATABASE
		return w
	}
	p.groupForStatement(route.Group)
	switch {
	case p.lacksMembers(route.Group):
		w.Refused, w.Refusal = "no host list yet", reportpb.Refusal_REFUSAL_GROUP
	case p.isCutOff(route.Group):
		w.Refused, w.Refusal = "cut from the primary", reportpb.Refusal_REFUSAL_GROUP
	}
	return w
}

// runFromEntry reads the Hello of another daemon and serves what it asks for.
func (s *session) runFromEntry() {
	s.r = platform.NewReader(s.c)
	_ = s.c.SetReadDeadline(time.Now().Add(startupTimeout))
	var hello reportpb.Hello
	if err := protodelim.UnmarshalFrom(s.r, &hello); err != nil {
		s.end()
		return
	}
	if hello.Configuration {
		// A planned stop waits for sessions, and this connection is not one.
		s.p.removeSession(s)
		s.p.metadata.Serve(s.c, s.r, s.p.stopping.Load)
		return
	}
	s.p.catchUp(s.p.settings.LinkAddr(hello.Ip), hello.Version)
	welcome := s.p.welcome(&hello)
	welcome.NumberedAnswers = hello.NumberedAnswers
	s.answers = pipeline.NewAnswers(hello.NumberedAnswers)
	if _, err := protodelim.MarshalTo(s.c, welcome); err != nil || welcome.Refused != "" {
		s.end()
		return
	}
	_ = s.c.SetReadDeadline(time.Time{})
	s.database = hello.Database
	copy(s.key[:], hello.KeyFingerprint)
	s.secondPart = hello.SecondPart
	s.recordEntryCommit(core.Position{Term: core.Term(hello.Term), LSN: core.LSN(hello.Lsn)})
	s.serveMessages()
}

// recordEntryCommit records the session's last commit, which it made at its entry or at another home.
func (s *session) recordEntryCommit(position core.Position) {
	if position.IsZero() {
		return
	}
	if route, ok := s.p.catalog.Load().Routes[s.database]; ok {
		s.commits.Record(direct.SessionCommit{Group: route.Group, Position: position, At: now()})
	}
}
