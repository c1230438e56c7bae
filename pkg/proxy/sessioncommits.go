package proxy

import (
	"limpetspan/core"
)

// groupCommit is a session's last commit in a group.
type groupCommit struct {
	group    core.GroupID
	position core.Position
	// at is when the commit was acknowledged.
	at core.Time
}

// sessionCommits are a session's last commits, one for each group in which it has committed. There is
// more than one only if the configuration has moved the session's database to another group: a
// position means nothing in the log of another group.
type sessionCommits []groupCommit

// in returns the last commit in the group, the zero value if there is none.
func (c sessionCommits) in(group core.GroupID) groupCommit {
	for _, commit := range c {
		if commit.group == group {
			return commit
		}
	}
	return groupCommit{}
}

// record replaces the last commit in the commit's group.
func (c *sessionCommits) record(commit groupCommit) {
	for i := range *c {
		if (*c)[i].group == commit.group {
			(*c)[i] = commit
			return
		}
	}
	*c = append(*c, commit)
}
