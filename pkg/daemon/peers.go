package daemon

import (
	"context"
	"fmt"

	"limpetspan/core"
	"limpetspan/core/config"
	"limpetspan/core/group"
	"limpetspan/pkg/errs"
	"limpetspan/pkg/fleet"
	"limpetspan/pkg/home"
	"limpetspan/pkg/peer"
	"limpetspan/pkg/peer/peerpb"
)

// peers sends the homes' and the configuration's messages to other daemons.
type peers struct {
	client *peer.Client
	self   core.DaemonID
	daemon func(core.DaemonID) (fleet.Daemon, bool)
}

// call sends a call to the daemon with the id.
func (p *peers) call(ctx context.Context, to core.DaemonID, call *peerpb.Call) (*peerpb.Reply, error) {
	d, ok := p.daemon(to)
	if !ok || d.PeerAddr == "" {
		return nil, errs.New(errs.Unavailable, core.OutcomeNotRun, "peer.find", string(to), "daemon %s is not known", to)
	}
	return p.client.Call(ctx, d.PeerAddr, call)
}

// SendBeat implements home.Peers.
func (p *peers) SendBeat(ctx context.Context, to core.DaemonID, h fleet.Home) error {
	_, err := p.call(ctx, to, &peerpb.Call{Call: &peerpb.Call_HomeBeat{HomeBeat: &peerpb.HomeBeat{
		Group: string(h.Group), Home: string(h.Daemon), Term: uint64(h.Term), Primary: string(h.Primary), Released: h.Released,
	}}})
	return err
}

// AskOpinion implements home.Peers.
func (p *peers) AskOpinion(ctx context.Context, to core.DaemonID, id core.GroupID, member core.MemberID) (home.Opinion, error) {
	reply, err := p.call(ctx, to, &peerpb.Call{Call: &peerpb.Call_Opinion{Opinion: &peerpb.OpinionCall{
		Group: string(id), Member: string(member),
	}}})
	if err != nil {
		return home.Opinion{}, err
	}
	return home.Opinion{Reachable: reply.GetOpinion().GetReachable(), Zone: core.Zone(reply.GetOpinion().GetZone())}, nil
}

// SendHandover implements home.Peers.
func (p *peers) SendHandover(ctx context.Context, to core.DaemonID, id core.GroupID, term core.Term, sessions []group.SessionPosition) error {
	handover := &peerpb.Handover{Group: string(id), From: string(p.self), Term: uint64(term)}
	for _, s := range sessions {
		handover.Sessions = append(handover.Sessions, &peerpb.SessionPosition{
			Session:  string(s.Session),
			Position: &peerpb.Position{Term: uint64(s.Position.Term), Lsn: uint64(s.Position.LSN)},
		})
	}
	_, err := p.call(ctx, to, &peerpb.Call{Call: &peerpb.Call_Handover{Handover: handover}})
	return err
}

// Changes implements confstore.PeerSource.
func (p *peers) Changes(ctx context.Context, from core.DaemonID, after config.Revision) ([]config.Change, *config.Document, error) {
	reply, err := p.call(ctx, from, &peerpb.Call{Call: &peerpb.Call_Config{Config: &peerpb.ConfigCall{After: uint64(after)}}})
	if err != nil {
		return nil, nil, err
	}
	var changes []config.Change
	for _, data := range reply.GetConfig().GetChanges() {
		change, err := config.DecodeChange(data)
		if err != nil {
			return nil, nil, fmt.Errorf("change from daemon %s: %w", from, err)
		}
		changes = append(changes, *change)
	}
	if len(reply.GetConfig().GetDocument()) == 0 {
		return changes, nil, nil
	}
	document, err := config.DecodeDocument(reply.GetConfig().GetDocument())
	if err != nil {
		return nil, nil, fmt.Errorf("document from daemon %s: %w", from, err)
	}
	return changes, document, nil
}
