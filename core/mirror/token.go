package mirror

import "fmt"

// revisionBits of a fencing token hold the revision, the bits above them the era: a token
// rises over eras although revisions are given out again. Together they stay below 2^53,
// which every reader of numbers takes as they are.
const (
	revisionBits = 40
	tokenBits    = 53
)

// Token is the fencing token of a write at the position. It rises with positions.
func (p Position) Token() (uint64, error) {
	if p.Revision >= 1<<revisionBits || p.Era >= 1<<(tokenBits-revisionBits) {
		return 0, fmt.Errorf("mirror: position %v has no fencing token", p)
	}
	return uint64(p.Era)<<revisionBits | uint64(p.Revision), nil
}

// TokenPosition is the position of the write that has the fencing token.
func TokenPosition(token uint64) Position {
	return Position{Era: Era(token >> revisionBits), Revision: Revision(token & (1<<revisionBits - 1))}
}
