package proxy

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"strings"
	"unicode"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/core/mirror"
	"limpetspan/pkg/proxy/reportpb"
	"limpetspan/platform"
)

// daemonEntry is a daemon's entry in the store.
type daemonEntry struct {
	IP     string    `json:"ip"`
	Zone   core.Zone `json:"zone"`
	Weight float64   `json:"weight"`
	// Burden is absent while the daemon's host is not overloaded.
	Burden direct.Burden `json:"burden,omitempty"`
}

// Limits of the records of the fleet. Other writers may have access to the store; a record beyond
// these limits was not written by a daemon.
const (
	maxRecordBytes = 16 << 10
	maxNameBytes   = 200
	// maxHostWeight and maxFleetSize are far above those of any host and fleet.
	maxHostWeight = 1 << 12
	maxFleetSize  = 1 << 17
)

// Kinds of items in the store, for the log and the counters.
const (
	kindMember        = "host list entry"
	kindDaemon        = "entry of a daemon"
	kindRoster        = "roster of the fleet"
	kindEra           = "settled era"
	kindLock          = "promotion lock"
	kindSlot          = "slot of teams"
	kindConfiguration = "configuration"
	// kindConfigurationPart is a route, service, team or limit.
	kindConfigurationPart = "part of the configuration"
)

// decodeRecord decodes a record that a daemon has written.
func decodeRecord(value []byte, record any) error {
	if len(value) > maxRecordBytes {
		return fmt.Errorf("the record has %d bytes, more than %d", len(value), maxRecordBytes)
	}
	return json.Unmarshal(value, record)
}

// isName reports whether the text can be the name of a daemon or a zone.
func isName(text string) bool {
	return text != "" && len(text) <= maxNameBytes && !strings.ContainsFunc(text, func(r rune) bool {
		return r == unicode.ReplacementChar || !unicode.IsPrint(r)
	})
}

// parseDaemonEntry decodes a daemon's entry, which the daemon writes under a lease.
func parseDaemonEntry(item platform.Item) (id core.DaemonID, e daemonEntry, err error) {
	name, ok := strings.CutPrefix(item.Key, platform.DaemonsPrefix)
	if !ok || !isName(name) {
		return "", e, errors.New("the key contains no valid name of a daemon")
	}
	id = core.DaemonID(name)
	if item.Lease == 0 && !item.Deleted {
		return id, e, errors.New("the entry is bound to no lease")
	}
	if err := decodeRecord(item.Value, &e); err != nil {
		return id, e, err
	}
	return id, e, e.validate()
}

// parseHostIP decodes the IPv4 address of a host.
func parseHostIP(text string) (net.IP, error) {
	ip := net.ParseIP(text).To4()
	if ip == nil || ip.IsUnspecified() || ip.IsMulticast() || ip.Equal(net.IPv4bcast) {
		return nil, errors.New("ip is not the IPv4 address of a host")
	}
	return ip, nil
}

// validate rejects an entry that would keep real daemons from being chosen as homes, or whose address
// would need a name lookup.
func (e *daemonEntry) validate() error {
	if _, err := parseHostIP(e.IP); err != nil {
		return err
	}
	switch {
	case e.Zone != "" && !isName(string(e.Zone)):
		return errors.New("zone is malformed")
	case e.Weight < 0 || e.Weight > maxHostWeight:
		return fmt.Errorf("weight %v is not within 0 to %d", e.Weight, maxHostWeight)
	}
	return nil
}

// parseRoster decodes the fleet's roster.
func parseRoster(value []byte) (r direct.Roster, err error) {
	if err := decodeRecord(value, &r); err != nil {
		return direct.Roster{}, err
	}
	if r.Daemons < 0 || r.Daemons > maxFleetSize || r.Eligible < 0 || r.Eligible > maxFleetSize {
		return direct.Roster{}, fmt.Errorf("%d daemons or %d eligible ones are not a valid number", r.Daemons, r.Eligible)
	}
	for zone, weight := range r.MaxWeights {
		if weight < 0 || weight > maxHostWeight {
			return direct.Roster{}, fmt.Errorf("weight %v of zone %q is not within 0 to %d", weight, boundText(string(zone)), maxHostWeight)
		}
	}
	return r, nil
}

// parseEraRecord decodes the attestation of a settled era. The first era of a fleet is not later than
// one that has settled.
func parseEraRecord(value []byte) (record eraRecord, err error) {
	if err := decodeRecord(value, &record); err != nil {
		return eraRecord{}, err
	}
	if record.FirstStart > record.Settled {
		return eraRecord{}, fmt.Errorf("era %d is later than the settled era %d", record.FirstStart, record.Settled)
	}
	return record, nil
}

// applyEra handles an item with a daemon's attestation that an era of the store has settled. It
// returns that era, 0 if there is none.
func (p *Proxy) applyEra(item platform.Item) mirror.Era {
	if item.Deleted {
		return 0
	}
	record, err := parseEraRecord(item.Value)
	if err == nil && record.Settled > p.eras.current() {
		err = fmt.Errorf("era %d is later than that of the store", record.Settled)
	}
	if err != nil {
		p.unreadable.report(kindEra, item, err)
		return 0
	}
	p.eras.attest(record)
	return record.Settled
}

// applyRoster applies an item with the fleet's roster to the list. While the item cannot be decoded, the
// list keeps the previous roster, and the roster is written again.
func (p *Proxy) applyRoster(l *daemonList, item platform.Item) {
	l.rosterItem, l.rosterUnreadable = item, false
	if item.Deleted {
		l.roster = direct.Roster{}
		return
	}
	roster, err := parseRoster(item.Value)
	if err != nil {
		l.rosterUnreadable = true
		p.unreadable.report(kindRoster, item, err)
		return
	}
	l.roster = roster
}

// applyEntry applies an item with a daemon's entry to the list. A daemon whose entry cannot be decoded is
// not listed; if it runs, it writes its entry again.
func (p *Proxy) applyEntry(l *daemonList, item platform.Item) {
	id, e, err := parseDaemonEntry(item)
	switch {
	case item.Deleted:
		delete(l.entries, id)
	case err != nil:
		delete(l.entries, id)
		p.unreadable.report(kindDaemon, item, err)
	default:
		l.entries[id] = e
	}
}

// gossipAddr returns the address at which the daemon at the IP address receives datagrams, nil if that is
// not the address of a host. It makes no name lookup.
func (s *peers) gossipAddr(ip string) *net.UDPAddr {
	addr, err := parseHostIP(ip)
	if err != nil {
		return nil
	}
	return &net.UDPAddr{IP: addr, Port: s.p.settings.GossipPort}
}

// hasPlausibleTerms reports whether a group can have reached the terms of its report. A term beyond these
// would be higher than that of every later primary, so that no member would ever be used again.
func hasPlausibleTerms(r *reportpb.Group) bool {
	for _, m := range r.Members {
		if core.Term(m.Confirmed) > direct.MaxLockTerm {
			return false
		}
	}
	return core.Term(max(r.Term, r.Ordered)) <= direct.MaxLockTerm && r.SampleTerm <= r.Term
}
