package entry

import (
	"errors"
	"time"

	"limpetspan/core"
	"limpetspan/core/config"
	"limpetspan/pkg/errs"
	"limpetspan/pkg/exchange"
)

const (
	stepRoute = "entry.route"
	// unconfiguredRetryAfter is when to come back to a daemon that has no
	// configuration yet.
	unconfiguredRetryAfter = time.Second
	// fencedRetryAfter is when to come back to a fenced bucket: fences are short.
	fencedRetryAfter = 100 * time.Millisecond
)

// route finds the request's group under one document. A fenced bucket is no
// final error: a later document lifts the fence.
func route(doc *config.Document, req *exchange.Request) (_ config.Route, fenced bool, _ error) {
	if doc == nil || doc.Revision == 0 {
		return config.Route{}, false, errs.New(errs.Unavailable, core.OutcomeNotRun, stepRoute, "",
			"no configuration is in force at this daemon yet").WithRetryAfter(unconfiguredRetryAfter)
	}
	r, err := doc.Route(req.Kind, req.Version, req.Key, !req.Read)
	if err != nil {
		_, fenced = errors.AsType[*config.FencedError](err)
		return config.Route{}, fenced, routeError(err)
	}
	return r, false, nil
}

func routeError(err error) *errs.Error {
	switch err.(type) {
	case *config.UnknownKindError, *config.NoDefaultGroupError:
		return errs.Wrap(err, errs.UnknownKind, core.OutcomeNotRun, stepRoute, "", "%s", err)
	case *config.VersionNotInServiceError:
		return errs.Wrap(err, errs.VersionNotInService, core.OutcomeNotRun, stepRoute, "", "%s", err)
	case *config.KeyMissingError:
		return errs.Wrap(err, errs.BadRequest, core.OutcomeNotRun, stepRoute, "", "%s", err)
	case *config.FencedError:
		return errs.Wrap(err, errs.Unavailable, core.OutcomeNotRun, stepRoute, "", "%s", err).WithRetryAfter(fencedRetryAfter)
	}
	return errs.Wrap(err, errs.Internal, core.OutcomeNotRun, stepRoute, "", "%s", err)
}

// apply fills in what the route decides, and the declared defaults.
func apply(r *config.Route, req *exchange.Request) {
	req.Group = r.Group
	req.Revision = uint64(r.Revision)
	req.Durable = r.Durable
	if req.Read && req.MaxStaleness == 0 {
		req.MaxStaleness = r.MaxStaleness
	}
	if req.Floors != nil {
		req.Floor = req.Floors.Get(r.Group)
	}
}
