package direct

// Limits of the choice of homes, for its tests.
const (
	MinHomes      = minHomes
	GroupsPerHome = groupsPerHome
)

// Draws is how many ranks the table has computed.
func (t *HomeTable) Scored() int { return t.scored }
