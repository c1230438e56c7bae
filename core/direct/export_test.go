package direct

// Limits of the choice of homes, exported for tests.
const (
	MinHomes      = minHomes
	GroupsPerHome = groupsPerHome
)

// Scored returns how many scores the table has computed.
func (t *HomeTable) Scored() int { return t.scored }
