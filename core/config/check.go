package config

import (
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"limpetspan/core"
)

// Limits on declared values.
const (
	// ControlConnections is the number of a group's connections reserved for
	// probes, fences and promotions: two for each of three members.
	ControlConnections = 6
	// MinConnections leaves one connection for callers' statements.
	MinConnections = ControlConnections + 1
	MaxConnections = 10_000
	MaxSlots       = 1_000
	MaxMembers     = 9
	MaxVersions    = 64
	MaxNameLength  = 63
	// MaxMaxStaleness is far above any replication lag at which a replica is
	// useful.
	MaxMaxStaleness = 24 * time.Hour
)

// Check validates a whole document. It returns Problems, or nil.
func Check(doc *Document) error {
	var r problemReport
	if doc.DefaultGroup != "" && doc.Groups[doc.DefaultGroup] == nil {
		r.add("default_group", RuleReference, "group %q does not exist", doc.DefaultGroup)
	}
	owners := make(map[string]string)
	for _, id := range slices.Sorted(maps.Keys(doc.Groups)) {
		checkGroup(&r, id, doc.Groups[id], owners)
	}
	for _, name := range slices.Sorted(maps.Keys(doc.Kinds)) {
		checkKind(&r, doc, name, doc.Kinds[name])
	}
	for _, name := range slices.Sorted(maps.Keys(doc.Takeovers)) {
		checkTakeover(&r, doc, name, doc.Takeovers[name])
	}
	return r.err()
}

// checkGroup validates one group. owners maps the address and database of the
// members seen so far to their paths.
func checkGroup(r *problemReport, id core.GroupID, group *Group, owners map[string]string) {
	path := "groups." + string(id)
	checkName(r, path, string(id))
	if group == nil {
		r.add(path, RuleRequired, "the group is empty")
		return
	}
	checkName(r, path+".database", group.Database)
	checkRange(r, path+".max_connections", group.MaxConnections, MinConnections, MaxConnections)
	checkRange(r, path+".slots", group.Slots, 1, MaxSlots)
	checkRange(r, path+".members", len(group.Members), 1, MaxMembers)
	ids := make(map[core.MemberID]bool)
	staying := 0
	for i, member := range group.Members {
		at := path + ".members[" + strconv.Itoa(i) + "]"
		checkMember(r, at, member)
		if ids[member.ID] {
			r.add(at+".id", RuleDuplicate, "member %q is listed twice", member.ID)
		}
		ids[member.ID] = true
		checkOwner(r, at+".addr", member.Addr+"/"+group.Database, owners)
		if !member.Leaving {
			staying++
		}
	}
	if staying == 0 && len(group.Members) > 0 {
		r.add(path+".members", RuleRange, "every member is leaving")
	}
}

// checkOwner rejects a database that is listed as more than one member. It has only
// one term, so fencing it in one group would fence it in the other.
func checkOwner(r *problemReport, path, database string, owners map[string]string) {
	if owner, ok := owners[database]; ok {
		r.add(path, RuleDuplicate, "is also the address of %s", strings.TrimSuffix(owner, ".addr"))
		return
	}
	owners[database] = path
}

func checkMember(r *problemReport, path string, member Member) {
	checkName(r, path+".id", string(member.ID))
	checkName(r, path+".zone", string(member.Zone))
	addr, err := netip.ParseAddrPort(member.Addr)
	if err != nil || addr.Port() == 0 {
		r.add(path+".addr", RuleFormat, "%q is not an IP address and port", member.Addr)
	}
}

func checkKind(r *problemReport, doc *Document, name string, kind *Kind) {
	path := "kinds." + name
	checkName(r, path, name)
	if kind == nil {
		r.add(path, RuleRequired, "the kind is empty")
		return
	}
	checkGroupExists(r, doc, path+".group", kind.Group)
	if kind.MaxStaleness < 0 || kind.MaxStaleness > MaxMaxStaleness {
		r.add(path+".max_staleness", RuleRange, "%v is not between 0s and %v", kind.MaxStaleness, MaxMaxStaleness)
	}
	if len(kind.Versions) > MaxVersions {
		r.add(path+".versions", RuleRange, "%d versions, at most %d", len(kind.Versions), MaxVersions)
	}
	for i, version := range kind.Versions {
		at := path + ".versions[" + strconv.Itoa(i) + "]"
		checkName(r, at, version)
		if slices.Contains(kind.Versions[:i], version) {
			r.add(at, RuleDuplicate, "version %q is listed twice", version)
		}
	}
}

func checkGroupExists(r *problemReport, doc *Document, path string, group core.GroupID) {
	switch {
	case group == "":
		r.add(path, RuleRequired, "no group is given")
	case doc.Groups[group] == nil:
		r.add(path, RuleReference, "group %q does not exist", group)
	}
}

func checkName(r *problemReport, path, name string) {
	switch {
	case name == "":
		r.add(path, RuleRequired, "the name is empty")
	case len(name) > MaxNameLength:
		r.add(path, RuleFormat, "the name has %d characters, at most %d", len(name), MaxNameLength)
	case !isName(name):
		r.add(path, RuleFormat, "%q may contain only letters, digits, dots, dashes and underscores, and must start with a letter or digit", name)
	}
}

func checkRange(r *problemReport, path string, value, low, high int) {
	if value < low || value > high {
		r.add(path, RuleRange, "%d is not between %d and %d", value, low, high)
	}
}

// isName reports whether a name is usable as a store key, an INI section and an
// SQL setting. It avoids a regular expression, because a document contains tens of
// thousands of names.
func isName(name string) bool {
	for i := range len(name) {
		c := name[i]
		isAlphanumeric := 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9'
		if !isAlphanumeric && (i == 0 || c != '.' && c != '-' && c != '_') {
			return false
		}
	}
	return true
}
