// Package process_test runs the two programs as separate processes, as they
// run on hosts, and checks what callers are promised while processes are
// killed, frozen and stopped, members of a group fail, and the store is down.
package process_test

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/tests/knownred"
)

const (
	// bound is how long a test waits for what must come.
	bound = 30 * time.Second
	// pollInterval is the pause between looks at what is waited for.
	pollInterval = 20 * time.Millisecond
	// daemonEnv names a limpetspand to use in place of the built one, such as
	// one with a guard taken out, to see that a test notices.
	daemonEnv = "LIMPETSPAN_TEST_DAEMON"
)

var _ = BeforeEach(func() {
	line, err := knownred.Line(CurrentSpecReport().FullText())
	Expect(err).NotTo(HaveOccurred())
	if line != "" {
		Skip("known to fail: " + line)
	}
})

// programs are the paths of the built programs.
var programs struct{ limpetspan, limpetspand string }

func TestProcess(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "process")
}

var _ = BeforeSuite(func() {
	SetDefaultEventuallyTimeout(bound)
	SetDefaultEventuallyPollingInterval(pollInterval)
	dir := GinkgoT().TempDir()
	programs.limpetspan = filepath.Join(dir, "limpetspan")
	programs.limpetspand = filepath.Join(dir, "limpetspand")
	build := exec.Command("go", "build", "-o", dir, "limpetspan/cmd/limpetspan", "limpetspan/cmd/limpetspand")
	out, err := build.CombinedOutput()
	Expect(err).NotTo(HaveOccurred(), "%s", out)
	if given := os.Getenv(daemonEnv); given != "" {
		programs.limpetspand = given
	}
	ctx, cancel := context.WithCancel(context.Background())
	supplier.Go(func() error { supplyFleets(ctx, dir); return nil })
	DeferCleanup(func() {
		cancel()
		Expect(supplier.Wait()).To(Succeed())
		for f := range fleets {
			f.close()
		}
	})
})
