package cli

import (
	"context"
	"errors"
	"fmt"
	"os/user"
	"slices"
	"time"

	"limpetspan/core"
	"limpetspan/core/config"
	"limpetspan/pkg/confstore"
)

// ChangeOptions are the options of every subcommand that changes the configuration.
type ChangeOptions struct {
	Author  string        `arg:"--author,env:LIMPETSPAN_AUTHOR" placeholder:"NAME" help:"who changes it, for the history [default: the user's name]"`
	Reason  string        `arg:"--reason" placeholder:"TEXT" help:"why, for the history"`
	Wait    bool          `arg:"--wait" help:"wait until each live daemon has the revision in force (needs --daemon)"`
	Timeout time.Duration `arg:"--timeout" default:"30s" placeholder:"DURATION" help:"how long to wait for the store and, with --wait, for the daemons"`
}

// changeResult is the JSON form of an accepted change.
type changeResult struct {
	Revision config.Revision `json:"revision"`
	ChangeID string          `json:"change_id"`
	// Changed is false when the configuration was already as wished.
	Changed bool `json:"changed"`
	// Changes are the accepted changes; more than one when it was too large.
	Changes []config.Change `json:"changes,omitempty"`
	// Daemons is set with --wait.
	Daemons *waitResult `json:"daemons,omitempty"`
}

// edit makes a document from the one in force, which it must not change.
type edit func(*config.Document) (*config.Document, error)

// change carries out one edit with the options. A conflict with another
// operator is the caller's error; one with the progress of a take-over, which
// moves on by itself, is not.
func change(ctx context.Context, env *Env, o ChangeOptions, do edit) error {
	if o.Wait && len(env.Daemons) == 0 {
		return Usagef("--wait needs --daemon ADDR or LIMPETSPAN_DAEMON")
	}
	ctx, cancel := context.WithTimeout(ctx, o.Timeout)
	defer cancel()
	editor, err := env.editor()
	if err != nil {
		return err
	}
	base, err := env.loadInForce(ctx, editor)
	if err != nil {
		return err
	}
	for {
		after, err := do(base)
		if err != nil {
			return err
		}
		if err := awaitBase(ctx, env, base, after); err != nil {
			return err
		}
		result, err := commit(ctx, editor, o.meta(), base, after)
		if conflict, ok := errors.AsType[*confstore.Conflict](err); ok && conflict.OnlyBuckets() {
			base = conflict.Current
			continue
		}
		if err != nil {
			return err
		}
		return finish(ctx, env, o, base, result)
	}
}

// loadInForce reads the configuration and compares it with what the daemons
// given have in force.
//
// Guard: a store restored from a backup holds an older revision until a daemon
// writes the one in force back. A change made from it would be accepted and
// then undone by the write-back, without a trace in the history. The daemons
// are asked before the store is read, and have no revision that it had not, so
// a lower one there proves the restore; one after the reading is noticed by
// the guard of the change itself.
func (e *Env) loadInForce(ctx context.Context, editor *confstore.Editor) (*config.Document, error) {
	var inForce config.Revision
	for _, addr := range e.Daemons {
		if status, err := e.operators().Status(ctx, addr, false); err == nil {
			inForce = max(inForce, config.Revision(status.ConfigRevision))
		}
	}
	doc, err := editor.Load(ctx)
	if err != nil {
		return nil, err
	}
	if doc.Revision < inForce {
		return nil, fmt.Errorf("nothing was changed: %w: %d, daemons have %d", confstore.ErrStoreBehind, doc.Revision, inForce)
	}
	return doc, nil
}

// awaitBase waits until every live daemon has base in force, if the members of
// a group change and daemons are given to ask. Old and new majorities overlap
// from one revision to the next only: a daemon two changes behind could fence a
// majority of the members it knows and promote a second primary.
func awaitBase(ctx context.Context, env *Env, base, after *config.Document) error {
	if len(env.Daemons) == 0 || len(membersChanged(base, after)) == 0 {
		return nil
	}
	if _, err := waitInForce(ctx, env, uint64(base.Revision)); err != nil {
		return Timeoutf("nothing was changed: the members of a group change only when all live daemons have the revision before: %w", err)
	}
	return nil
}

// commit checks and commits all steps that lead to after.
func commit(ctx context.Context, editor *confstore.Editor, meta confstore.Meta, base, after *config.Document) (*changeResult, error) {
	steps, err := splitSteps(base, after)
	if err != nil {
		return nil, err
	}
	result := &changeResult{Revision: base.Revision, ChangeID: base.ChangeID}
	for _, step := range steps {
		next, err := editor.Commit(ctx, base, step, meta)
		if errors.Is(err, confstore.ErrNoChange) {
			continue
		}
		if err != nil {
			return nil, partly(err, result, len(steps))
		}
		made := config.Diff(base, next)
		made.Revision, made.ChangeID = next.Revision, next.ChangeID
		result.Changes = append(result.Changes, made)
		result.Revision, result.ChangeID, result.Changed = next.Revision, next.ChangeID, true
		base = next
	}
	return result, nil
}

// partly says of a change in several steps how many of them are in force.
func partly(err error, result *changeResult, steps int) error {
	if len(result.Changes) == 0 {
		return err
	}
	return Timeoutf("%d of %d steps are in force, up to revision %d; then: %w", len(result.Changes), steps, result.Revision, err)
}

// finish prints the result and waits for the daemons if asked to.
func finish(ctx context.Context, env *Env, o ChangeOptions, base *config.Document, result *changeResult) error {
	if !env.JSON {
		printChange(env, base, result)
	}
	if len(env.Daemons) == 0 {
		warnMembers(env, base, result)
	}
	var waitErr error
	if o.Wait {
		result.Daemons, waitErr = waitInForce(ctx, env, uint64(result.Revision))
	}
	if env.JSON {
		if err := env.WriteJSON(result); err != nil {
			return err
		}
	}
	return waitErr
}

func printChange(env *Env, base *config.Document, result *changeResult) {
	if !result.Changed {
		fmt.Fprintf(env.Stdout, "nothing changes; revision %d is in force\n", result.Revision)
		return
	}
	for i := range result.Changes {
		made := &result.Changes[i]
		fmt.Fprintf(env.Stdout, "revision %d (change %s)\n%s\n", made.Revision, made.ChangeID, indent(config.Describe(base, made)))
		if next, err := config.Apply(base, made); err == nil {
			base = next
		}
	}
}

// warnMembers says what awaitBase could not see to without daemons.
func warnMembers(env *Env, base *config.Document, result *changeResult) {
	for i := range result.Changes {
		after := &config.Document{Groups: result.Changes[i].SetGroups}
		for _, id := range membersChanged(base, after) {
			fmt.Fprintf(env.Stderr, "the members of group %s change: let revision %d come in force everywhere before the next such change\n", id, result.Revision)
		}
	}
}

// membersChanged returns the groups of after that exist in base with another
// number of members; one that swaps members is refused by the check.
func membersChanged(base, after *config.Document) []core.GroupID {
	var ids []core.GroupID
	for id, group := range after.Groups {
		if old := base.Groups[id]; old != nil && len(old.Members) != len(group.Members) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (o ChangeOptions) meta() confstore.Meta {
	meta := confstore.Meta{Author: o.Author, Reason: o.Reason}
	if meta.Author == "" {
		if u, err := user.Current(); err == nil {
			meta.Author = u.Username
		}
	}
	return meta
}

// editor opens the store.
func (e *Env) editor() (*confstore.Editor, error) {
	s, err := e.Store()
	if err != nil {
		return nil, err
	}
	editor := confstore.NewEditor(s, e.Prefix)
	editor.Now = e.Now
	return editor, nil
}

// document reads the accepted configuration from the store.
func (e *Env) document(ctx context.Context) (*config.Document, error) {
	editor, err := e.editor()
	if err != nil {
		return nil, err
	}
	return editor.Load(ctx)
}
