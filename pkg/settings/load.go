package settings

import (
	"fmt"
	"net"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// loadOptions makes parsing strict: an inline comment needs a preceding space, lines are
// not continued, and repeated keys are kept so that they can be rejected.
var loadOptions = ini.LoadOptions{
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	IgnoreContinuation:         true,
	SpaceBeforeInlineComment:   true,
}

// Default returns the settings of an empty file. Required settings are empty.
func Default() *Settings {
	s := &Settings{}
	for i := range Table {
		// The tests check that the defaults parse.
		_ = Table[i].parse(s, Table[i].Default)
	}
	return s
}

// Load reads and checks the file. The error is a Problems with every fault found, or the
// reason why the file could not be parsed as INI.
func Load(path string) (*Settings, error) {
	file, err := ini.LoadSources(loadOptions, path)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return build(path, file)
}

// Parse is Load for a text in memory; name is the file name in errors.
func Parse(name string, text []byte) (*Settings, error) {
	file, err := ini.LoadSources(loadOptions, text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return build(name, file)
}

func build(name string, file *ini.File) (*Settings, error) {
	s := Default()
	problems := findUnknownKeys(name, file)
	for i := range Table {
		if p := applySetting(s, &Table[i], file); p != nil {
			p.File = name
			problems = append(problems, *p)
		}
	}
	problems = append(problems, s.validate(name)...)
	if len(problems) > 0 {
		return nil, problems
	}
	return s, nil
}

// findUnknownKeys returns the sections and keys that are not in the table. It does not show
// their values, because a misplaced password must not reach the log.
func findUnknownKeys(name string, file *ini.File) Problems {
	var problems Problems
	for _, section := range file.Sections() {
		keys := keysOf(section.Name())
		if section.Name() == ini.DefaultSection {
			for _, key := range section.KeyStrings() {
				problems = append(problems, Problem{File: name, Section: "", Key: key,
					Message: "key outside of any section", Allowed: "sections " + strings.Join(sectionNames(), ", ")})
			}
			continue
		}
		if len(keys) == 0 {
			problems = append(problems, Problem{File: name, Section: section.Name(),
				Message: "unknown section", Allowed: strings.Join(sectionNames(), ", ")})
			continue
		}
		for _, key := range section.KeyStrings() {
			if !slices.Contains(keys, key) {
				problems = append(problems, Problem{File: name, Section: section.Name(), Key: key,
					Message: "unknown key", Allowed: strings.Join(keys, ", ")})
			}
		}
	}
	return problems
}

func applySetting(s *Settings, t *Setting, file *ini.File) *Problem {
	problem := &Problem{Section: t.Section, Key: t.Key, Allowed: t.Allowed()}
	text := ""
	if section, err := file.GetSection(t.Section); err == nil && section.HasKey(t.Key) {
		values := section.Key(t.Key).ValueWithShadows()
		if len(values) > 1 {
			problem.Message = "given more than once"
			return problem
		}
		text = strings.TrimSpace(section.Key(t.Key).Value())
	}
	if text == "" && t.Required {
		problem.Message = "required, but missing"
		return problem
	}
	if text == "" {
		return nil
	}
	if err := t.parse(s, text); err != nil {
		problem.Message = fmt.Sprintf("%q: %v", text, err)
		return problem
	}
	return nil
}

// validate finds conflicts between settings that are each valid by themselves.
func (s *Settings) validate(name string) Problems {
	var problems Problems
	add := func(bad bool, section, key, message string) {
		if bad {
			problems = append(problems, Problem{File: name, Section: section, Key: key, Message: message})
		}
	}
	add((s.Callers.TLSCertificate == "") != (s.Callers.TLSKey == ""), "callers", "tls_key",
		"tls_certificate and tls_key are set together or not at all")
	add(s.Callers.TLS == TLSRequire && s.Callers.TLSCertificate == "", "callers", "tls",
		"require needs tls_certificate")
	peers := []string{s.Peers.TLSCertificate, s.Peers.TLSKey, s.Peers.TLSCA}
	add(slices.Contains(peers, "") && strings.Join(peers, "") != "", "peers", "tls_ca",
		"tls_certificate, tls_key and tls_ca are set together or not at all")
	add(s.Peers.Advertise == "" && isUnspecified(s.Peers.Listen), "peers", "advertise",
		"required when listen is an unspecified address")
	add(s.Gossip.Advertise == "" && isUnspecified(s.Gossip.Listen), "gossip", "advertise",
		"required when listen is an unspecified address")
	add(s.Gossip.Key.File != "" && s.Gossip.Key.Env != "", "gossip", "key_env",
		"only one of key_file and key_env is allowed")
	add(s.Targets.Password.File != "" && s.Targets.Password.Env != "", "targets", "password_env",
		"only one of password_file and password_env is allowed")
	add(3*s.Tuning.ProbeInterval > s.Tuning.Lease, "tuning", "probe_interval",
		"must be at most a third of lease, so that one lost probe does not end the lease")
	add(s.Tuning.ProbeInterval+s.Tuning.ProbeTimeout >= s.Tuning.Lease, "tuning", "probe_timeout",
		"must be less than lease minus probe_interval, so that the probe after a lost one still renews the lease")
	add(s.Trace.Exporter == ExporterOTLP && checkURL(s.Trace.Endpoint) != nil, "trace", "endpoint",
		"an http or https URL is required with exporter otlp")
	return problems
}

func isUnspecified(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	ip := net.ParseIP(host)
	return err == nil && ip != nil && ip.IsUnspecified()
}

func sectionNames() []string {
	var names []string
	for _, t := range Table {
		if !slices.Contains(names, t.Section) {
			names = append(names, t.Section)
		}
	}
	return names
}

func keysOf(section string) []string {
	var keys []string
	for _, t := range Table {
		if t.Section == section {
			keys = append(keys, t.Key)
		}
	}
	return keys
}
