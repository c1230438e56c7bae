package proxy

import (
	"time"

	"limpetspan/core"
	"limpetspan/core/auth"
	"limpetspan/core/direct"
	"limpetspan/platform"
)

// access checks callers' keys against the configuration in force. A proof is the time as of which
// this daemon's configuration is known to be the newest one. A key cannot be checked if the proof is
// older than the settings allow, as the key may have been revoked since.
type access struct {
	p        *Proxy
	verifier auth.Verifier
	// required is set if callers must present keys.
	required bool
}

func newAccess(p *Proxy) access {
	return access{p: p, verifier: auth.NewVerifier(p.settings.KeyRevocationBound), required: p.settings.TeamsEnabled}
}

// emptyDirectory is used if keys are required and the configuration names no teams.
var emptyDirectory = auth.NewDirectory()

// directoryOf returns the teams of the catalog.
func directoryOf(catalog *direct.Catalog) *auth.Directory {
	if catalog.Teams == nil {
		return emptyDirectory
	}
	return catalog.Teams
}

// check returns the key's team and verdict for a database's route. A public route needs no key;
// a caller that presents one is still served in the name of its team. The proof is read before
// the catalog, so that the catalog is at least as new as the proof attests. The clock is read
// last, so that a pause of the process in between makes the proof older.
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

// proofValid reports whether keys can be checked now or are not required.
func (a *access) proofValid() bool {
	proof, _ := a.p.metadata.Proof()
	return !a.required || a.verifier.ProofValid(now(), proof)
}

// checkSession returns the verdict for a session that is being opened. It is granted for a known
// key even if the key cannot be checked now, because each statement is checked again.
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

// teamOf returns the key's team in the configuration in force, whether or not the proof is valid.
func (a *access) teamOf(key auth.Fingerprint) core.TeamID {
	if !a.required {
		return ""
	}
	t, _ := directoryOf(a.p.catalog.Load()).TeamByKey(key)
	return t.ID
}

// unprovedRetryAfter is the retry delay of a caller whose key cannot be checked now. A daemon
// that is cut off requests the configuration about this often.
const unprovedRetryAfter = 500 * time.Millisecond

// Texts of refusals because of a key.
const (
	textUnknownKey = "no team has the key"
	textUnproved   = "the key cannot be checked now"
	textOtherTeam  = "the key has become another team's"
)

// checkSend reports whether a statement may be sent on a connection of the team. It is called
// right before the statement is sent, and records the verdict for the caller's answer.
func (s *session) checkSend(team core.TeamID) bool {
	if !s.p.access.required {
		return true
	}
	t, v := s.p.access.check(s.database, s.key)
	s.denial = keyDenial{verdict: v, otherTeam: v == auth.Granted && t.ID != team}
	return s.denial == keyDenial{}
}

// keyDenial is why a statement is not sent because of its key; the zero value is no denial.
type keyDenial struct {
	verdict   auth.Verdict
	otherTeam bool
}

func (d keyDenial) text() string {
	switch {
	case d.verdict == auth.Unknown:
		return textUnknownKey
	case d.verdict == auth.Unproved:
		return textUnproved
	}
	return textOtherTeam
}

// checkKey checks the key of a statement that has arrived, or of the first one that a transaction
// sends to a member. It returns false after refusing the statement. Later statements of a
// transaction are checked by checkSend only.
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

// checkForward refuses a statement at an entry whose proof is too old to run the statement itself,
// and returns false. Such an entry is cut off from the homes as well, and would dial all of them for
// each statement.
func (s *session) checkForward(j *job) bool {
	if s.p.access.proofValid() {
		return true
	}
	s.denial = keyDenial{verdict: auth.Unproved}
	s.refuseDenied(j)
	return false
}

// refuseDenied refuses a statement that may not be sent because of its key. An open transaction
// is rolled back, and it has ended if the statement was its commit.
func (s *session) refuseDenied(j *job) {
	d := s.denial
	s.p.stats.denied.Add(d.text(), 1)
	proof, _ := s.p.metadata.Proof()
	r := refusal{reason: d.text(), inputs: []any{"key", s.key.String(), "configuration", s.p.metadata.Version(), "proof_ms", now().Sub(proof).Milliseconds()}}
	switch {
	case s.tx != nil:
		s.logRefusal(j, r, true)
		s.abort(s.tx)
		if j.kind == direct.StatementCommit {
			s.tx = nil
		}
		s.answerError(platform.CodeAborted, d.text()+"; the transaction is rolled back")
		return
	case d.verdict == auth.Unknown:
		s.refuseUnknownKey(j, r)
		return
	case d.verdict == auth.Unproved:
		s.redirectEntry()
	}
	r.retryAfter = jittered(unprovedRetryAfter)
	s.answerRefusal(j, r)
}

// refuseUnknownKey refuses a statement whose key no team has. If an earlier attempt may have run, when
// the key was still known, the answer says that first; the caller's next statement is told of the key.
func (s *session) refuseUnknownKey(j *job, r refusal) {
	proved := j.history.NotRun().Proved()
	s.logRefusal(j, r, proved)
	if !proved {
		s.answerUnproved(j, r.reason)
		return
	}
	s.answerError(platform.CodeUnknownKey, textUnknownKey)
}
