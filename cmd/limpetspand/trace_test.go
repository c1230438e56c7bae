package main_test

import (
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/platform/standin"
)

var _ = Describe("limpetspand --platform --trace otlp", func() {
	// Guards against a planned stop during the start that looks like a crash: the exporter is created with the context that
	// the signal has ended.
	It("ends as asked when SIGTERM comes while it reads its settings", func() {
		store, err := standin.NewStore()
		Expect(err).NotTo(HaveOccurred())
		defer store.Close()
		l, err := net.Listen("tcp", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		defer l.Close()
		data, err := os.ReadFile(platformSettings(GinkgoT().TempDir(), store.Addr(), "127.0.0.1:0"))
		Expect(err).NotTo(HaveOccurred())
		file := filepath.Join(GinkgoT().TempDir(), "settings.fifo")
		Expect(syscall.Mkfifo(file, 0o600)).To(Succeed())
		binary := filepath.Join(GinkgoT().TempDir(), "limpetspand")
		out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(out))
		cmd := exec.Command(binary, "--platform", "--trace", "otlp", "--trace-endpoint", "http://"+l.Addr().String())
		cmd.Env = append(os.Environ(), "LIMPETSPAN_CONFIG="+file)
		cmd.Stderr = GinkgoWriter
		Expect(cmd.Start()).To(Succeed())
		DeferCleanup(func() { _ = cmd.Process.Kill() })
		settings, err := os.OpenFile(file, os.O_WRONLY, 0)
		Expect(err).NotTo(HaveOccurred())
		Expect(cmd.Process.Signal(syscall.SIGTERM)).To(Succeed())
		Expect(settings.Write(data)).Error().NotTo(HaveOccurred())
		Expect(settings.Close()).To(Succeed())
		Expect(cmd.Wait()).To(Succeed())
	})
})
