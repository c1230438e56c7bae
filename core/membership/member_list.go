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
	at := l.index(m)
	switch {
	case in && *at < 0:
		*at = len(l.list)
		l.list = append(l.list, m)
	case !in && *at >= 0:
		last := l.list[len(l.list)-1]
		l.list[*at] = last
		*l.index(last) = *at
		l.list = l.list[:len(l.list)-1]
		*at = -1
	}
}
