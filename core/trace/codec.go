// Package trace encodes the events and effects of the group reducer in a stable JSON form
// and replays recorded runs. A trace consists of JSON lines: a header, then one line for
// each event with the effects that the trace states for it.
package trace

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"limpetspan/core"
	"limpetspan/core/group"
)

// FormatVersion is the version of the trace format that this package reads and writes.
const FormatVersion = 1

// Header is the first line of a trace.
type Header struct {
	Version int `json:"trace"`
	// Description says in one or two sentences which failure the trace shows.
	Description string        `json:"story,omitempty"`
	Group       core.GroupID  `json:"group"`
	Self        core.DaemonID `json:"self,omitempty"`
	// EffectTypes are the types of effects that the trace states. It states all effects of
	// these types; an empty list means all types. A trace that states decisions but no probes
	// and timers stays valid when the timing of probes and timers changes.
	EffectTypes []string `json:"states,omitempty"`
	// Tuning is the tuning of the reducer; absent fields have their defaults.
	Tuning group.Tuning `json:"tuning"`
}

// Step is one event of a trace and the effects stated for it.
type Step struct {
	At    core.Time
	Event group.Event
	// Effects are the stated effects in order, in their JSON form.
	Effects []Item
	// Partial means that other effects may occur between the stated ones, which must appear
	// in this order. Recorded traces state all effects, hand-written ones often only some.
	Partial bool
}

// Item is the JSON form of an event or effect, with its type name.
type Item struct {
	Type  string          `json:"type"`
	Value json.RawMessage `json:"value,omitempty"`
}

// line is the JSON form of a Step.
type line struct {
	At      core.Time       `json:"at"`
	Type    string          `json:"type"`
	Event   json.RawMessage `json:"event,omitempty"`
	Effects []Item          `json:"effects"`
	Partial bool            `json:"partial,omitempty"`
}

var eventTypes = typesByName(
	&group.Configure{}, &group.Candidates{}, &group.HomeNews{}, &group.Probed{},
	&group.Fenced{}, &group.Promoted{}, &group.Opinion{}, &group.Arrived{},
	&group.Finished{}, &group.Abandoned{}, &group.HungUp{}, &group.ConnOpened{},
	&group.ConnClosed{}, &group.HandedOver{}, &group.Drain{}, &group.Tick{},
)

// typesByName returns the struct types by their snake_case names.
func typesByName(values ...group.Event) map[string]reflect.Type {
	types := make(map[string]reflect.Type, len(values))
	for _, v := range values {
		types[TypeName(v)] = reflect.TypeOf(v).Elem()
	}
	return types
}

// TypeName returns the snake_case name of the struct to which v, an event or effect,
// points.
func TypeName(v any) string {
	name := reflect.TypeOf(v).Elem().Name()
	var b strings.Builder
	for i, r := range name {
		if i > 0 && r >= 'A' && r <= 'Z' {
			b.WriteByte('_')
		}
		b.WriteString(strings.ToLower(string(r)))
	}
	return b.String()
}

// EncodeHeader returns the header line.
func EncodeHeader(h Header) ([]byte, error) {
	h.Version = FormatVersion
	return json.Marshal(h)
}

// DecodeHeader decodes the header line.
func DecodeHeader(data []byte) (Header, error) {
	var h Header
	if err := decodeStrict(data, &h); err != nil {
		return Header{}, fmt.Errorf("trace header: %w", err)
	}
	if h.Version != FormatVersion {
		return Header{}, fmt.Errorf("trace header: version %d, this program reads %d", h.Version, FormatVersion)
	}
	return h, nil
}

// EncodeStep returns the line of one event and its effects.
func EncodeStep(at core.Time, ev group.Event, effects []group.Effect) ([]byte, error) {
	event, err := json.Marshal(ev)
	if err != nil {
		return nil, fmt.Errorf("trace event %s: %w", TypeName(ev), err)
	}
	items, err := encodeEffects(effects)
	if err != nil {
		return nil, err
	}
	return json.Marshal(line{At: at, Type: TypeName(ev), Event: event, Effects: items})
}

func encodeEffects(effects []group.Effect) ([]Item, error) {
	items := make([]Item, 0, len(effects))
	for _, e := range effects {
		value, err := json.Marshal(e)
		if err != nil {
			return nil, fmt.Errorf("trace effect %s: %w", TypeName(e), err)
		}
		items = append(items, Item{Type: TypeName(e), Value: value})
	}
	return items, nil
}

// DecodeStep decodes a line after the header.
func DecodeStep(data []byte) (Step, error) {
	var l line
	if err := decodeStrict(data, &l); err != nil {
		return Step{}, fmt.Errorf("trace line: %w", err)
	}
	t, ok := eventTypes[l.Type]
	if !ok {
		return Step{}, fmt.Errorf("trace line: unknown event type %q", l.Type)
	}
	ev := reflect.New(t).Interface().(group.Event)
	if len(l.Event) > 0 {
		if err := decodeStrict(l.Event, ev); err != nil {
			return Step{}, fmt.Errorf("trace event %s: %w", l.Type, err)
		}
	}
	return Step{At: l.At, Event: ev, Effects: l.Effects, Partial: l.Partial}, nil
}

// decodeStrict rejects unknown fields, so that a misspelt field in a hand-written trace
// does not silently become zero.
func decodeStrict(data []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	return d.Decode(into)
}
