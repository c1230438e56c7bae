package home

import (
	"context"

	"limpetspan/core"
	"limpetspan/core/group"
	"limpetspan/pkg/fleet"
)

// Opinion is another candidate's view of a member.
type Opinion struct {
	// Reachable: a fresh connection from there found the member as primary.
	Reachable bool
	Zone      core.Zone
}

// Peers sends messages to other daemons.
type Peers interface {
	// SendBeat tells a daemon that this one is home.
	SendBeat(ctx context.Context, to core.DaemonID, home fleet.Home) error
	// AskOpinion asks a daemon to try a fresh connection to a member.
	AskOpinion(ctx context.Context, to core.DaemonID, id core.GroupID, member core.MemberID) (Opinion, error)
	// SendHandover gives the home of a term up in favour of a daemon.
	SendHandover(ctx context.Context, to core.DaemonID, id core.GroupID, term core.Term, sessions []group.SessionPosition) error
}
