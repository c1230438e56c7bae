package front

import (
	"limpetspan/core"
	"limpetspan/pkg/errs"
)

// exchangeDirectives returns the directives of the entire exchange.
func (b *batch) exchangeDirectives() core.Directives {
	d := b.merged
	if b.spoken == 0 {
		d = b.settings.values
	}
	if b.controls {
		// What follows in the transaction is unknown: only the connection's
		// settings can declare all of it to be reads.
		d.Read = d.Read && b.settings.values.Read
		d.MaxStaleness = min(d.MaxStaleness, b.settings.values.MaxStaleness)
	}
	if !b.executes {
		// Preparing a statement must not use up its key.
		d.Once = ""
	}
	return d
}

// mergeDirectives takes the cautious value where that is right for both
// statements, and refuses what contradicts.
func mergeDirectives(to, d *core.Directives) *errs.Error {
	conflict := directiveSet(0)
	switch {
	case to.Session != d.Session:
		conflict = hasSession
	case to.Kind != d.Kind:
		conflict = hasKind
	case to.Version != d.Version:
		conflict = hasVersion
	case to.Key != d.Key:
		conflict = hasKey
	case to.Once != d.Once:
		conflict = hasOnce
	}
	if conflict != 0 {
		return notRun(errs.BadRequest, stepDirective,
			"the statements of one batch contradict each other in %s; send them apart", conflict.name())
	}
	to.Read = to.Read && d.Read
	to.MaxStaleness = min(to.MaxStaleness, d.MaxStaleness)
	if to.Timeout == 0 || d.Timeout != 0 && d.Timeout < to.Timeout {
		to.Timeout = d.Timeout
	}
	return nil
}
