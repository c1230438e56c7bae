package daemon_test

import (
	"context"
	"errors"
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/pkg/daemon"
	"limpetspan/pkg/settings"
)

var _ = Describe("a daemon that is stopped during its start", func() {
	// SIGTERM may come before a part has begun to serve. Guards against a daemon that then ends with
	// an error, so that its supervisor takes the planned stop for a crash.
	DescribeTable("ends all its parts without an error", func(ctx SpecContext, stop func(*daemon.Daemon, context.CancelFunc)) {
		users := filepath.Join(GinkgoT().TempDir(), "users")
		Expect(os.WriteFile(users, []byte("rider:secret\n"), 0o600)).To(Succeed())
		d := newWorld(ctx).create("d1", "a", func(s *settings.Settings, options *daemon.Options) {
			s.Callers.UsersFile, options.Users = users, nil
		})
		DeferCleanup(d.Close)
		work, cancel := context.WithCancel(ctx)
		stop(d, cancel)
		parts := d.Parts()
		Expect(parts).To(And(HaveKey("callers"), HaveKey("gossip"), HaveKey("operator"), HaveKey("peer server"), HaveKey("users")))
		ended := make(map[string]chan error)
		for name, run := range parts {
			ended[name] = make(chan error, 1)
			go func(end chan<- error) { end <- run(work) }(ended[name])
		}
		cancel()
		for name := range parts {
			var err error
			Eventually(ended[name]).WithTimeout(bound).Should(Receive(&err), name)
			Expect(err == nil || errors.Is(err, context.Canceled)).To(BeTrue(), "%s: %v", name, err)
		}
	},
		Entry("by the planned stop", func(d *daemon.Daemon, _ context.CancelFunc) { d.StopServing() }),
		Entry("at once", func(_ *daemon.Daemon, cancel context.CancelFunc) { cancel() }),
	)
})
