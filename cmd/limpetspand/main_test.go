package main_test

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("the command line", Ordered, func() {
	var binary, dir string

	BeforeAll(func() {
		dir = GinkgoT().TempDir()
		binary = filepath.Join(dir, "limpetspand")
		out, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput()
		Expect(err).NotTo(HaveOccurred(), string(out))
	})

	run := func(args ...string) (string, int) {
		out, err := exec.Command(binary, args...).CombinedOutput()
		if exit, ok := errors.AsType[*exec.ExitError](err); ok {
			return string(out), exit.ExitCode()
		}
		Expect(err).NotTo(HaveOccurred())
		return string(out), 0
	}

	It("checks settings and says by its exit code how that went", func() {
		users := filepath.Join(dir, "users")
		Expect(os.WriteFile(users, nil, 0o600)).To(Succeed())
		file := filepath.Join(dir, "d.ini")
		good := "[daemon]\nid = d\nzone = z\n[callers]\nusers_file = " + users +
			"\n[store]\nendpoints = http://127.0.0.1:1\n[targets]\nuser = u\n"
		Expect(os.WriteFile(file, []byte(good), 0o600)).To(Succeed())
		out, code := run("--config", file, "--check")
		Expect(code).To(Equal(0), out)
		Expect(os.WriteFile(file, []byte(good+"[log]\nlevle = info\n"), 0o600)).To(Succeed())
		out, code = run("--config", file, "--check")
		Expect(code).To(Equal(2))
		Expect(out).To(ContainSubstring("[log] levle: unknown key; allowed: level"))
		Expect(os.WriteFile(file, []byte(good+"password_env = LIMPETSPAN_TEST_ABSENT\n"), 0o600)).To(Succeed())
		out, code = run("--config", file, "--check")
		Expect(code).To(Equal(2))
		Expect(out).To(ContainSubstring("environment variable LIMPETSPAN_TEST_ABSENT is not set"))
		_, code = run()
		Expect(code).To(Equal(2))
		_, code = run("--config", filepath.Join(dir, "absent.ini"))
		Expect(code).To(Equal(2))
	})

	It("shows examples and its version", func() {
		out, code := run("--help")
		Expect(code).To(Equal(0))
		Expect(out).To(ContainSubstring("limpetspand --config daemon.ini --check"))
		out, code = run("--version")
		Expect(code).To(Equal(0))
		Expect(out).To(ContainSubstring("limpetspand "))
	})
})
