package gossip

import (
	"time"

	"limpetspan/core"
)

// Ready reports whether the view is whole enough to act on. A daemon that has
// just started knows itself only, and would take itself for the best candidate
// of every group; the homes that it then claimed would change hands for nothing.
func (s *Service) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reducer.Ready(core.Time(time.Since(s.epoch)))
}
