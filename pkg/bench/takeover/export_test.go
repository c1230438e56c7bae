package takeover

import (
	"time"

	"limpetspan/core"
)

// Commit is a caller's write as the check sees it.
type Commit = commit

// NewCommit returns the commit of a write.
func NewCommit(key, token string, at time.Time) Commit { return commit{key, token, at} }

// CheckRouting checks the commits of both sides.
func CheckRouting(ofSource, ofDestination []Commit, buckets int) Check {
	var c Check
	c.misrouted(map[core.GroupID][]commit{source: ofSource, destination: ofDestination}, buckets)
	return c
}

// MayBe reports whether a record may hold a value.
func MayBe(value, acknowledged string, unsure ...string) bool {
	return (&key{acknowledged: acknowledged, unsure: unsure}).mayBe(value)
}
