package auth

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"

	"limpetspan/core"
)

// Fingerprint stands for a key; the zero one stands for none.
type Fingerprint [sha256.Size]byte

// FingerprintOf returns the fingerprint of a key; that of no key is zero.
func FingerprintOf(key string) Fingerprint {
	if key == "" {
		return Fingerprint{}
	}
	return sha256.Sum256([]byte(key))
}

// shownBytes of a fingerprint are enough to find a key among millions.
const shownBytes = 8

// String is the fingerprint's beginning, as logs show it.
func (f Fingerprint) String() string {
	if f == (Fingerprint{}) {
		return "none"
	}
	return hex.EncodeToString(f[:shownBytes])
}

// Team is who may ask, and how much.
type Team struct {
	ID core.TeamID
	// Limited says that Rate and Burst hold; a team without a limit asks what it wants.
	Limited bool
	// Rate is how many operations a second the whole fleet runs for the team, Burst how
	// many more at once after a pause.
	Rate, Burst float64
}

// Directory is the teams of one configuration by their keys.
type Directory struct {
	teams map[core.TeamID]Team
	// claims are the keys of each team, whether they let anybody in or not.
	teamKeys map[core.TeamID][]Fingerprint
	keys     map[Fingerprint]core.TeamID
	// disputed are keys that more than one team claims.
	ambiguous map[Fingerprint]bool
}

// NewDirectory returns a directory without teams, which lets nobody in.
func NewDirectory() *Directory {
	return &Directory{teams: make(map[core.TeamID]Team), teamKeys: make(map[core.TeamID][]Fingerprint), keys: make(map[Fingerprint]core.TeamID), ambiguous: make(map[Fingerprint]bool)}
}

// Add adds a team with its keys, and returns those that another team has as well: they
// are nobody's.
func (d *Directory) Add(t Team, keys []Fingerprint) (ambiguous []Fingerprint) {
	d.teams[t.ID], d.teamKeys[t.ID] = t, keys
	for _, f := range keys {
		owner, taken := d.keys[f]
		if d.ambiguous[f] || taken && owner != t.ID {
			delete(d.keys, f)
			d.ambiguous[f] = true
			ambiguous = append(ambiguous, f)
			continue
		}
		d.keys[f] = t.ID
	}
	return ambiguous
}

// Team returns the team that has the key.
func (d *Directory) TeamByKey(f Fingerprint) (Team, bool) {
	id, ok := d.keys[f]
	if !ok {
		return Team{}, false
	}
	return d.teams[id], true
}

// Named returns the team of that name.
func (d *Directory) TeamByID(id core.TeamID) (Team, bool) {
	t, ok := d.teams[id]
	return t, ok
}

// Claims are the keys that the team was added with, whether they let anybody in or not.
func (d *Directory) TeamKeys(id core.TeamID) []Fingerprint { return d.teamKeys[id] }

// IDs are the names of all teams, in no order.
func (d *Directory) IDs() []core.TeamID { return slices.Collect(maps.Keys(d.teams)) }
