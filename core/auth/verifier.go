package auth

import (
	"time"

	"limpetspan/core"
)

// Margin is the part of the bound that is left for the time between the check and the member's
// socket: a write to the socket, a pause of the process after it has read the clock, and the way to
// the member. A host may stop for this long without being noticed.
const Margin = 300 * time.Millisecond

// Verdict is the result of the check of a key.
type Verdict int

// The verdicts.
const (
	// Granted means that the key belongs to a team, or that no key is needed.
	Granted Verdict = iota
	// Unknown means that no team has the key.
	Unknown
	// Unproved means that the configuration may have changed meanwhile.
	Unproved
)

// String returns the verdict's name for logs and counters.
func (v Verdict) String() string { return [...]string{"granted", "unknown", "unproved"}[v] }

// Verifier checks keys.
type Verifier struct {
	// bound is the greatest age of a configuration's proof; 0: there is no bound.
	bound time.Duration
}

// NewVerifier returns a Verifier that relies on a configuration that was the newest one at most the
// bound ago. With a bound of 0 it relies on the configuration in force, whatever its age.
func NewVerifier(bound time.Duration) Verifier { return Verifier{bound: bound} }

// ProofValid reports whether a configuration that was the newest one as of proof may be relied on.
func (v Verifier) ProofValid(now, proof core.Time) bool {
	return v.bound == 0 || proof != 0 && now.Sub(proof) < v.bound-Margin
}

// Check checks a key against the directory of the configuration in force, which was the newest one
// as of proof. directory is nil if the installation has no teams. The verdict on a key that the
// configuration lacks is Unknown only if the proof is valid: a newer configuration might have it.
func (v Verifier) Check(now, proof core.Time, directory *Directory, key Fingerprint) (Team, Verdict) {
	if directory == nil {
		return Team{}, Granted
	}
	if !v.ProofValid(now, proof) {
		return Team{}, Unproved
	}
	t, ok := directory.TeamByKey(key)
	if !ok {
		return Team{}, Unknown
	}
	return t, Granted
}
