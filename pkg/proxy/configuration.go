package proxy

import (
	"crypto/sha256"

	"limpetspan/core"
	"limpetspan/core/direct"
	"limpetspan/platform"
)

// InstallDocument implements metadata.Owner.
func (v *view) InstallDocument(value []byte) {
	catalog, err := platform.ParseConfiguration(value)
	if err != nil {
		v.reportUnreadable(value, err)
		return
	}
	v.InstallCatalog(catalog)
}

// reportUnreadable records a document that cannot be decoded, once however often it is read. The
// configuration in force stays.
func (v *view) reportUnreadable(document []byte, err error) {
	digest := sha256.Sum256(document)
	v.mu.Lock()
	known := v.unreadable == digest
	v.unreadable = digest
	v.mu.Unlock()
	if known {
		return
	}
	v.p.unreadable.counts.Add(kindConfiguration, 1)
	v.p.log.Error("configuration cannot be parsed", "error", boundText(err.Error()))
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
	p.reportProblems(catalog)
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

// maxLoggedProblems bounds the log lines about the parts of one configuration that cannot be used.
const maxLoggedProblems = 20

func (p *Proxy) reportProblems(catalog *direct.Catalog) {
	p.unreadable.counts.Add(kindConfigurationPart, int64(len(catalog.Problems)))
	for _, problem := range catalog.Problems[:min(len(catalog.Problems), maxLoggedProblems)] {
		p.log.Error("part of the configuration cannot be used", "version", catalog.Version, "problem", problem, "problems", len(catalog.Problems))
	}
}

// catchUp fetches the configuration from the daemon at the address, which has announced a higher
// version.
func (p *Proxy) catchUp(addr string, version uint64) {
	tried, err := p.metadata.CatchUp(addr, version)
	if tried {
		p.log.Info("configuration", "fetched_from", addr, "wanted", version, "has", p.metadata.Version(), "error", errorText(err))
	}
}
