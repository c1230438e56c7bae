package main_test

import (
	"encoding/json"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/platform/standin"
)

// platformSettings writes a settings file as the platform does.
func platformSettings(dir, store, callers string) string {
	a, b := freePort(), freePort()
	ready, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer ready.Close()
	data, err := json.Marshal(map[string]any{
		"node_name": "edge-1", "ip": "127.0.0.2", "zone": "zone-1", "seeds": []string{"127.0.0.3:1"},
		"listen":         map[string]any{"frontend": callers, "ready": ready.Addr().String()},
		"internal_ports": []int{min(a, b), max(a, b)}, "limits": map[string]any{"memory_mb": 200},
		"bounds": map[string]any{"grace_s": 1}, "platform": map[string]any{"address": store, "ttl_min_ms": 1000},
		"cloud_api": map[string]any{"address": store}, "not_known_yet": 1,
	})
	Expect(err).NotTo(HaveOccurred())
	file := filepath.Join(dir, "settings.json")
	Expect(os.WriteFile(file, data, 0o600)).To(Succeed())
	return file
}

func freePort() int {
	l, err := net.Listen("tcp", "127.0.0.2:0")
	Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

var _ = Describe("limpetspand --platform", func() {
	const waitLimit = 20 * time.Second

	start := func(file string) (*exec.Cmd, chan error) {
		binary := filepath.Join(GinkgoT().TempDir(), "limpetspand")
		out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(out))
		cmd := exec.Command(binary, "--platform")
		cmd.Env = append(os.Environ(), "LIMPETSPAN_CONFIG="+file)
		Expect(cmd.Start()).To(Succeed())
		ended := make(chan error, 1)
		go func() { ended <- cmd.Wait() }()
		DeferCleanup(func() { _ = cmd.Process.Kill() })
		return cmd, ended
	}

	// The platform signals that the settings file has changed. The signal's default
	// action ended the process, with all requests that it had.
	It("goes on after SIGHUP, with changed or broken settings, and ends as asked after SIGTERM", func() {
		store, err := standin.NewStore()
		Expect(err).NotTo(HaveOccurred())
		defer store.Close()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		callers := l.Addr().String()
		Expect(l.Close()).To(Succeed())
		dir := GinkgoT().TempDir()
		cmd, ended := start(platformSettings(dir, store.Addr(), callers))
		listening := func() error {
			c, err := net.Dial("tcp", callers)
			if err == nil {
				_ = c.Close()
			}
			return err
		}
		Eventually(listening, waitLimit).Should(Succeed())
		Expect(cmd.Process.Signal(syscall.SIGHUP)).To(Succeed())
		Expect(os.WriteFile(filepath.Join(dir, "settings.json"), []byte("{"), 0o600)).To(Succeed())
		Expect(cmd.Process.Signal(syscall.SIGHUP)).To(Succeed())
		Consistently(ended, 300*time.Millisecond).ShouldNot(Receive())
		Expect(listening()).To(Succeed())
		Expect(cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
		Eventually(ended, waitLimit).Should(Receive(BeNil()))
	})

	// The platform may signal at any moment of the start. Guards against the default action, which
	// ends the process with a status other than 0 and makes a planned stop look like a crash.
	It("ends as asked when the signals come while it reads its settings", func() {
		store, err := standin.NewStore()
		Expect(err).NotTo(HaveOccurred())
		defer store.Close()
		data, err := os.ReadFile(platformSettings(GinkgoT().TempDir(), store.Addr(), "127.0.0.1:0"))
		Expect(err).NotTo(HaveOccurred())
		file := filepath.Join(GinkgoT().TempDir(), "settings.fifo")
		Expect(syscall.Mkfifo(file, 0o600)).To(Succeed())
		cmd, ended := start(file)
		// The FIFO can be opened for writing once the process reads it.
		settings, err := os.OpenFile(file, os.O_WRONLY, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(cmd.Process.Signal(syscall.SIGHUP)).To(Succeed())
		Expect(cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
		Expect(settings.Write(data)).Error().NotTo(HaveOccurred())
		Expect(settings.Close()).To(Succeed())
		Eventually(ended, waitLimit).Should(Receive(BeNil()))
	})

	It("names the missing key of its settings", func() {
		file := filepath.Join(GinkgoT().TempDir(), "settings.json")
		Expect(os.WriteFile(file, []byte(`{"node_name": "edge-1"}`), 0o600)).To(Succeed())
		_, ended := start(file)
		var err error
		Eventually(ended, waitLimit).Should(Receive(&err))
		Expect(err).To(MatchError(ContainSubstring("exit status 2")))
	})
})
