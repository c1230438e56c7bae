package daemon

import (
	"fmt"

	"github.com/hashicorp/go-hclog"

	"limpetspan/pkg/front"
	"limpetspan/pkg/peer"
	"limpetspan/pkg/settings"
)

// Check reads every file and secret that the settings name, as a start would,
// without binding or connecting to anything. The error is a settings.Problems.
func Check(name string, s *settings.Settings) error {
	var problems settings.Problems
	add := func(section, key string, err error) {
		if err != nil {
			problems = append(problems, settings.Problem{File: name, Section: section, Key: key, Message: err.Error()})
		}
	}
	_, err := front.LoadUsers(s.Callers.UsersFile)
	add("callers", "users_file", err)
	if c := s.Callers; c.TLSCertificate != "" {
		_, err = front.LoadCertificate(c.TLSCertificate, c.TLSKey, hclog.NewNullLogger())
		add("callers", "tls_certificate", err)
	}
	if p := s.Peers; p.TLSCertificate != "" {
		_, err = peer.LoadTLS(p.TLSCertificate, p.TLSKey, p.TLSCA)
		add("peers", "tls_certificate", err)
	}
	_, err = targetTLS(s.Targets)
	add("targets", "tls_ca", err)
	add("targets", "password_file", readable(s.Targets.Password))
	add("gossip", "key_file", readable(s.Gossip.Key))
	if len(problems) == 0 {
		return nil
	}
	return problems
}

// readable reports whether a secret that is named can be read and is not empty.
func readable(s settings.Secret) error {
	if !s.IsSet() {
		return nil
	}
	value, err := s.Read()
	if err == nil && value == "" {
		return fmt.Errorf("the secret is empty")
	}
	return err
}
