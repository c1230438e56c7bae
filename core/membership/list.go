package membership

// place puts the member into the lists of its state.
func (r *Reducer) place(m *member) {
	r.live.put(m, m.State != Dead)
	r.dead.put(m, m.State == Dead)
	r.suspects.put(m, m.State == Suspect)
}

// memberList is a list from which a member is removed without a search.
type memberList struct {
	list []*member
	// at gives the member's position in this list.
	at func(*member) *int
}

func (l *memberList) put(m *member, in bool) {
	at := l.at(m)
	switch {
	case in && *at < 0:
		*at = len(l.list)
		l.list = append(l.list, m)
	case !in && *at >= 0:
		last := l.list[len(l.list)-1]
		l.list[*at] = last
		*l.at(last) = *at
		l.list = l.list[:len(l.list)-1]
		*at = -1
	}
}
