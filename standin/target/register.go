package target

import (
	"bytes"
	"context"
	"encoding/json"
	"time"

	"limpetspan/core"
	"limpetspan/standin/control"
)

// memberArg is the body of the faults without further settings.
type memberArg struct {
	Member core.MemberID `json:"member"`
}

type partitionArg struct {
	memberArg
	Partition
}

type delayArg struct {
	memberArg
	MS    int64 `json:"ms"`
	Count int   `json:"count"`
}

type leavingArg struct {
	memberArg
	On bool `json:"on"`
}

type lagArg struct {
	memberArg
	FixedMS       int64 `json:"fixed_ms"`
	JitterMS      int64 `json:"jitter_ms"`
	SpikeMS       int64 `json:"spike_ms"`
	SpikeEveryMS  int64 `json:"spike_every_ms"`
	SpikeLengthMS int64 `json:"spike_length_ms"`
	Stuck         bool  `json:"stuck"`
}

func (a lagArg) lag() Lag {
	return Lag{
		Fixed:       millis(a.FixedMS),
		Jitter:      millis(a.JitterMS),
		Spike:       millis(a.SpikeMS),
		SpikeEvery:  millis(a.SpikeEveryMS),
		SpikeLength: millis(a.SpikeLengthMS),
		Stuck:       a.Stuck,
	}
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// memberReport is one member in the answer to the status path.
type memberReport struct {
	ID     core.MemberID `json:"id"`
	Zone   core.Zone     `json:"zone"`
	Addr   string        `json:"addr"`
	Status core.Status   `json:"status"`
	// RoleName is the role in words.
	RoleName string `json:"role"`
	// Statements counts those that the member began to run.
	Statements int64 `json:"statements"`
}

type groupReport struct {
	Members     []memberReport `json:"members"`
	Connections int            `json:"connections"`
	Highest     int            `json:"connections_highest"`
	Refused     int            `json:"connections_refused"`
	Commits     int            `json:"commits"`
}

// Register puts the group's faults on a control mux below the prefix, such as
// /target/parkdb.
func (f *Faults) Register(m *control.Mux, prefix string) {
	simple := func(path, doc string, do func(core.MemberID) error) {
		handle(m, prefix+path, `{"member":"a"}: `+doc, func(a memberArg) (any, error) { return nil, do(a.Member) })
	}
	simple("/crash", "end the process, reset its connections", f.Crash)
	simple("/restart", "start a crashed process again", f.Restart)
	simple("/pause", "stop the process, keep its connections", f.Pause)
	simple("/resume", "let a paused process go on", f.Resume)
	simple("/heal", "end the partition", f.Heal)
	simple("/silence", "the connections open now go silent for good", f.Silence)
	handle(m, prefix+"/partition", `{"member":"a","clients":true,"client_tags":["zone-a"],"members":true,"peers":["b"]}: cut off from these`,
		func(a partitionArg) (any, error) { return nil, f.Partition(a.Member, a.Partition) })
	handle(m, prefix+"/delay", `{"member":"a","ms":200,"count":1}: late answers; count 0: all; ms 0 ends it`,
		func(a delayArg) (any, error) {
			return nil, f.Delay(a.Member, Delay{For: millis(a.MS), Count: a.Count})
		})
	handle(m, prefix+"/leaving", `{"member":"a","on":true}: report leaving and refuse new work`,
		func(a leavingArg) (any, error) { return nil, f.SetLeaving(a.Member, a.On) })
	handle(m, prefix+"/lag", `{"member":"b","fixed_ms":50,"jitter_ms":20,"spike_ms":900,"spike_every_ms":5000,"spike_length_ms":1000,"stuck":false}: replication lag`,
		func(a lagArg) (any, error) { return nil, f.SetLag(a.Member, a.lag()) })
	handle(m, prefix+"/status", `{}: members, terms, positions and connections`,
		func(struct{}) (any, error) { return f.group.report(), nil })
}

func (g *Group) report() groupReport {
	var r groupReport
	for _, m := range g.members {
		status := m.Status()
		r.Members = append(r.Members, memberReport{ID: m.ID(), Zone: m.Zone(), Addr: m.Addr(), Status: status, RoleName: status.Role.String(), Statements: m.Statements()})
	}
	r.Connections, r.Highest, r.Refused = g.Connections()
	r.Commits = g.journal.len()
	return r
}

// handle registers a function of a typed argument; unknown fields are refused.
func handle[Arg any](m *control.Mux, path, doc string, f func(Arg) (any, error)) {
	m.Handle(path, doc, func(_ context.Context, raw json.RawMessage) (any, error) {
		var arg Arg
		decoder := json.NewDecoder(bytes.NewReader(raw))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&arg); err != nil {
			return nil, err
		}
		return f(arg)
	})
}
