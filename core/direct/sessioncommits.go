package direct

import "limpetspan/core"

// SessionCommit is a session's last commit in a group.
type SessionCommit struct {
	Group    core.GroupID
	Position core.Position
	// At is when the commit was acknowledged.
	At core.Time
}

// SessionCommits are a session's last commits, one for each group in which it has committed. There is
// more than one only if the configuration has moved the session's database to another group: a
// position means nothing in the log of another group.
type SessionCommits []SessionCommit

// In returns the last commit in the group, the zero value if there is none.
func (c SessionCommits) In(group core.GroupID) SessionCommit {
	for _, commit := range c {
		if commit.Group == group {
			return commit
		}
	}
	return SessionCommit{}
}

// Record replaces the last commit in the commit's group.
func (c *SessionCommits) Record(commit SessionCommit) {
	for i := range *c {
		if (*c)[i].Group == commit.Group {
			(*c)[i] = commit
			return
		}
	}
	*c = append(*c, commit)
}
