package cli

import (
	"context"
	"fmt"
)

// StatusCommand shows the daemons of the fleet.
type StatusCommand struct{}

// Examples are shown in the help.
func (*StatusCommand) Examples() string {
	return "limpetspan status --daemon 10.0.0.7:7434\nlimpetspan status --daemon 10.0.0.7:7434 --json"
}

// fleetStatus is the JSON form of the fleet.
type fleetStatus struct {
	Daemons     []daemonReport `json:"daemons"`
	Unreachable []string       `json:"unreachable,omitempty"`
	// Revisions counts the daemons by the revision they have in force.
	Revisions map[uint64]int `json:"revisions"`
}

// Run asks the daemons given and those they know; the exit code is 4 when some
// of them do not answer.
func (*StatusCommand) Run(ctx context.Context, env *Env) error {
	reports, err := env.liveDaemons(ctx)
	if err != nil {
		return err
	}
	env.askStatus(ctx, reports)
	fleet := fleetStatus{Daemons: reports, Unreachable: unreachable(reports), Revisions: make(map[uint64]int)}
	for _, r := range reports {
		if r.Status != nil {
			fleet.Revisions[r.Status.ConfigRevision]++
		}
	}
	if env.JSON {
		err = env.WriteJSON(fleet)
	} else {
		err = writeFleet(env, fleet)
	}
	if err == nil && len(fleet.Unreachable) > 0 {
		return Timeoutf("%d of %d daemons did not answer: %s", len(fleet.Unreachable), len(reports), shortList(fleet.Unreachable))
	}
	return err
}

func writeFleet(env *Env, fleet fleetStatus) error {
	var rows [][]any
	callers, homes := 0, 0
	for _, r := range fleet.Daemons {
		s := r.Status
		if s == nil {
			rows = append(rows, []any{r.name(), "-", "-", "no answer", "-", "-", "-", "-", r.Addr})
			continue
		}
		callers += s.Callers
		homes += len(s.Homes)
		rows = append(rows, []any{s.ID, s.Zone, orDash(string(s.Region)), s.State, s.ConfigRevision, len(s.Homes), s.Callers, s.InFlight, r.Addr})
	}
	header := []any{"DAEMON", "ZONE", "REGION", "STATE", "REVISION", "HOMES", "CALLERS", "IN FLIGHT", "ADDRESS"}
	if err := writeTable(env.Stdout, header, rows); err != nil {
		return err
	}
	_, err := fmt.Fprintf(env.Stdout, "%d daemons, %d homes, %d callers, revisions in force: %s\n",
		len(fleet.Daemons), homes, callers, revisionCounts(fleet.Revisions))
	return err
}
