package proxy

import (
	"time"

	"limpetspan/core"
	"limpetspan/core/admission"
	"limpetspan/core/direct"
	"limpetspan/platform"
)

// InstallDocument implements metadata.Owner.
func (v *view) InstallDocument(value []byte) {
	catalog, err := platform.ParseConfiguration(value)
	if err != nil {
		v.p.log.Error("configuration cannot be parsed", "error", err.Error())
		return
	}
	v.InstallCatalog(catalog)
}

// InstallCatalog implements metadata.Owner. It ignores a configuration whose version is not higher
// than that in force: another daemon may have an older one, and so may the store after a restore or
// an interrupted watch.
func (v *view) InstallCatalog(catalog *direct.Catalog) {
	p := v.p
	v.installMu.Lock()
	defer v.installMu.Unlock()
	if old := p.catalog.Load(); old != nil && old.Version >= catalog.Version {
		return
	}
	for _, problem := range catalog.Problems {
		p.log.Error("part of the configuration cannot be used", "version", catalog.Version, "problem", problem)
	}
	p.catalog.Store(catalog)
	if p.configuredAt.CompareAndSwap(0, int64(now())) {
		close(p.configured)
	}
	p.log.Info("configuration in force", "version", catalog.Version, "routes", len(catalog.Routes))
	for _, g := range p.allGroups() {
		spec, ok := catalog.Groups[g.id]
		if !ok {
			continue
		}
		g.update(func(r *direct.Group, _ core.Time) []direct.Effect {
			r.Configure(spec)
			return nil
		})
	}
	p.metadata.SetCatalog(catalog)
	p.homes.update()
}

// catchUp fetches the configuration from the daemon at the address, which has announced a higher
// version.
func (p *Proxy) catchUp(addr string, version uint64) {
	tried, err := p.metadata.CatchUp(addr, version)
	if tried {
		p.log.Info("configuration", "fetched_from", addr, "wanted", version, "has", p.metadata.Version(), "error", errorText(err))
	}
}

// configurationWait returns how long a caller that connects now waits for the first configuration.
// When a fleet starts for the first time, there are no callers yet whose attempts would be lost.
func (p *Proxy) configurationWait() time.Duration {
	if p.settings.FirstStart {
		return 0
	}
	return admission.ConfigurationWait(now().Sub(p.startedAt))
}

// awaitCatalog returns the configuration in force. It waits at most as long as given for the first
// one, and returns nil if there is none by then.
func (p *Proxy) awaitCatalog(wait time.Duration) *direct.Catalog {
	if catalog := p.catalog.Load(); catalog != nil {
		return catalog
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-p.configured:
		p.stats.configurationAwaited.Add(1)
	case <-timer.C:
	case <-p.done:
	}
	return p.catalog.Load()
}
