package auth

import (
	"time"

	"limpetspan/core"
)

// Margin of the bound is left for what lies between the check and the member's socket: a
// write into a socket, a pause of the process of which its clock check came too early, and
// the way to the member. It is what a host stands still for without being noticed.
const Margin = 300 * time.Millisecond

// Verdict is what a daemon knows of a key.
type Verdict int

// The verdicts.
const (
	// Granted: the key is a team's, or none is needed.
	Granted Verdict = iota
	// Unknown: no team has the key.
	Unknown
	// Unproved: the configuration may have changed meanwhile.
	Unproved
)

// String names the verdict for logs and counters.
func (v Verdict) String() string { return [...]string{"granted", "unknown", "unproved"}[v] }

// Verifier checks keys.
type Verifier struct {
	// bound is how old a configuration may be; 0: any age will do.
	bound time.Duration
}

// NewVerifier returns a gate that goes by configurations that were the newest at most the
// bound ago; 0: by whatever is in force.
func NewVerifier(bound time.Duration) Verifier { return Verifier{bound: bound} }

// Proved says whether a configuration that was the newest as of proof may be relied on.
func (v Verifier) ProofValid(now, proof core.Time) bool {
	return v.bound == 0 || proof != 0 && now.Sub(proof) < v.bound-Margin
}

// Check says what the key is worth now. directory is of the configuration in force, which
// was the newest as of proof; nil: the installation names no teams. A key that the
// configuration lacks is unknown only if no newer one may have it.
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
