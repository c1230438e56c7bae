package placement

import "time"

// Variant is a way to choose a member by the expected costs.
type Variant uint8

// The variants.
const (
	// LeastCost chooses the member with the lowest cost.
	LeastCost Variant = iota
	// TwoChoices chooses the better one of two members that are drawn at random.
	TwoChoices
)

// Choose returns the index of the chosen cost; there must be at least one. draw is a random number.
func Choose(v Variant, costs []time.Duration, draw uint64) int {
	if v == TwoChoices && len(costs) > 2 {
		n := uint64(len(costs))
		first := draw % n
		second := (first + 1 + draw/n%(n-1)) % n
		if costs[second] < costs[first] {
			return int(second)
		}
		return int(first)
	}
	best := 0
	for i, c := range costs {
		if c < costs[best] {
			best = i
		}
	}
	return best
}
