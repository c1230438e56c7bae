package auth

import (
	"crypto/sha256"
	"encoding/hex"
	"maps"
	"slices"

	"limpetspan/core"
)

// Fingerprint is the SHA-256 digest of a key. The zero value stands for no key.
type Fingerprint [sha256.Size]byte

// FingerprintOf returns the fingerprint of a key, and the zero value for an empty key.
func FingerprintOf(key string) Fingerprint {
	if key == "" {
		return Fingerprint{}
	}
	return sha256.Sum256([]byte(key))
}

// shownBytes is the length of a logged fingerprint. It is enough to identify a key among millions.
const shownBytes = 8

// String returns the beginning of the fingerprint, as logs show it.
func (f Fingerprint) String() string {
	if f == (Fingerprint{}) {
		return "none"
	}
	return hex.EncodeToString(f[:shownBytes])
}

// Team is a team and its limit.
type Team struct {
	ID core.TeamID
	// Limited is set if Rate and Burst apply. Otherwise the team has no limit.
	Limited bool
	// Rate is how many operations per second the whole fleet runs for the team. Burst is how many
	// it runs at once after a pause.
	Rate, Burst float64
}

// Directory holds the teams of one configuration, by ID and by key.
type Directory struct {
	teams map[core.TeamID]Team
	// teamKeys are the keys with which each team was added, including ambiguous ones.
	teamKeys map[core.TeamID][]Fingerprint
	keys     map[Fingerprint]core.TeamID
	// ambiguous are the keys that more than one team has.
	ambiguous map[Fingerprint]bool
}

// NewDirectory returns a directory without teams, which admits no key.
func NewDirectory() *Directory {
	return &Directory{teams: make(map[core.TeamID]Team), teamKeys: make(map[core.TeamID][]Fingerprint), keys: make(map[Fingerprint]core.TeamID), ambiguous: make(map[Fingerprint]bool)}
}

// Add adds a team with its keys. It returns the keys that another team has as well, which then
// belong to no team.
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

// TeamByKey returns the team that has the key.
func (d *Directory) TeamByKey(f Fingerprint) (Team, bool) {
	id, ok := d.keys[f]
	if !ok {
		return Team{}, false
	}
	return d.teams[id], true
}

// TeamByID returns the team with the ID.
func (d *Directory) TeamByID(id core.TeamID) (Team, bool) {
	t, ok := d.teams[id]
	return t, ok
}

// TeamKeys returns the keys with which the team was added, including ambiguous ones.
func (d *Directory) TeamKeys(id core.TeamID) []Fingerprint { return d.teamKeys[id] }

// IDs returns the IDs of all teams, in no particular order.
func (d *Directory) IDs() []core.TeamID { return slices.Collect(maps.Keys(d.teams)) }
