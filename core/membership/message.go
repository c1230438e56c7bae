package membership

import (
	"math/bits"
	"time"
	"unicode/utf8"

	"limpetspan/core"
)

// Kind is the purpose of a message; a message of any kind may carry updates.
type Kind uint8

// The kinds of messages.
const (
	// KindUpdate carries updates only.
	KindUpdate Kind = iota
	// KindPing asks Target to acknowledge Seq.
	KindPing
	// KindAck reports that Target acknowledged Seq.
	KindAck
	// KindPingRequest asks a helper to ping Target and to forward the
	// acknowledgment under Seq.
	KindPingRequest
	// KindDigest compares views. Without buckets it is a request, which asks for
	// the receiver's buckets if Root differs; with buckets it is the reply.
	KindDigest
	// KindPull requests the entries of buckets that the sender lacks.
	KindPull
	// KindEntries is the reply to a pull.
	KindEntries
	// KindDigestMatch is the reply to a digest if the views are equal.
	KindDigestMatch
)

// Message is one datagram.
type Message struct {
	Kind Kind          `json:"kind"`
	From core.DaemonID `json:"from"`
	// ConfigRevision is the revision that the sender has in force.
	ConfigRevision uint64        `json:"config_revision,omitempty"`
	Seq            uint64        `json:"seq,omitempty"`
	Target         core.DaemonID `json:"target,omitempty"`
	// WantRecord asks the receiver for its own full record.
	WantRecord bool           `json:"want_record,omitempty"`
	Root       uint64         `json:"root,omitempty"`
	Buckets    []uint32       `json:"buckets,omitempty"`
	Pulls      []Pull         `json:"pulls,omitempty"`
	Daemons    []DaemonUpdate `json:"daemons,omitempty"`
	Homes      []Home         `json:"homes,omitempty"`
	Targets    []Target       `json:"targets,omitempty"`
}

// Pull requests the entries of one bucket except those that the sender has.
type Pull struct {
	Bucket uint32 `json:"bucket"`
	// Known holds the lower halves of the hashes of the entries that the sender
	// has.
	Known []uint32 `json:"known,omitempty"`
}

// DaemonUpdate is an update about one daemon. Without Full it contains only the
// identity and the state, and applies to the record with the hash Record.
type DaemonUpdate struct {
	Daemon
	Full   bool   `json:"full,omitempty"`
	Record uint32 `json:"record"`
	// Remembered marks a death that the sender did not detect recently: the
	// receiver probes the daemon before it accepts the death.
	Remembered bool `json:"remembered,omitempty"`
}

// Sizes of the encoding in bytes. They are slightly above the actual sizes, never
// below; package gossip tests this.
const (
	sizeEnvelope = 40
	sizeHeader   = 64
	// sizeNested is the tag and length of a nested message, sizeText those of a
	// string, and sizeFlag the size of a field of one byte.
	sizeNested = 3
	sizeText   = 2
	sizeFlag   = 2
	sizeFixed  = 5
	sizeHash   = 4
	// minUpdateBytes is below the size of any update.
	minUpdateBytes = 16
	messageBudget  = MaxDatagramBytes - sizeEnvelope - sizeHeader
)

// sizeNumber returns the size of a field with a variable-length integer.
func sizeNumber(v uint64) int { return 1 + (bits.Len64(v|1)+6)/7 }

func (u *DaemonUpdate) size() int {
	n := sizeNested + sizeText + len(u.ID) + sizeNumber(u.Incarnation) + sizeFixed + 2*sizeFlag
	if !u.Full {
		return n
	}
	return n + 2*sizeFlag + 5*sizeText + len(u.Zone) + len(u.Region) +
		len(u.PeerAddr) + len(u.GossipAddr) + len(u.OperatorAddr)
}

func (h *Home) size() int {
	return sizeNested + 3*sizeText + len(h.Group) + len(h.Daemon) + len(h.Primary) +
		sizeNumber(uint64(h.Term)) + sizeFlag
}

func (t *Target) size() int {
	return sizeNested + sizeText + len(t.Addr) + sizeNumber(t.Version) + sizeFlag + sizeNumber(uint64(t.TTL/time.Second))
}

func (p *Pull) size() int {
	return 2*sizeNested + sizeNumber(uint64(p.Bucket)) + sizeHash*len(p.Known)
}

// room returns the number of bytes left in m.
func (m *Message) room() int {
	left := messageBudget - len(m.From) - len(m.Target) - sizeHash*len(m.Buckets)
	for i := range m.Pulls {
		left -= m.Pulls[i].size()
	}
	for i := range m.Daemons {
		left -= m.Daemons[i].size()
	}
	for i := range m.Homes {
		left -= m.Homes[i].size()
	}
	for i := range m.Targets {
		left -= m.Targets[i].size()
	}
	return left
}

func (m *Message) reset() {
	*m = Message{
		Buckets: m.Buckets[:0], Pulls: m.Pulls[:0],
		Daemons: m.Daemons[:0], Homes: m.Homes[:0], Targets: m.Targets[:0],
	}
}

func validName(s string) bool { return len(s) > 0 && validText(s) }

// validText rejects strings that are too long or cannot be encoded: one such
// entry would prevent every message that contains it from being sent.
func validText(s string) bool { return len(s) <= MaxNameBytes && utf8.ValidString(s) }

// valid reports whether the update may be applied.
func (u *DaemonUpdate) valid() bool {
	if !validName(string(u.ID)) || u.Incarnation >= maxVersion || u.State > Dead {
		return false
	}
	if !u.Full {
		return true
	}
	return validText(string(u.Zone)) && validText(string(u.Region)) && validText(u.PeerAddr) &&
		validText(u.OperatorAddr) && validText(u.GossipAddr) && u.Weight <= MaxWeight
}

func (h *Home) valid() bool {
	return validName(string(h.Group)) && validName(string(h.Daemon)) &&
		validText(string(h.Primary)) && h.Term < maxVersion
}

func (t *Target) valid() bool {
	return validName(t.Addr) && t.Version > 0 && t.Version < maxVersion && t.TTL >= 0
}
