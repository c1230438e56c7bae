package mirror

import "fmt"

// A fencing token holds the revision in its lowest revisionBits and the era in the bits above, so
// it rises from era to era although revisions are assigned again. It stays below 2^tokenBits, so
// that readers which parse numbers as 64-bit floats do not round it.
const (
	revisionBits = 40
	tokenBits    = 53
)

// Token returns the fencing token of a write at the position. Tokens rise with positions.
func (p Position) Token() (uint64, error) {
	if p.Revision >= 1<<revisionBits || p.Era >= 1<<(tokenBits-revisionBits) {
		return 0, fmt.Errorf("mirror: position %v is too large for a fencing token", p)
	}
	return uint64(p.Era)<<revisionBits | uint64(p.Revision), nil
}

// TokenPosition returns the position of the write with the fencing token.
func TokenPosition(token uint64) Position {
	return Position{Era: Era(token >> revisionBits), Revision: Revision(token & (1<<revisionBits - 1))}
}
