package direct

// Limits of the choice of homes, for its tests.
const (
	LeastHomes    = leastHomes
	GroupsPerHome = groupsPerHome
)

// Draws is how many ranks the table has computed.
func (t *HomeTable) Draws() int { return t.draws }
