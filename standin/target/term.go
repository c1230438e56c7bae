package target

import (
	"context"
	"fmt"
	"slices"

	"limpetspan/core"
)

// Fence raises the term, ends writing and following, aborts the open write
// transaction and terminates the work connections. It is refused with 55000
// unless the term is above the member's own.
func (m *Member) Fence(ctx context.Context, term core.Term) (core.Status, error) {
	return m.changeTerm(ctx, term, core.RoleFenced)
}

// Promote makes the member primary of the term. It is refused with 55000
// unless the term is above the member's own.
func (m *Member) Promote(ctx context.Context, term core.Term) (core.Status, error) {
	return m.changeTerm(ctx, term, core.RolePrimary)
}

func (m *Member) changeTerm(ctx context.Context, term core.Term, role core.Role) (core.Status, error) {
	if err := m.lockRunning(ctx); err != nil {
		return core.Status{}, err
	}
	if term <= m.term {
		status := m.status()
		m.mu.Unlock()
		return status, &Error{State: stateNotInState, Message: fmt.Sprintf("term %d is not above the member's term %d", term, status.Term)}
	}
	m.term = term
	m.role = role
	m.leadership++
	if role == core.RolePrimary {
		m.beginTerm(term)
	}
	m.mu.Unlock()
	if role == core.RoleFenced {
		m.endWork()
	}
	m.group.wake()
	return m.Status(), nil
}

// beginTerm needs mu.
func (m *Member) beginTerm(term core.Term) {
	history := append(slices.Clone(m.history), core.TermStart{Term: term, Start: m.position().LSN})
	m.history = history[max(0, len(history)-maxHistory):]
}

// lockRunning takes mu for writing once the member runs: nothing changes in a
// paused or crashed process.
func (m *Member) lockRunning(ctx context.Context) error {
	for {
		m.mu.Lock()
		paused := m.paused
		if paused == nil {
			if m.crashed {
				m.mu.Unlock()
				return errShutdown
			}
			return nil
		}
		m.mu.Unlock()
		select {
		case <-paused:
		case <-ctx.Done():
			return errShutdown
		}
	}
}

// awaitRunning waits until the member is not paused.
func (m *Member) awaitRunning(ctx context.Context) error {
	m.mu.RLock()
	paused := m.paused
	m.mu.RUnlock()
	if paused == nil {
		return nil
	}
	select {
	case <-paused:
		return nil
	case <-ctx.Done():
		return errShutdown
	}
}
