package direct

import "limpetspan/core"

// TicketRecord is what the store keeps of a group's ticket, apart from whose it
// is. The zero record is that of a group which has had none.
type TicketRecord struct {
	// Term is what the claim counts on, or the reign that it left if Free.
	Term core.Term `json:"term"`
	// Highest is the highest term that any ticket of the group has named.
	Highest core.Term `json:"highest"`
	// Free: the holder has given it back.
	Free bool `json:"free,omitempty"`
	// Pending: it was given back while an earlier order for Term was unresolved.
	Pending bool `json:"pending,omitempty"`
}

// TicketSeen is what a read of the group's ticket shows; zero: there is none.
type TicketSeen struct {
	Term core.Term
	// Reign: Term is a reign, as it was given back, rather than what a claim counts on.
	Reign bool
}

// Seen is what a read of the record shows.
func (r TicketRecord) Seen() TicketSeen { return TicketSeen{Term: r.Term, Reign: r.Free && !r.Pending} }

// Ticket is the right to order a promotion.
type Ticket struct {
	// Token is the fencing token, which rises from one ticket to the next.
	Token uint64
	// Term is the one that the ticket names. It is higher than that of every ticket
	// before it, so that daemons do not take it for a promotion which has had its
	// effect.
	Term core.Term
	// Highest is the highest term that any ticket so far has named.
	Highest core.Term
	// Unresolved is the term of the ticket before it if that was not given back:
	// its holder may have ordered a promotion of which nobody here has heard.
	Unresolved core.Term
}

// Claim is the record that EffectClaim writes over r, and the ticket that it makes;
// its token comes with the write.
func (r TicketRecord) Claim(e Effect) (TicketRecord, Ticket) {
	term := max(e.Term, r.Highest+1)
	if e.Repair {
		term = max(e.Term, r.Term)
	}
	t := Ticket{Term: term, Highest: max(term, r.Highest)}
	if !r.Free || r.Pending {
		t.Unresolved = r.Term
	}
	return TicketRecord{Term: term, Highest: t.Highest}, t
}

// Withdrawn is the record that takes the place of a claim on r which was not answered.
func (r TicketRecord) Withdrawn(claim TicketRecord) TicketRecord {
	r.Free = r.Free || r == TicketRecord{}
	r.Highest = claim.Highest
	return r
}

// Returned is the record that EffectReleaseTicket writes.
func (e Effect) Returned() TicketRecord {
	return TicketRecord{Term: e.Term, Highest: e.Highest, Free: true, Pending: e.Pending}
}
