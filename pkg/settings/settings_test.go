package settings_test

import (
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"limpetspan/pkg/settings"
)

var _ = Describe("settings", func() {
	var users string

	BeforeEach(func() {
		users = filepath.Join(GinkgoT().TempDir(), "users")
		Expect(os.WriteFile(users, nil, 0o600)).To(Succeed())
	})

	minimal := func(more string) []byte {
		return []byte("[daemon]\nid = d1\nzone = sapporo-hall\n" +
			"[callers]\nusers_file = " + users + "\n" +
			"[store]\nendpoints = http://127.0.0.1:2379, http://127.0.0.1:2380\n" +
			"[targets]\nuser = limpetspan\n" + more)
	}

	It("fills in the defaults", func() {
		s, err := settings.Parse("a.ini", minimal("[tuning]\nlease = 2s # slow network\n[callers]\nmax_message = 1MiB\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.Daemon.ID).To(Equal("d1"))
		Expect(s.Store.Endpoints).To(HaveLen(2))
		Expect(s.Tuning.Lease).To(Equal(2 * time.Second))
		Expect(s.Callers.MaxMessage).To(Equal(int64(1 << 20)))
		Expect(s.Callers.DefaultTimeout).To(Equal(30 * time.Second))
	})

	It("reports all faults at once with file, section, key and allowed values", func() {
		_, err := settings.Parse("a.ini", []byte(
			"stray = 1\n[daemon]\nid = a b\n[callers]\nlisten = localhost:1\nstartup_timeout = 1h\nmax_message = many\n"+
				"listem = x\n[poeple]\nx = 1\n[log]\nlevel = loud\n[trace]\nexporter = otlp\nsample = NaN\n"+
				"[tuning]\nprobe_interval = 1s\nlease = 1s\nlease = 2s\n[peers]\nlisten = 0.0.0.0:1\n"))
		Expect(err).To(HaveOccurred())
		text := err.Error()
		for _, line := range []string{
			`a.ini: [] stray: key outside of any section`,
			`a.ini: [daemon] id: "a b": invalid character ' ' in a name; allowed: 1 to 64 letters`,
			`a.ini: [daemon] zone: required, but missing`,
			`a.ini: [callers] listen: "localhost:1": the host is not an IP address; allowed: IP:port`,
			`a.ini: [callers] startup_timeout: "1h": out of range; allowed: duration from 100ms to 5m`,
			`a.ini: [callers] max_message: "many": not a size`,
			`a.ini: [callers] listem: unknown key; allowed: listen, `,
			`a.ini: [poeple]: unknown section; allowed: daemon, callers, `,
			`a.ini: [log] level: "loud": unknown value; allowed: trace, debug`,
			`a.ini: [trace] endpoint: an http or https URL is required`,
			`a.ini: [trace] sample: "NaN": out of range`,
			`a.ini: [tuning] lease: given more than once`,
			`a.ini: [tuning] probe_interval: must be at most a third of lease`,
			`a.ini: [peers] advertise: required when listen is an unspecified address`,
		} {
			Expect(text).To(ContainSubstring(line))
		}
	})

	// A single lost probe must not end the lease. If the probe timeout and the next probe
	// together take longer than the lease, the home stops serving at each lost packet.
	It("rejects a probe timeout that outlasts the lease", func() {
		const tuning = "[tuning]\nlease = 600ms\nprobe_interval = 150ms\nprobe_timeout = "
		_, err := settings.Parse("a.ini", minimal(tuning+"450ms\n"))
		Expect(err).To(MatchError(ContainSubstring("a.ini: [tuning] probe_timeout: must be less than lease minus probe_interval, so that")))
		_, err = settings.Parse("a.ini", minimal(tuning+"449ms\n"))
		Expect(err).NotTo(HaveOccurred())
	})

	// An operator writes the password itself instead of the name of its file, or under an
	// unknown key. The daemon rejects the settings and logs why; the log must not contain
	// the password.
	It("does not show the value of an unknown key", func() {
		_, err := settings.Parse("a.ini", minimal("password = hunter2\n"))
		Expect(err).To(MatchError(ContainSubstring("[targets] password: unknown key")))
		Expect(err.Error()).NotTo(ContainSubstring("hunter2"))
	})

	It("reads a secret from a file or the environment and names a missing variable", func() {
		file := filepath.Join(GinkgoT().TempDir(), "secret")
		Expect(os.WriteFile(file, []byte("hunter2\n"), 0o600)).To(Succeed())
		Expect(settings.Secret{File: file}.Read()).To(Equal("hunter2"))
		GinkgoT().Setenv("LIMPETSPAN_TEST_SECRET", "hunter3")
		Expect(settings.Secret{Env: "LIMPETSPAN_TEST_SECRET"}.Read()).To(Equal("hunter3"))
		_, err := settings.Secret{Env: "LIMPETSPAN_TEST_ABSENT"}.Read()
		Expect(err).To(MatchError(ContainSubstring("LIMPETSPAN_TEST_ABSENT")))
	})

	It("has a well-formed table", func() {
		defaults := settings.Default()
		Expect(defaults.Tuning.Lease).To(BeNumerically(">", 0))
		for _, t := range settings.Table {
			Expect(t.Doc).NotTo(BeEmpty(), t.Key)
			if t.Default == "" {
				continue
			}
			_, err := settings.Parse("a.ini", minimal("["+t.Section+"]\n"+t.Key+" = "+t.Default+"\n"))
			Expect(err).NotTo(HaveOccurred(), t.Key)
		}
	})

	It("matches docs/CONFIGURATION.md", func() {
		page, err := os.ReadFile(filepath.Join("..", "..", "docs", "CONFIGURATION.md"))
		Expect(err).NotTo(HaveOccurred())
		Expect(string(page)).To(Equal(settings.Markdown()), "run: limpetspand --settings > docs/CONFIGURATION.md")
	})
})
