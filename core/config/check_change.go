package config

import (
	"maps"
	"slices"

	"limpetspan/core"
)

// CheckChange validates the document after a change and the transition from the
// document before it. It returns Problems, or nil.
func CheckChange(before, after *Document) error {
	var r problemReport
	for _, id := range slices.Sorted(maps.Keys(after.Groups)) {
		if old := before.Groups[id]; old != nil && after.Groups[id] != nil && old != after.Groups[id] {
			checkMembersChange(&r, "groups."+string(id), old, after.Groups[id])
		}
	}
	for _, name := range slices.Sorted(maps.Keys(before.Takeovers)) {
		checkTakeoverChange(&r, before, after, name)
	}
	if problems, ok := Check(after).(Problems); ok {
		r.problems = append(r.problems, problems...)
	}
	return r.err()
}

// checkMembersChange allows one member per group to be added or removed in a
// change. With two, a daemon on the old revision could fence a majority of the
// old members and one on the new revision a majority of the new members, without
// a common member, and both would promote a primary. With one, any two such
// majorities share a member.
func checkMembersChange(r *problemReport, path string, old, group *Group) {
	if old.Database != group.Database {
		r.add(path+".database", RuleOverlap, "cannot change from %q: create another group", old.Database)
	}
	added, removed := 0, 0
	was := membersByID(old)
	now := membersByID(group)
	for id, member := range now {
		before, ok := was[id]
		if !ok {
			added++
			continue
		}
		if before.Addr != member.Addr {
			r.add(path+".members."+string(id)+".addr", RuleOverlap,
				"changes from %s: remove the member and add it again in a second change", before.Addr)
		}
	}
	for id := range was {
		if _, ok := now[id]; !ok {
			removed++
		}
	}
	if added+removed > 1 {
		r.add(path+".members", RuleOverlap, "%d added and %d removed: at most one in a change", added, removed)
	}
}

func membersByID(group *Group) map[core.MemberID]Member {
	members := make(map[core.MemberID]Member, len(group.Members))
	for _, member := range group.Members {
		members[member.ID] = member
	}
	return members
}

// allowedTransitions lists the states that may follow each state of a take-over.
var allowedTransitions = map[TakeoverState][]TakeoverState{
	TakeoverPlanned:    {TakeoverRunning},
	TakeoverRunning:    {TakeoverPaused, TakeoverRollback, TakeoverComplete},
	TakeoverPaused:     {TakeoverRunning, TakeoverRollback},
	TakeoverRollback:   {TakeoverRolledBack},
	TakeoverComplete:   {},
	TakeoverRolledBack: {TakeoverPlanned},
}

func checkTakeoverChange(r *problemReport, before, after *Document, name string) {
	path := "takeovers." + name
	old, now := before.Takeovers[name], after.Takeovers[name]
	if now == nil {
		// Only an active take-over states which group owns a record.
		if old.Active() {
			r.add(path, RuleInUse, "cannot be removed in state %q", old.State)
		}
		return
	}
	if old.State != now.State && !slices.Contains(allowedTransitions[old.State], now.State) {
		r.add(path+".state", RuleState, "cannot go from %q to %q", old.State, now.State)
	}
	if old.State == TakeoverPlanned || old.State == TakeoverRolledBack {
		return
	}
	compared := *now
	compared.State = old.State
	if !sameDeclaration(old, &compared) {
		r.add(path, RuleState, "only the state may change once it has started")
	}
	if old.State != TakeoverRollback && !containsBits(now.Flipped, old.Flipped) {
		r.add(path+".flipped", RuleState, "a flipped bucket can go back to the source only in a rollback")
	}
}
