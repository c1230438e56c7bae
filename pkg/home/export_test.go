package home

import "limpetspan/core"

// RemoveOldKeys runs one round of the removal of must-not-repeat keys.
func (m *Manager) RemoveOldKeys(id core.GroupID, member core.MemberID) error {
	s := m.shard(id)
	s.mu.Lock()
	control := s.control(member)
	s.mu.Unlock()
	return s.removeOldKeys(control)
}
