package proxy

import (
	"limpetspan/core"
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
	p.configuredAt.CompareAndSwap(0, int64(now()))
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
