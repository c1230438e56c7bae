package cli

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"

	"limpetspan/core/group"
	"limpetspan/core/trace"
)

// ReplayCommand runs recorded traces through the reducer.
type ReplayCommand struct {
	Files []string `arg:"positional,required" placeholder:"FILE" help:"traces in JSON lines"`
}

// Examples shows how the subcommand is used.
func (*ReplayCommand) Examples() string {
	return `limpetspan replay core/trace/testdata/*.jsonl`
}

// replayResult is the JSON form of one file's replay.
type replayResult struct {
	File   string `json:"file"`
	OK     bool   `json:"ok"`
	Events int    `json:"events"`
	Line   int    `json:"line,omitempty"`
	Step   string `json:"step,omitempty"`
	Peer   string `json:"peer,omitempty"`
	Error  string `json:"error,omitempty"`
}

// Run carries out the subcommand.
func (c *ReplayCommand) Run(ctx context.Context, env *Env) error {
	failed := 0
	for _, file := range c.Files {
		if ctx.Err() != nil {
			return Timeoutf("interrupted")
		}
		result, err := replayFile(file)
		if err != nil {
			return err
		}
		if !result.OK {
			failed++
		}
		if err := showReplay(env, result); err != nil {
			return err
		}
	}
	if failed > 0 {
		return Failedf("%d of %d traces differ", failed, len(c.Files))
	}
	return nil
}

// replayFile returns an error only for what is no trace.
func replayFile(file string) (replayResult, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return replayResult{}, Usagef("%w", err)
	}
	events, err := trace.Replay(bytes.Split(data, []byte("\n")), newReducer)
	result := replayResult{File: file, OK: err == nil, Events: events}
	if mismatch, ok := errors.AsType[*trace.Mismatch](err); ok {
		result.Line, result.Step, result.Peer, result.Error = mismatch.Line, mismatch.Step, mismatch.Peer, err.Error()
		return result, nil
	}
	if err != nil {
		return result, Usagef("%s: %w", file, err)
	}
	return result, nil
}

func newReducer(h trace.Header) trace.Reducer {
	return group.New(group.Options{Group: h.Group, Tuning: h.Tuning})
}

func showReplay(env *Env, r replayResult) error {
	if env.JSON {
		return env.WriteJSON(r)
	}
	if r.OK {
		fmt.Fprintf(env.Stdout, "%s: %d events as stated\n", r.File, r.Events)
		return nil
	}
	fmt.Fprintf(env.Stdout, "%s: %s\n", r.File, r.Error)
	return nil
}
