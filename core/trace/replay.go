package trace

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"

	"limpetspan/core"
	"limpetspan/core/group"
)

// Reducer is the reducer through which a trace is replayed.
type Reducer interface {
	Reduce(now core.Time, ev group.Event, effects *group.Effects)
}

// Mismatch is the first difference between a replay and its trace.
type Mismatch struct {
	// Line is the line number in the trace; the header is line 1.
	Line int
	// Step is the type of the event, Peer the member or daemon that it concerns.
	Step string
	Peer string
	// Stated and Got are the JSON forms of the differing effects, or "" if there is none.
	Stated string
	Got    string
}

func (m *Mismatch) Error() string {
	return fmt.Sprintf("line %d: step=%s peer=%s: stated %s, got %s",
		m.Line, m.Step, m.Peer, orNone(m.Stated), orNone(m.Got))
}

func orNone(s string) string {
	if s == "" {
		return "nothing"
	}
	return s
}

// Replay runs the lines of a trace, header first, through a new reducer and returns the
// number of events replayed. The error is a *Mismatch if the effects differ; any other
// error means that the trace could not be decoded.
func Replay(lines [][]byte, newReducer func(Header) Reducer) (int, error) {
	if len(lines) == 0 {
		return 0, fmt.Errorf("trace: no header")
	}
	header, err := DecodeHeader(lines[0])
	if err != nil {
		return 0, err
	}
	reducer := newReducer(header)
	var effects group.Effects
	events := 0
	for i, data := range lines[1:] {
		if len(bytes.TrimSpace(data)) == 0 {
			continue
		}
		step, err := DecodeStep(data)
		if err != nil {
			return events, fmt.Errorf("line %d: %w", i+2, err)
		}
		reducer.Reduce(step.At, step.Event, &effects)
		events++
		got, err := encodeEffects(effects.List)
		if err != nil {
			return events, err
		}
		if len(header.EffectTypes) > 0 {
			got = slices.DeleteFunc(got, func(i Item) bool { return !slices.Contains(header.EffectTypes, i.Type) })
		}
		if m := compare(step, got); m != nil {
			m.Line = i + 2
			m.Step = TypeName(step.Event)
			m.Peer = peerOf(step.Event)
			return events, m
		}
	}
	return events, nil
}

// compare returns the first difference without its line, step and peer, or nil if there is
// none.
func compare(step Step, got []Item) *Mismatch {
	next := 0
	for _, stated := range step.Effects {
		for step.Partial && next < len(got) && !matches(stated, got[next], true) {
			next++
		}
		if next == len(got) {
			return &Mismatch{Stated: formatItem(stated)}
		}
		if !matches(stated, got[next], step.Partial) {
			return &Mismatch{Stated: formatItem(stated), Got: formatItem(got[next])}
		}
		next++
	}
	if !step.Partial && next < len(got) {
		return &Mismatch{Got: formatItem(got[next])}
	}
	return nil
}

// matches reports whether the effects are equal. With subset set, it compares only the
// stated fields.
func matches(stated, got Item, subset bool) bool {
	if stated.Type != got.Type {
		return false
	}
	if subset && len(stated.Value) == 0 {
		return true
	}
	var a, b map[string]any
	if decodeNumbers(stated.Value, &a) != nil || decodeNumbers(got.Value, &b) != nil {
		return false
	}
	if !subset && len(a) != len(b) {
		return false
	}
	for k, v := range a {
		w, ok := b[k]
		if !ok || !equalJSON(v, w) {
			return false
		}
	}
	return true
}

func decodeNumbers(data json.RawMessage, into *map[string]any) error {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	return d.Decode(into)
}

func equalJSON(a, b any) bool {
	x, errX := json.Marshal(a)
	y, errY := json.Marshal(b)
	return errX == nil && errY == nil && bytes.Equal(x, y)
}

func formatItem(i Item) string { return i.Type + " " + string(i.Value) }

// peerOf returns the member or daemon that an event concerns, or "-" if there is none.
func peerOf(ev group.Event) string {
	switch e := ev.(type) {
	case *group.Probed:
		return string(e.Member)
	case *group.Fenced:
		return string(e.Member)
	case *group.Promoted:
		return string(e.Member)
	case *group.Opinion:
		return string(e.From)
	case *group.HomeNews:
		return string(e.Home)
	case *group.HandedOver:
		return string(e.From)
	case *group.ConnOpened:
		return string(e.Member)
	case *group.Arrived:
		return fmt.Sprintf("%s/%d", e.Caller.Entry, e.Caller.Number)
	}
	return "-"
}
