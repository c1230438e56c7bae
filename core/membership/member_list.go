package membership

// updateLists updates the lists after a change of the member's state.
func (r *Reducer) updateLists(m *member) {
	r.live.set(m, m.State != Dead)
	r.dead.set(m, m.State == Dead)
	r.suspects.set(m, m.State == Suspect)
}

// memberList is a list of members with removal in constant time.
type memberList struct {
	list []*member
	// index returns the member's position in this list, -1 if absent.
	index func(*member) *int
}

func (l *memberList) set(m *member, in bool) {
	position := l.index(m)
	switch {
	case in && *position < 0:
		*position = len(l.list)
		l.list = append(l.list, m)
	case !in && *position >= 0:
		last := l.list[len(l.list)-1]
		l.list[*position] = last
		*l.index(last) = *position
		l.list = l.list[:len(l.list)-1]
		*position = -1
	}
}
