package proxy

import (
	"bufio"
	"errors"
	"net"
	"os"
	"strconv"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/encoding/protodelim"

	"limpetspan/core"
	"limpetspan/pkg/proxy/metadata"
	"limpetspan/pkg/proxy/reportpb"
	"limpetspan/platform"
)

// link is an entry's connection to a home, for one session. The home runs the
// session as if the caller were there.
type link struct {
	home core.DaemonID
	c    net.Conn
	r    *bufio.Reader
	out  []byte
	body []byte
	// values and prepared are what the home's session has.
	values   map[string]string
	prepared map[string]preparedStatement
	// leaving is set once the home has said that it stops.
	moveRequested bool
}

var errNoHome = errors.New("no home of the group answers")

// connect returns the session's link to a home of the group, a new one if the
// old one has ended or its home is leaving. A daemon that is no home any more is
// left as well: its connections to members come on top of the present homes'.
func (s *session) connectHome(id core.GroupID, deadline core.Time) (*link, error) {
	team := s.p.access.teamOf(s.key)
	if s.link != nil && s.link.group == id && s.link.isUsable() && s.p.homes.mayKeepLink(id, team, s.link.home) {
		return s.link.link, nil
	}
	s.closeLink()
	unknown := 0
	for _, home := range s.p.homes.candidates(id, team) {
		if now() >= deadline {
			break
		}
		l, err := s.dialHome(home, deadline)
		if err == nil {
			s.link = &groupLink{group: id, link: l}
			return l, nil
		}
		s.logDecision("home", "home", home, "error", err)
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

// mostUnknown homes are asked for a database that they do not have: it has just been
// removed, or added, and all daemons know within a moment.
const maxUnknownDatabase = 2

func isUnknownDatabase(err error) bool {
	var r *linkRefusal
	return errors.As(err, &r) && r.kind == reportpb.Refusal_REFUSAL_DATABASE
}

// refusal is a home's answer that it does not take a session.
type linkRefusal struct {
	kind reportpb.Refusal
	text string
}

func (r *linkRefusal) Error() string { return r.text }

// groupLink is the link with the group for which it was opened.
type groupLink struct {
	*link
	group core.GroupID
}

func (s *session) closeLink() {
	if s.link != nil {
		_ = s.link.c.Close()
		s.link = nil
	}
}

func (s *session) dialHome(home core.DaemonID, deadline core.Time) (*link, error) {
	addr, ok := s.p.peers.homeAddr(home)
	if !ok {
		return nil, errNoHome
	}
	timeout := min(homeDialTimeout, until(deadline, 20*time.Millisecond))
	c, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, err
	}
	l := &link{home: home, c: c, r: bufio.NewReaderSize(c, 1024), values: map[string]string{}, prepared: map[string]preparedStatement{}}
	if err := l.handshake(s, timeout); err != nil {
		_ = c.Close()
		return nil, err
	}
	return l, nil
}

func (l *link) handshake(s *session, timeout time.Duration) error {
	_ = l.c.SetDeadline(time.Now().Add(timeout))
	hello := &reportpb.Hello{
		Database: s.database, Entry: string(s.p.settings.Daemon), Term: uint64(s.lastCommit.Term), Lsn: uint64(s.lastCommit.LSN),
		Version: s.p.metadata.Version(), Ip: s.p.settings.IP, KeyFingerprint: s.key[:],
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
			// The database has been removed in a configuration that this entry lacks.
			addr, _ := s.p.peers.homeAddr(l.home)
			s.p.catchUp(addr, welcome.Version)
		}
		return &linkRefusal{welcome.Refusal, welcome.Refused}
	}
	return nil
}

// usable says whether the home still holds the link and has not said that it
// stops: a statement that is sent to a home which has closed the link may count
// as lost although it never ran.
func (l *link) isUsable() bool {
	if l.moveRequested || l.r.Buffered() > 0 {
		return false
	}
	sc, ok := l.c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		idle = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && idle
}

// linkID is the id of statements that the entry sends for itself.
const entryStatementID = "entry"

// run brings the home's session to the caller's state and runs texts, the last
// of which is the caller's statement; its answer is returned. sent is false if
// nothing of that statement can have reached the home. toDeadline waits to the deadline
// also for a home that answers nobody.
func (l *link) run(s *session, id string, texts []string, deadline time.Time, waitToDeadline bool) (a platform.Answer, sent bool, err error) {
	end := s.startSpan("home.link", id, string(l.home))
	defer func() { end(outcomeText(a.Code, err)) }()
	l.out = l.out[:0]
	precedingCount := l.syncState(s)
	for _, text := range texts[:len(texts)-1] {
		l.out = platform.AppendStatement(l.out, entryStatementID, text, core.Position{})
		precedingCount++
	}
	l.out = platform.AppendStatement(l.out, id, texts[len(texts)-1], core.Position{})
	_ = l.c.SetDeadline(deadline)
	if n, err := l.c.Write(l.out); err != nil {
		return a, n > 0, err
	}
	if err := l.awaitAnswer(s, deadline, waitToDeadline); err != nil {
		return a, true, err
	}
	for range precedingCount {
		a, err = l.readAnswer()
		if err == nil && a.Code != "" {
			err = errors.New(a.Code + " " + a.Text)
		}
		if err != nil {
			return a, true, err
		}
	}
	a, err = l.readAnswer()
	if err == nil {
		s.p.homes.markSeen(l.home)
	}
	return a, true, err
}

// await waits for the first byte of an answer, but not longer than homeSilence for a
// home that answers nothing else meanwhile: it is cut off, and another home may still
// serve the statement in time. A home that answers others lets this one wait for a
// member. Where an entry has few statements under way there may be no others, so the
// home is asked whether it lives: in a fleet of hundreds each entry has about one
// statement a second at each home, and while a group's members were overloaded entries
// gave up one home after the other, until daemons that are none filled the members with
// connections and the overload went on by itself.
func (l *link) awaitAnswer(s *session, deadline time.Time, waitToDeadline bool) error {
	if waitToDeadline || time.Until(deadline) <= homeSilenceTimeout {
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

// checkHome gives a home up that has answered nothing since a statement was sent to it,
// and does not say either that it lives.
func (p *Proxy) checkHome(id core.DaemonID, sent core.Time) {
	if !p.isResponsive(id, sent) {
		p.homes.backOffIfUnseen(id, sent)
	}
}

// answering says whether a home has answered anybody here since the statement was sent,
// or says now that it lives.
func (p *Proxy) isResponsive(id core.DaemonID, sent core.Time) bool {
	return p.homes.seenSince(id, sent) || p.isAlive(id)
}

// lives asks a daemon for anything at all, one session for all that wait for it.
func (p *Proxy) isAlive(id core.DaemonID) bool {
	addr, ok := p.peers.homeAddr(id)
	if !ok {
		return false
	}
	_, err, _ := p.livenessChecks.Do(string(id), func() (any, error) { return nil, p.metadata.Fetch(addr) })
	// A daemon that stops says that it has nothing to tell, and lives.
	alive := err == nil || errors.Is(err, metadata.ErrUnavailable)
	if alive {
		p.homes.markSeen(id)
	}
	return alive
}

// answer reads an answer; a home that is stopping says so between answers.
func (l *link) readAnswer() (platform.Answer, error) {
	a, err := platform.ReadAnswer(l.r, l.body)
	if errors.Is(err, platform.ErrTerminate) {
		l.moveRequested = true
		a, err = platform.ReadAnswer(l.r, a.Body)
	}
	l.body = a.Body
	return a, err
}

// adopt appends the statements that give the home's session the values and
// prepared statements of the caller's, and returns their number.
func (l *link) syncState(s *session) int {
	n := 0
	appendOwn := func(text string) {
		l.out = platform.AppendStatement(l.out, entryStatementID, text, core.Position{})
		n++
	}
	for name, value := range s.values {
		if l.values[name] != value {
			appendOwn(platform.TextSet(name, value))
			l.values[name] = value
		}
	}
	for name, def := range s.prepared {
		if l.prepared[name] != def {
			appendOwn(platform.TextPrepareAs(name, def.writes, def.shape))
			l.prepared[name] = def
		}
	}
	for name := range l.prepared {
		if _, ok := s.prepared[name]; !ok {
			appendOwn(platform.TextDeallocate(name))
			delete(l.prepared, name)
		}
	}
	return n
}

// serveLink takes a session that an entry hands over.
func (p *Proxy) serveLink(c net.Conn) {
	s := p.newSession(c)
	s.fromEntry = true
	s.runFromEntry()
}

// welcome says whether this daemon serves the session that an entry hands over.
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

func (s *session) runFromEntry() {
	s.r = platform.NewReader(s.c)
	_ = s.c.SetReadDeadline(time.Now().Add(startupTimeout))
	var hello reportpb.Hello
	if err := protodelim.UnmarshalFrom(s.r, &hello); err != nil {
		s.end()
		return
	}
	if hello.Configuration {
		// A stop waits for sessions, and this is none.
		s.p.removeSession(s)
		s.p.metadata.Serve(s.c, s.r, s.p.stopping.Load)
		return
	}
	s.p.catchUp(s.p.settings.LinkAddr(hello.Ip), hello.Version)
	welcome := s.p.welcome(&hello)
	if _, err := protodelim.MarshalTo(s.c, welcome); err != nil || welcome.Refused != "" {
		s.end()
		return
	}
	_ = s.c.SetReadDeadline(time.Time{})
	s.database = hello.Database
	copy(s.key[:], hello.KeyFingerprint)
	s.lastCommit = core.Position{Term: core.Term(hello.Term), LSN: core.LSN(hello.Lsn)}
	s.lastCommitAt = now()
	s.serveMessages()
}
