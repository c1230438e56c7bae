package front

import "limpetspan/pkg/pgframe"

// transaction is the state of a caller's transaction: the one at the target,
// and whether the front has failed it (see the package documentation).
type transaction struct {
	// remote is the status at the target; 'I' when it is gone.
	remote byte
	// failed is set after a request of the transaction was refused or lost.
	failed bool
}

// status is what ReadyForQuery says.
func (t *transaction) status() byte {
	if t.failed {
		return pgframe.StatusFailed
	}
	return t.remote
}

// idle reports whether the caller is outside a transaction.
func (t *transaction) idle() bool { return t.remote == pgframe.StatusIdle && !t.failed }

// refused notes that a request was refused by the front. The rest of its
// transaction must not be committed without it.
func (t *transaction) refused() {
	if t.remote == pgframe.StatusInTransaction {
		t.failed = true
	}
}

// lost notes that the handler failed a request. now is the status that it
// reports, 0 when the transaction is gone; ends says that the request was to
// end the transaction, so that nothing of it can follow.
func (t *transaction) lost(now byte, ends bool) {
	if now == 0 {
		now = pgframe.StatusIdle
	}
	if ends && now == pgframe.StatusIdle {
		t.done(now)
		return
	}
	if t.remote != pgframe.StatusIdle || now != pgframe.StatusIdle {
		t.failed = true
	}
	t.remote = now
}

// done notes a complete answer.
func (t *transaction) done(now byte) {
	t.remote, t.failed = now, false
}
