package target

import (
	"errors"
	"fmt"
	"time"

	"limpetspan/core"
)

// Defaults of Options.
const (
	// DefaultConnectCost is the brief's cost of a new connection.
	DefaultConnectCost = 12 * time.Millisecond
	// DefaultSlots is the brief's number of slots of parkdb.
	DefaultSlots = 3
	// DefaultMaxConnections is the brief's connection budget of parkdb.
	DefaultMaxConnections = 20
	// DefaultKeepalive is how long a member keeps a connection whose client
	// cannot be reached.
	DefaultKeepalive = 5 * time.Second
	// FirstTerm is the term of the first primary.
	FirstTerm core.Term = 2
)

// MemberOptions describes one member.
type MemberOptions struct {
	ID   core.MemberID
	Zone core.Zone
	// Listen is the address to listen at; empty: a free port of loopback.
	Listen string
	// Latency is the one-way network latency; zero: the group's.
	Latency time.Duration
	// Lag is the replication lag that the member begins with.
	Lag Lag
}

// Options describes a group. The zero value of a field without a default
// stands for none.
type Options struct {
	// Members; the first starts as primary of FirstTerm.
	Members []MemberOptions
	// Slots is how many statements one member runs at a time; zero: DefaultSlots.
	Slots int
	// MaxConnections bounds the connections over all members; zero:
	// DefaultMaxConnections.
	MaxConnections int
	// ConnectCost delays each new connection; zero: none, so callers state
	// DefaultConnectCost where they want it.
	ConnectCost time.Duration
	// Latency is the one-way network latency between clients and members.
	Latency time.Duration
	// ServiceTime is how long each statement occupies its slot besides the
	// engine's own time.
	ServiceTime time.Duration
	// Keepalive is how long a member keeps a connection whose client cannot
	// be reached; zero: DefaultKeepalive.
	Keepalive time.Duration
	// Seed feeds the jitter of the replication lag.
	Seed uint64
	// User and Password that clients must give; empty: any.
	User, Password string
	// Database is the database name that clients must give; empty: any.
	Database string
	// Cheap answers SELECT 1 and SELECT $1 without the engine.
	Cheap bool
	// Clock times the replication; nil: the real clock. Connect cost, latency
	// and service time always use the real one.
	Clock Clock
}

func (o *Options) complete() error {
	if len(o.Members) == 0 {
		return errors.New("target: a group needs a member")
	}
	seen := make(map[core.MemberID]bool)
	for _, m := range o.Members {
		if m.ID == "" || seen[m.ID] {
			return fmt.Errorf("target: member id %q is empty or given twice", m.ID)
		}
		seen[m.ID] = true
	}
	setDefault(&o.Slots, DefaultSlots)
	setDefault(&o.MaxConnections, DefaultMaxConnections)
	setDefault(&o.Keepalive, DefaultKeepalive)
	if o.Clock == nil {
		o.Clock = realClock{}
	}
	return nil
}

func setDefault[T int | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}

// Clock is the time source of the replication.
type Clock interface {
	Now() time.Time
	// After returns a channel that receives once d has passed.
	After(d time.Duration) <-chan time.Time
}

type realClock struct{}

func (realClock) Now() time.Time                         { return time.Now() }
func (realClock) After(d time.Duration) <-chan time.Time { return time.After(d) }
