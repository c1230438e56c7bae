package proxy

import (
	"time"

	"limpetspan/core"
	"limpetspan/core/correlate"
	"limpetspan/core/stmtcache"
	"limpetspan/pkg/memberconn"
)

// memberConn is a connection to a member in the group's pool, or taken from it.
type memberConn struct {
	*memberconn.Conn
	member core.MemberID
	// team is the team whose statements run on the connection.
	team core.TeamID
	// idleSince is when the connection was last returned to the pool.
	idleSince core.Time
	// idleInTransaction is set while its transaction waits for the caller.
	idleInTransaction bool
}

// connStatementLimits bound the prepared statements of a connection to a member. A session's statement
// always fits.
var connStatementLimits = stmtcache.Limits{Statements: 128, Bytes: DefaultSessionLimits.Bytes}

// dialMember opens a connection to the target.
func dialMember(t memberconn.Target, observer memberconn.Observer, timeout time.Duration) (*memberConn, *memberconn.DialError) {
	c, err := memberconn.Dial(t, connStatementLimits, observer, timeout)
	if err != nil {
		return nil, err
	}
	return &memberConn{Conn: c, member: t.Member, team: t.Team}, nil
}

// connObserver counts and logs the answers of a member that belong to no statement that awaits one.
type connObserver struct {
	p      *Proxy
	group  core.GroupID
	member core.MemberID
}

// SurplusAnswer implements memberconn.Observer.
func (o connObserver) SurplusAnswer(got, expected correlate.Kind) {
	o.p.stats.answersSurplus.Add(got.String(), 1)
	o.p.logDecision("surplus answer", "group", o.group, "member", o.member, "got", got.String(), "expected", expected.String())
}

// Confirmed implements memberconn.Observer.
func (o connObserver) Confirmed(got correlate.Kind) { o.p.stats.answersConfirmed.Add(got.String(), 1) }

// Refuted implements memberconn.Observer.
func (o connObserver) Refuted(got, instead correlate.Answer) {
	o.p.stats.answersUnproved.Add(got.Kind.String(), 1)
	o.p.logDecision("unproved answer", "group", o.group, "member", o.member, "got", got.Kind.String(), "content", got.Content,
		"instead", instead.Kind.String(), "instead_content", instead.Content)
}

// forMember returns the statement as it is prepared at members, none for nil.
func (p *preparedStatement) forMember() memberconn.Prepared {
	if p == nil {
		return memberconn.Prepared{}
	}
	return memberconn.Prepared{Name: p.memberName, Writes: p.writes, Shape: p.shape}
}
