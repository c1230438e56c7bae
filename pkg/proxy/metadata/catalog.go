package metadata

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"limpetspan/core"
	"limpetspan/core/auth"
	"limpetspan/core/direct"
	"limpetspan/pkg/proxy/reportpb"
)

// encodeCatalog encodes a configuration as a change to base, or in full if base is nil.
func encodeCatalog(base, c *direct.Catalog) *reportpb.Catalog {
	if base == nil {
		base = &direct.Catalog{}
	}
	out := &reportpb.Catalog{Version: c.Version, Base: base.Version, IdleTransactionNs: int64(c.IdleTransaction), HasTeams: c.Teams != nil}
	for name, r := range c.Routes {
		if old, ok := base.Routes[name]; !ok || old != r {
			out.Routes = append(out.Routes, encodeRoute(&r))
		}
	}
	for id, spec := range c.Groups {
		if old, ok := base.Groups[id]; !ok || old != spec {
			out.Groups = append(out.Groups, &reportpb.GroupSpec{Group: string(id), MaxConns: int64(spec.MaxConns), SyncReplicas: int64(spec.SyncReplicas)})
		}
	}
	out.GoneRoutes = removedKeys(base.Routes, c.Routes)
	out.GoneGroups = removedKeys(base.Groups, c.Groups)
	encodeTeams(out, base.Teams, c.Teams)
	return out
}

// removedKeys returns the keys of before that after lacks.
func removedKeys[K ~string, V any](before, after map[K]V) (removed []string) {
	for key := range before {
		if _, ok := after[key]; !ok {
			removed = append(removed, string(key))
		}
	}
	return removed
}

func encodeRoute(r *direct.Route) *reportpb.Route {
	return &reportpb.Route{
		Database: r.Database, Group: string(r.Group), Consistency: uint32(r.Consistency), MaxAgeNs: int64(r.MaxAge),
		StatementTimeoutNs: int64(r.StatementTimeout), LatencyAimNs: int64(r.LatencyGoal), Priority: int64(r.Priority), Public: r.Public,
	}
}

func encodeTeams(out *reportpb.Catalog, before, after *auth.Directory) {
	if after == nil {
		return
	}
	if before == nil {
		before = auth.NewDirectory()
	}
	for _, id := range after.IDs() {
		team, _ := after.TeamByID(id)
		old, known := before.TeamByID(id)
		if known && old == team && slices.Equal(before.TeamKeys(id), after.TeamKeys(id)) {
			continue
		}
		t := &reportpb.Team{Team: string(id), Limited: team.Limited, Rate: team.Rate, Burst: team.Burst}
		for _, f := range after.TeamKeys(id) {
			t.KeyFingerprints = append(t.KeyFingerprints, f[:])
		}
		out.Teams = append(out.Teams, t)
	}
	for _, id := range before.IDs() {
		if _, ok := after.TeamByID(id); !ok {
			out.GoneTeams = append(out.GoneTeams, string(id))
		}
	}
}

// decodeCatalog returns the configuration that results from a change to base. base is not modified.
func decodeCatalog(base *direct.Catalog, in *reportpb.Catalog) (*direct.Catalog, error) {
	if in.Base == 0 || base == nil {
		base = &direct.Catalog{}
	}
	if base.Version != in.Base {
		return nil, fmt.Errorf("configuration version %d was sent as a change to version %d, but this daemon has version %d", in.Version, in.Base, base.Version)
	}
	if in.Version == 0 || in.IdleTransactionNs < 0 {
		return nil, fmt.Errorf("configuration version %d has an idle time of %d ns", in.Version, in.IdleTransactionNs)
	}
	c := &direct.Catalog{
		Version: in.Version, IdleTransaction: time.Duration(in.IdleTransactionNs),
		Routes: cloneWithRoom(base.Routes, len(in.Routes)), Groups: cloneWithRoom(base.Groups, len(in.Groups)),
	}
	for _, name := range in.GoneRoutes {
		delete(c.Routes, name)
	}
	for _, r := range in.Routes {
		route := decodeRoute(r)
		if !isUsableRoute(&route) {
			return nil, fmt.Errorf("route %.40q of configuration version %d is out of range", r.Database, in.Version)
		}
		c.Routes[r.Database] = route
	}
	for _, id := range in.GoneGroups {
		delete(c.Groups, core.GroupID(id))
	}
	for _, g := range in.Groups {
		id := core.GroupID(g.Group)
		if g.Group == "" || g.MaxConns < 1 || g.SyncReplicas < 0 {
			return nil, fmt.Errorf("group %.40q of configuration version %d is out of range", g.Group, in.Version)
		}
		c.Groups[id] = direct.GroupSpec{ID: id, MaxConns: int(g.MaxConns), SyncReplicas: int(g.SyncReplicas)}
	}
	var err error
	c.Teams, err = decodeTeams(base.Teams, in)
	return c, err
}

// isUsableRoute reports whether a daemon can have read the route from the operators' configuration.
func isUsableRoute(r *direct.Route) bool {
	return r.Database != "" && r.Group != "" && r.StatementTimeout > 0 && r.LatencyGoal >= 0 && r.MaxAge >= 0
}

// cloneWithRoom copies the map, which may be nil, with room for extra keys.
func cloneWithRoom[K comparable, V any](m map[K]V, extra int) map[K]V {
	c := make(map[K]V, len(m)+extra)
	maps.Copy(c, m)
	return c
}

func decodeRoute(r *reportpb.Route) direct.Route {
	return direct.Route{
		Database: r.Database, Group: core.GroupID(r.Group), Consistency: direct.Consistency(r.Consistency), MaxAge: time.Duration(r.MaxAgeNs),
		StatementTimeout: time.Duration(r.StatementTimeoutNs), LatencyGoal: time.Duration(r.LatencyAimNs), Priority: int(r.Priority), Public: r.Public,
	}
}

func decodeTeams(before *auth.Directory, in *reportpb.Catalog) (*auth.Directory, error) {
	switch {
	case !in.HasTeams:
		return nil, nil
	case before != nil && len(in.Teams)+len(in.GoneTeams) == 0:
		return before, nil
	}
	d := auth.NewDirectory()
	changed := make(map[core.TeamID]bool)
	for _, id := range in.GoneTeams {
		changed[core.TeamID(id)] = true
	}
	for _, t := range in.Teams {
		id := core.TeamID(t.Team)
		changed[id] = true
		keys, err := decodeKeys(t)
		if err != nil {
			return nil, err
		}
		if !(t.Rate >= 0 && t.Burst >= 0) {
			return nil, fmt.Errorf("team %.40q has a rate of %v and a burst of %v", t.Team, t.Rate, t.Burst)
		}
		d.Add(auth.Team{ID: id, Limited: t.Limited, Rate: t.Rate, Burst: t.Burst}, keys)
	}
	if before == nil {
		return d, nil
	}
	for _, id := range before.IDs() {
		if !changed[id] {
			team, _ := before.TeamByID(id)
			d.Add(team, before.TeamKeys(id))
		}
	}
	return d, nil
}

func decodeKeys(t *reportpb.Team) (keys []auth.Fingerprint, err error) {
	for _, data := range t.KeyFingerprints {
		var f auth.Fingerprint
		if copy(f[:], data) != len(f) || len(data) != len(f) {
			return nil, fmt.Errorf("team %q has a key fingerprint of %d bytes", t.Team, len(data))
		}
		keys = append(keys, f)
	}
	return keys, nil
}
