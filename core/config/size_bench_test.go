package config_test

import (
	"fmt"
	"runtime"
	"testing"

	"limpetspan/core"
	"limpetspan/core/config"
)

// plannedGroups is the number of groups in a fleet of the planned size.
const plannedGroups = 2800

// largeDocument returns a document of n groups of three members, and n kinds.
func largeDocument(n int) *config.Document {
	doc := &config.Document{Revision: 1, ChangeID: "one", DefaultGroup: "ring-ledger-0000",
		Groups: make(map[core.GroupID]*config.Group), Kinds: make(map[string]*config.Kind)}
	for i := range n {
		id := core.GroupID(fmt.Sprintf("ring-ledger-%04d", i))
		doc.Groups[id] = &config.Group{MaxConnections: 30, Slots: 2, Durable: true, Database: "ledger"}
		for m, zone := range []core.Zone{"ring-hall", "weigh-shed", "ring-office"} {
			doc.Groups[id].Members = append(doc.Groups[id].Members, config.Member{ID: core.MemberID('a' + rune(m)),
				Addr: fmt.Sprintf("10.%d.%d.%d:5432", m, i/250, i%250+1), Zone: zone})
		}
		doc.Kinds[fmt.Sprintf("settlement-%04d", i)] = &config.Kind{Group: id, Versions: []string{"1", "2"}, Durable: true}
	}
	return doc
}

func BenchmarkApplyOneGroup(b *testing.B) {
	doc := largeDocument(plannedGroups)
	group := *doc.Groups["ring-ledger-0000"]
	group.Slots = 3
	change := &config.Change{Revision: 2, ChangeID: "two", Parent: "one",
		SetGroups: map[core.GroupID]*config.Group{"ring-ledger-0000": &group}}
	data, _ := config.Encode(change)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := config.Apply(doc, change); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(data)), "change-bytes")
}

func BenchmarkCheckChangeOneGroup(b *testing.B) {
	doc := largeDocument(plannedGroups)
	next := *doc
	next.Revision = 2
	for b.Loop() {
		if err := config.CheckChange(doc, &next); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkDecodeDocument reports the document's encoded size and its heap size.
func BenchmarkDecodeDocument(b *testing.B) {
	data, _ := config.Encode(largeDocument(plannedGroups))
	var before, after runtime.MemStats
	collectGarbage()
	runtime.ReadMemStats(&before)
	var doc *config.Document
	for b.Loop() {
		doc, _ = config.DecodeDocument(data)
	}
	collectGarbage()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(doc)
	runtime.KeepAlive(data)
	b.ReportMetric(float64(len(data)), "document-bytes")
	b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc)), "heap-bytes")
}

// collectGarbage runs two collections, as emptying the pools of encoding/json
// requires.
func collectGarbage() {
	runtime.GC()
	runtime.GC()
}
