package daemon

import (
	"context"

	"limpetspan/core"
	"limpetspan/core/config"
	"limpetspan/core/group"
	"limpetspan/pkg/errs"
	"limpetspan/pkg/fleet"
	"limpetspan/pkg/peer/peerpb"
)

const stepCall = "daemon.call"

// Call answers the unary calls of other daemons.
func (d *Daemon) Call(ctx context.Context, call *peerpb.Call) (*peerpb.Reply, error) {
	switch c := call.GetCall().(type) {
	case *peerpb.Call_HomeBeat:
		d.beat(c.HomeBeat)
		return &peerpb.Reply{}, nil
	case *peerpb.Call_Opinion:
		return d.opinion(ctx, c.Opinion)
	case *peerpb.Call_Handover:
		return &peerpb.Reply{}, d.handover(c.Handover)
	case *peerpb.Call_Config:
		return d.changes(c.Config)
	case *peerpb.Call_Takeover:
		return &peerpb.Reply{}, d.orderFromPeer(ctx, c.Takeover)
	case *peerpb.Call_KeyCancel:
		d.front.CancelKey(c.KeyCancel.GetProcessId(), c.KeyCancel.GetSecret())
		return &peerpb.Reply{}, nil
	}
	return nil, errs.New(errs.Unsupported, core.OutcomeNotRun, stepCall, string(d.id), "this daemon does not answer %T", call.GetCall())
}

// beat takes in a heartbeat of a home. It reaches the candidates before the announcement of a new home,
// which spreads by gossip. Without it this daemon's entry sends writes to a frozen home for as long as
// that takes, and these end as unknown although the new home serves.
func (d *Daemon) beat(b *peerpb.HomeBeat) {
	home := fleet.Home{
		Group: core.GroupID(b.GetGroup()), Daemon: core.DaemonID(b.GetHome()), Term: core.Term(b.GetTerm()),
		Primary: core.MemberID(b.GetPrimary()), Released: b.GetReleased(),
	}
	d.homes.HomeNews(home, true)
	if known, ok := d.gossip.Home(home.Group); !ok || home.Term > known.Term || home.Term == known.Term && home.Released != known.Released {
		d.gossip.AnnounceHome(home)
	}
}

func (d *Daemon) opinion(ctx context.Context, c *peerpb.OpinionCall) (*peerpb.Reply, error) {
	opinion, err := d.homes.Opinion(ctx, core.GroupID(c.GetGroup()), core.MemberID(c.GetMember()))
	if err != nil {
		return nil, err
	}
	return &peerpb.Reply{Opinion: &peerpb.OpinionReply{Reachable: opinion.Reachable, Zone: string(opinion.Zone)}}, nil
}

func (d *Daemon) handover(h *peerpb.Handover) error {
	sessions := make([]group.SessionPosition, 0, len(h.GetSessions()))
	for _, s := range h.GetSessions() {
		sessions = append(sessions, group.SessionPosition{
			Session:  core.SessionID(s.GetSession()),
			Position: core.Position{Term: core.Term(s.GetPosition().GetTerm()), LSN: core.LSN(s.GetPosition().GetLsn())},
		})
	}
	return d.homes.Handover(core.GroupID(h.GetGroup()), core.DaemonID(h.GetFrom()), core.Term(h.GetTerm()), sessions)
}

func (d *Daemon) changes(c *peerpb.ConfigCall) (*peerpb.Reply, error) {
	changes, document := d.follower.Changes(config.Revision(c.GetAfter()))
	reply := &peerpb.ConfigReply{Revision: uint64(d.follower.Current().Revision)}
	for i := range changes {
		data, err := config.Encode(&changes[i])
		if err != nil {
			return nil, err
		}
		reply.Changes = append(reply.Changes, data)
	}
	if document != nil {
		data, err := config.Encode(document)
		if err != nil {
			return nil, err
		}
		reply.Document = data
	}
	return &peerpb.Reply{Config: reply}, nil
}
