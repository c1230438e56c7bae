package experiment

import (
	"embed"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"limpetspan/core/admission"
	"limpetspan/core/direct"
	"limpetspan/core/placement"
)

//go:embed patterns/*.ini
var patterns embed.FS

// Pattern is a load and what goes wrong under it.
type Pattern struct {
	Name string
	// Seconds is how long callers come.
	Seconds int
	Daemons int
	// Crossing is the time of one way between zones.
	Crossing time.Duration
	// OverloadControl is set if the daemons forecast waits, Limit is by when a statement must have its
	// place.
	OverloadControl bool
	Limit           admission.Limit
	// FirstShare is the share of the operations that the first daemon gets; 0 if all get the same.
	FirstShare float64
	// SharedLoad is set if daemons use each other's load of the members.
	SharedLoad bool
	// Placement is how daemons choose a member by its cost.
	Placement placement.Variant
	Members   Members
	Callers   []Callers
	Events    []Event
}

// Members are what each of a group's members can do.
type Members struct {
	Count, Slots, Queue, Connections int
	// FirstSlots is the number of slots of the first member, if it differs from the others.
	FirstSlots int
	// Handshake is how long opening a connection takes a slot.
	Handshake time.Duration
	// Lag is the replica lag, Promotion how long a promotion takes.
	Lag, Promotion time.Duration
	// Linger is how long the connections of a host without power stay.
	Linger time.Duration
}

// slotsOf returns the number of slots of the i-th member.
func (m *Members) slotsOf(i int) int {
	if i == 0 && m.FirstSlots > 0 {
		return m.FirstSlots
	}
	return m.Slots
}

// Callers are one kind of callers.
type Callers struct {
	Name string
	// Rate is how many operations begin in a second.
	Rate        float64
	Consistency direct.Consistency
	MaxAge      time.Duration
	// Writes and Transactions are shares of the operations, Pause is how long a caller
	// waits inside a transaction.
	Writes, Transactions float64
	Pause                time.Duration
	// Work is the mean time of a statement on a member.
	Work time.Duration
	// Aim is how long an operation may take at its full value, Timeout bounds one
	// statement and Budget the operation with all its retries.
	Aim, Timeout, Budget time.Duration
	Priority, Retries    int
	// Team is whose callers they are.
	Team string
	// Heed is the share of refused operations that wait for the retry time, the others retry at
	// once. Stay is the share of retries that reach the same daemon on the same session.
	Heed, Stay float64
	// Value is what an operation is worth in time, Late what it is worth after that.
	Value, Late float64
}

// Event is something that goes wrong.
type Event struct {
	Name string
	At   time.Duration
	For  time.Duration
	// What is one of the names in eventNames.
	What string
	// Callers are whose load a burst multiplies; all if it is empty.
	Callers string
	// Member is which member it hits, from 0, the first primary; all if it is below 0.
	Member int
	// Times is how strong it is.
	Times float64
}

// The events.
const (
	eventSlow  = "slow"
	eventDark  = "dark"
	eventLag   = "lag"
	eventLose  = "lose-answers"
	eventPower = "power-off"
	eventBurst = "burst"
	eventLeave = "leave"
)

var eventNames = []string{eventSlow, eventDark, eventLag, eventLose, eventPower, eventBurst, eventLeave}

// Names lists the patterns that come with the program.
func Names() []string {
	var names []string
	entries, err := fs.ReadDir(patterns, "patterns")
	if err != nil {
		// The directory is part of the program.
		panic(err)
	}
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".ini"))
	}
	return names
}

// Load reads the pattern of that name, or the file at that path.
func Load(name string) (Pattern, error) {
	data, err := patterns.ReadFile("patterns/" + name + ".ini")
	if err != nil {
		data, err = os.ReadFile(name)
	}
	if err != nil {
		return Pattern{}, fmt.Errorf("pattern %q is none of %s and no file: %w", name, strings.Join(Names(), ", "), err)
	}
	return Parse(strings.TrimSuffix(filepath.Base(name), ".ini"), data)
}

// Parse decodes a pattern.
func Parse(name string, data []byte) (Pattern, error) {
	file, err := ini.Load(data)
	if err != nil {
		return Pattern{}, fmt.Errorf("pattern %s: %w", name, err)
	}
	p := Pattern{Name: name}
	r := &reader{name: name}
	for _, section := range file.Sections() {
		kind, what, _ := strings.Cut(section.Name(), " ")
		r.section = section
		switch kind {
		case ini.DefaultSection:
			r.known()
		case "pattern":
			p.Seconds, p.Daemons, p.Crossing = r.count("seconds", 20), r.count("daemons", 6), r.time("crossing", 900*time.Microsecond)
			p.OverloadControl = r.section.Key("overload_control").MustBool(false)
			p.Limit = r.limit()
			p.FirstShare, p.SharedLoad = r.number("first_share", 0), r.section.Key("shared_load").MustBool(false)
			switch name := r.section.Key("placement").MustString("least-cost"); name {
			case "least-cost":
			case "two-choices":
				p.Placement = placement.TwoChoices
			default:
				r.fail("placement %q is neither least-cost nor two-choices", name)
			}
			r.known("seconds", "daemons", "crossing", "overload_control", "limit", "first_share", "shared_load", "placement")
		case "members":
			p.Members = r.members()
		case "callers":
			p.Callers = append(p.Callers, r.callers(what))
		case "event":
			p.Events = append(p.Events, r.event(what))
		default:
			r.fail("section [%s] is unknown", section.Name())
		}
	}
	if r.err == nil {
		r.err = p.check()
	}
	return p, r.err
}

// check refuses a pattern that cannot be run.
func (p *Pattern) check() error {
	switch {
	case p.Seconds < 1 || p.Daemons < 1:
		return fmt.Errorf("pattern %s: seconds and daemons are above zero", p.Name)
	case p.Members.Count < 1 || p.Members.Slots < 1 || p.Members.Connections < 1:
		return fmt.Errorf("pattern %s: members need a count, slots and connections", p.Name)
	case len(p.Callers) == 0:
		return fmt.Errorf("pattern %s: there are no callers", p.Name)
	}
	for _, c := range p.Callers {
		if c.Rate <= 0 || c.Work <= 0 || c.Timeout <= 0 || c.Budget < c.Timeout {
			return fmt.Errorf("pattern %s: callers %s need a rate, work, a timeout and a budget not below it", p.Name, c.Name)
		}
	}
	return nil
}

// reader reads one section after the other and keeps the first error.
type reader struct {
	name    string
	section *ini.Section
	err     error
}

func (r *reader) fail(format string, args ...any) {
	if r.err == nil {
		r.err = fmt.Errorf("pattern %s: "+format, append([]any{r.name}, args...)...)
	}
}

// known refuses keys that are not in the list.
func (r *reader) known(keys ...string) {
	for _, key := range r.section.KeyStrings() {
		if !slices.Contains(keys, key) {
			r.fail("key %q in [%s] is unknown; known are %s", key, r.section.Name(), strings.Join(keys, ", "))
		}
	}
}

func (r *reader) number(key string, otherwise float64) float64 {
	if !r.section.HasKey(key) {
		return otherwise
	}
	v, err := r.section.Key(key).Float64()
	if err != nil {
		r.fail("%s in [%s]: %w", key, r.section.Name(), err)
	}
	return v
}

func (r *reader) count(key string, otherwise int) int {
	return int(r.number(key, float64(otherwise)))
}

func (r *reader) time(key string, otherwise time.Duration) time.Duration {
	if !r.section.HasKey(key) {
		return otherwise
	}
	v, err := r.section.Key(key).Duration()
	if err != nil || v < 0 {
		r.fail("%s in [%s]: %q is no time such as 20ms", key, r.section.Name(), r.section.Key(key).String())
	}
	return v
}

// limit reads by when a statement must have its place.
func (r *reader) limit() admission.Limit {
	switch limit := r.section.Key("limit").MustString("deadline"); limit {
	case "deadline":
	case "aim":
		return admission.LimitAim
	default:
		r.fail("limit in [%s]: %q is none of deadline, aim", r.section.Name(), limit)
	}
	return admission.LimitDeadline
}

func (r *reader) members() Members {
	r.known("count", "slots", "first_slots", "queue", "connections", "handshake", "lag", "promotion", "linger")
	return Members{
		Count: r.count("count", 3), Slots: r.count("slots", 2), FirstSlots: r.count("first_slots", 0), Queue: r.count("queue", 16), Connections: r.count("connections", 16),
		Handshake: r.time("handshake", 12*time.Millisecond), Lag: r.time("lag", 20*time.Millisecond),
		Promotion: r.time("promotion", 500*time.Millisecond), Linger: r.time("linger", 3*time.Second),
	}
}

func (r *reader) callers(name string) Callers {
	r.known("rate", "reads", "max_age", "writes", "transactions", "pause", "work", "aim", "timeout", "budget", "priority", "retries", "value", "late", "team", "heed", "stay")
	c := Callers{
		Name: name, Rate: r.number("rate", 0), MaxAge: r.time("max_age", 2*time.Second), Writes: r.number("writes", 0),
		Transactions: r.number("transactions", 0), Pause: r.time("pause", 20*time.Millisecond), Work: r.time("work", 0),
		Aim: r.time("aim", 200*time.Millisecond), Timeout: r.time("timeout", 800*time.Millisecond), Budget: r.time("budget", 1500*time.Millisecond),
		Priority: r.count("priority", 1), Retries: r.count("retries", 2), Value: r.number("value", 1), Late: r.number("late", 0.3),
		Team: r.section.Key("team").String(), Heed: r.number("heed", 0), Stay: r.number("stay", 0),
	}
	switch reads := r.section.Key("reads").MustString("primary"); reads {
	case "primary":
	case "bounded":
		c.Consistency = direct.BoundedAge
	case "own":
		c.Consistency = direct.ReadYourWrites
	default:
		r.fail("reads in [%s]: %q is none of primary, bounded, own", r.section.Name(), reads)
	}
	return c
}

func (r *reader) event(name string) Event {
	r.known("at", "for", "what", "member", "times", "callers")
	e := Event{Name: name, At: r.time("at", 0), For: r.time("for", time.Second), What: r.section.Key("what").String(),
		Member: r.count("member", -1), Times: r.number("times", 1), Callers: r.section.Key("callers").String()}
	if !slices.Contains(eventNames, e.What) {
		r.fail("what in [%s]: %q is none of %s", r.section.Name(), e.What, strings.Join(eventNames, ", "))
	}
	return e
}
