package store

import (
	"context"
	"encoding/json"
	"time"

	"limpetspan/standin/control"
)

type delayArg struct {
	MS    int64  `json:"ms"`
	Kinds []Kind `json:"kinds"`
}

type loseArg struct {
	Count int    `json:"count"`
	Kinds []Kind `json:"kinds"`
}

type limitsArg struct {
	Writes float64 `json:"writes"`
	Reads  float64 `json:"reads"`
}

type outageArg struct {
	On   bool   `json:"on"`
	Mode Outage `json:"mode"`
}

type restoreArg struct {
	Revision int64 `json:"revision"`
}

type lagArg struct {
	MS int64 `json:"ms"`
}

// Register puts the faults of the server and the host list on a control mux.
func Register(m *control.Mux, s *Server, hosts *HostList) {
	handle(m, "/store/outage", `{"on":true,"mode":"refuse"|"drop"|"silent"}`, func(a outageArg) (any, error) {
		if !a.On {
			return nil, s.SetOutage(OutageNone)
		}
		if a.Mode == OutageNone {
			a.Mode = OutageRefuse
		}
		return nil, s.SetOutage(a.Mode)
	})
	handle(m, "/store/delay", `{"ms":200,"kinds":["txn"]}; no kinds: all; 0 ms ends it`, func(a delayArg) (any, error) {
		s.SetDelay(time.Duration(a.MS)*time.Millisecond, a.Kinds...)
		return nil, nil
	})
	handle(m, "/store/lose", `{"count":1,"kinds":["txn"]}: the answers of the next calls are lost after taking effect`, func(a loseArg) (any, error) {
		s.LoseAnswers(a.Count, a.Kinds...)
		return nil, nil
	})
	handle(m, "/store/limits", `{"writes":300,"reads":2000}: calls per second, 0: no limit`, func(a limitsArg) (any, error) {
		s.SetLimits(a.Writes, a.Reads)
		return nil, nil
	})
	handle(m, "/store/restore", `{"revision":12}: bring the state of an older revision back`, func(a restoreArg) (any, error) {
		return nil, s.Restore(a.Revision)
	})
	handle(m, "/store/counts", `{}: calls so far and the revision`, func(struct{}) (any, error) {
		return struct {
			Counts
			Revision int64 `json:"revision"`
		}{s.Counts(), s.engine.Revision()}, nil
	})
	handle(m, "/hosts/set", `{"addr":"127.0.0.1:5432","zone":"kushiro","state":"live"|"leaving"}`, func(h Host) (any, error) {
		return nil, hosts.Set(h)
	})
	handle(m, "/hosts/remove", `{"addr":"127.0.0.1:5432"}`, func(h Host) (any, error) {
		hosts.Remove(h.Addr)
		return nil, nil
	})
	handle(m, "/hosts/lag", `{"ms":5000}: how late changes of the list appear`, func(a lagArg) (any, error) {
		hosts.SetLag(time.Duration(a.MS) * time.Millisecond)
		return nil, nil
	})
}

// handle registers a function of a typed argument.
func handle[Arg any](m *control.Mux, path, doc string, f func(Arg) (any, error)) {
	m.Handle(path, doc, func(_ context.Context, raw json.RawMessage) (any, error) {
		var arg Arg
		if err := json.Unmarshal(raw, &arg); err != nil {
			return nil, err
		}
		return f(arg)
	})
}
