package front

import (
	"bytes"
	"slices"
	"strings"

	"limpetspan/pkg/errs"
)

// parameter is one name and value of a startup message.
type parameter struct{ name, value string }

func parseStartup(packet []byte) ([]parameter, error) {
	malformed := notRun
	var parameters []parameter
	for {
		name, rest, ok := cutString(packet)
		if !ok {
			return nil, malformed(errs.BadRequest, stepStartup, "malformed startup packet: no terminator")
		}
		if len(name) == 0 {
			if len(rest) != 0 {
				return nil, malformed(errs.BadRequest, stepStartup, "malformed startup packet: bytes behind the terminator")
			}
			return parameters, nil
		}
		value, rest, ok := cutString(rest)
		if !ok {
			return nil, malformed(errs.BadRequest, stepStartup, "malformed startup packet: parameter without a value")
		}
		parameters = append(parameters, parameter{string(name), string(value)})
		packet = rest
	}
}

// takeParameters reads user, database and settings.
func (c *caller) takeParameters(parameters []parameter) error {
	database := ""
	for _, p := range parameters {
		var err *errs.Error
		switch {
		case p.name == "user":
			c.user = p.value
		case p.name == "database":
			database = p.value
		case p.name == "options":
			err = c.takeOptions(p.value)
		case p.name == "replication":
			if on, _ := parseBool(p.value); on || p.value == "database" {
				err = notRun(errs.Unsupported, stepStartup, "replication connections are not carried")
			}
		case strings.HasPrefix(p.name, protocolOptionPrefix):
		default:
			err = c.startSetting(strings.ToLower(p.name), p.value)
		}
		if err != nil {
			return err
		}
	}
	if c.user == "" {
		return notRun(kindInvalidStartup, stepStartup, "no user name in the startup packet")
	}
	if database == "" {
		database = c.user
	}
	if allowed := c.server.options.Databases; len(allowed) > 0 && !slices.Contains(allowed, database) {
		return notRun(kindNoDatabase, stepStartup, "database %q does not exist", database)
	}
	return nil
}

// startSetting takes a setting given at startup.
func (c *caller) startSetting(name, value string) *errs.Error {
	if short, ours := strings.CutPrefix(name, settingPrefix); ours {
		bit := directiveOf(short)
		if bit == 0 {
			return unknownSetting(name).err
		}
		return c.settings.set(bit, value)
	}
	if holdsAnyway(name, value) {
		return nil
	}
	return foreignSetting(name, value)
}

// takeOptions reads command-line options: -c name=value and --name=value.
func (c *caller) takeOptions(options string) *errs.Error {
	words := splitOptions(options)
	for i := 0; i < len(words); i++ {
		word := words[i]
		setting, ok := strings.CutPrefix(word, "--")
		if ok {
			name, value, _ := strings.Cut(setting, "=")
			setting = strings.ReplaceAll(name, "-", "_") + "=" + value
		} else if setting, ok = strings.CutPrefix(word, "-c"); ok && setting == "" && i+1 < len(words) {
			i++
			setting = words[i]
		}
		name, value, pair := strings.Cut(setting, "=")
		if !ok || !pair || name == "" {
			return notRun(errs.BadRequest, stepStartup,
				"malformed startup options: -c name=value and --name=value are allowed")
		}
		if err := c.startSetting(strings.ToLower(name), value); err != nil {
			return err
		}
	}
	return nil
}

// splitOptions splits at white space; a backslash takes the next character as it is.
func splitOptions(s string) []string {
	var words []string
	var word bytes.Buffer
	inside := false
	for i := 0; i < len(s); i++ {
		switch c := s[i]; {
		case c == '\\' && i+1 < len(s):
			i++
			word.WriteByte(s[i])
			inside = true
		case strings.IndexByte(" \t\r\n", c) >= 0:
			if inside {
				words = append(words, word.String())
			}
			word.Reset()
			inside = false
		default:
			word.WriteByte(c)
			inside = true
		}
	}
	if inside {
		words = append(words, word.String())
	}
	return words
}

// defaultParameters are what ParameterStatus messages report.
var defaultParameters = map[string]string{
	"server_version":                "16.0",
	"server_encoding":               "UTF8",
	"client_encoding":               "UTF8",
	"DateStyle":                     "ISO, MDY",
	"IntervalStyle":                 "postgres",
	"TimeZone":                      "UTC",
	"integer_datetimes":             "on",
	"standard_conforming_strings":   "on",
	"is_superuser":                  "off",
	"default_transaction_read_only": "off",
	"in_hot_standby":                "off",
}
