package proxy

import (
	"time"

	"limpetspan/core"
	"limpetspan/core/auth"
	"limpetspan/core/direct"
	"limpetspan/platform"
)

// access checks callers' keys against the configuration in force.
type access struct {
	p        *Proxy
	verifier auth.Verifier
	// required says that the installation's callers show keys.
	required bool
}

func newAccess(p *Proxy) access {
	return access{p: p, verifier: auth.NewVerifier(p.settings.KeyRevocationBound), required: p.settings.TeamsEnabled}
}

// nobody is the directory of a configuration that names no teams where keys are required.
var emptyDirectory = auth.NewDirectory()

// directory is the teams of the catalog.
func directoryOf(catalog *direct.Catalog) *auth.Directory {
	if catalog.Teams == nil {
		return emptyDirectory
	}
	return catalog.Teams
}

// check says what a key is worth now for a database's route. A public one needs no key, and
// serves whoever shows one in the name of its team. The proof is read before the
// catalog, which is as new as the proof says or newer, and the clock last: whatever the
// process stood still for in between makes the proof older.
func (a *access) check(database string, key auth.Fingerprint) (auth.Team, auth.Verdict) {
	if !a.required {
		return auth.Team{}, auth.Granted
	}
	proof, _ := a.p.metadata.Proof()
	catalog := a.p.catalog.Load()
	if catalog.Routes[database].Public {
		t, _ := directoryOf(catalog).TeamByKey(key)
		return t, auth.Granted
	}
	return a.verifier.Check(now(), proof, directoryOf(catalog), key)
}

// proved says whether keys can be checked now, or need not be.
func (a *access) proofValid() bool {
	proof, _ := a.p.metadata.Proof()
	return !a.required || a.verifier.ProofValid(now(), proof)
}

// open says whether a session may be opened. One whose key this daemon knows is kept even
// if it cannot say whether the key is still good: each statement asks again.
func (a *access) checkSession(database string, key auth.Fingerprint) auth.Verdict {
	_, v := a.check(database, key)
	if v == auth.Unknown {
		// The key may be newer than this daemon's configuration.
		a.p.metadata.RefreshConfiguration()
		_, v = a.check(database, key)
	}
	if v == auth.Unproved {
		if _, known := directoryOf(a.p.catalog.Load()).TeamByKey(key); known {
			return auth.Granted
		}
	}
	return v
}

// team is whose key it is by the configuration in force, proved or not.
func (a *access) teamOf(key auth.Fingerprint) core.TeamID {
	if !a.required {
		return ""
	}
	t, _ := directoryOf(a.p.catalog.Load()).TeamByKey(key)
	return t.ID
}

// unprovedComeBack is when a caller is told to come back whose key cannot be checked now:
// a daemon that is cut off tries to hear of the configuration about this often.
const unprovedRetryAfter = 500 * time.Millisecond

// Texts of refusals on account of a key.
const (
	textUnknownKey = "no team has the key"
	textUnproved   = "the key cannot be checked now"
	textOtherTeam  = "the key has become another team's"
)

// allowed says whether a statement may be sent to the member on a connection of the team,
// right before it is sent. The verdict is kept for the caller's answer.
func (s *session) checkSend(team core.TeamID) bool {
	if !s.p.access.required {
		return true
	}
	t, v := s.p.access.check(s.database, s.key)
	s.denial = keyDenial{verdict: v, otherTeam: v == auth.Granted && t.ID != team}
	return s.denial == keyDenial{}
}

// barrier is why a statement is not sent on account of its key.
type keyDenial struct {
	verdict   auth.Verdict
	otherTeam bool
}

func (b keyDenial) text() string {
	switch {
	case b.verdict == auth.Unknown:
		return textUnknownKey
	case b.verdict == auth.Unproved:
		return textUnproved
	}
	return textOtherTeam
}

// admit looks at the key of a statement that comes, or of the first one of a transaction;
// false: it is refused, and the caller was told. Later ones are looked at before they are sent.
func (s *session) checkKey(j *job) bool {
	if !s.p.access.required {
		return true
	}
	_, v := s.p.access.check(s.database, s.key)
	if v != auth.Granted {
		s.denial = keyDenial{verdict: v}
		s.refuseDenied(j)
	}
	return v == auth.Granted
}

// admitForward refuses, at an entry that has heard nothing of the configuration for so long
// that it could not run the statement itself: it is cut from the homes as well, and would
// dial all of them for each statement.
func (s *session) checkForward(j *job) bool {
	if s.p.access.proofValid() {
		return true
	}
	s.denial = keyDenial{verdict: auth.Unproved}
	s.refuseDenied(j)
	return false
}

// barred refuses a statement that may not be sent on account of its key. An open transaction
// is rolled back, and nothing of it is kept; it is over if the statement was its commit.
func (s *session) refuseDenied(j *job) {
	s.recordDenial(j)
	b := s.denial
	switch {
	case s.tx != nil:
		s.abort(s.tx)
		if j.kind == direct.StatementCommit {
			s.tx = nil
		}
		s.answerError(platform.CodeAborted, b.text()+"; the transaction is rolled back")
		return
	case b.verdict == auth.Unknown:
		s.answerError(platform.CodeUnknownKey, textUnknownKey)
		return
	case b.verdict == auth.Unproved:
		s.redirectEntry()
	}
	s.answerError(platform.CodeBusy, "not run: "+b.text()+jitteredRetryText(unprovedRetryAfter))
}

func (s *session) recordDenial(j *job) {
	s.p.stats.denied.Add(s.denial.text(), 1)
	proof, _ := s.p.metadata.Proof()
	s.logDecision("refused", "id", j.id, "reason", s.denial.text(), "key", s.key.String(),
		"configuration", s.p.metadata.Version(), "proof_ms", now().Sub(proof).Milliseconds())
}
