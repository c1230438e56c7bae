package confstore_test

import (
	"context"
	"fmt"
	"maps"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/core"
	"limpetspan/core/config"
	"limpetspan/pkg/confstore"
	"limpetspan/pkg/store/storetest"
)

func TestConfstore(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "confstore")
}

const prefix = "/limpetspan/"

// bound is for what happens within milliseconds if it happens at all.
const bound = 20 * time.Second

// newEditor returns an editor whose change ids begin with its author's name.
func newEditor(fake *storetest.Fake, author string) *confstore.Editor {
	editor := confstore.NewEditor(fake.Client, prefix)
	ids := 0
	editor.NewID = func() string { ids++; return fmt.Sprintf("%s-%d", author, ids) }
	editor.Retry = time.Millisecond
	return editor
}

// addGroup returns an edit that adds a group of one member at the port.
func addGroup(id core.GroupID, port int) func(*config.Document) (*config.Document, error) {
	return func(doc *config.Document) (*config.Document, error) {
		next := *doc
		next.Groups = maps.Clone(doc.Groups)
		if next.Groups == nil {
			next.Groups = make(map[core.GroupID]*config.Group)
		}
		next.Groups[id] = &config.Group{MaxConnections: 20, Slots: 3, Database: "park", Members: []config.Member{
			{ID: "a", Addr: fmt.Sprintf("127.0.0.1:%d", port), Zone: "kushiro"}}}
		return &next, nil
	}
}

// mustAdd commits a group by itself.
func mustAdd(ctx context.Context, editor *confstore.Editor, id core.GroupID, port int) *config.Document {
	GinkgoHelper()
	doc, err := editor.Update(ctx, nil, confstore.Meta{Author: "test"}, addGroup(id, port))
	Expect(err).NotTo(HaveOccurred())
	return doc
}

func testContext() context.Context {
	ctx, cancel := storetest.Context()
	DeferCleanup(cancel)
	return ctx
}
