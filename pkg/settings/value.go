package settings

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"
)

// Type is the type of a setting's value.
type Type string

// The types of settings.
const (
	TypeName     Type = "name"
	TypeText     Type = "text"
	TypeAddress  Type = "address"
	TypeList     Type = "addresses"
	TypeURLs     Type = "URLs"
	TypeFile     Type = "file"
	TypeEnv      Type = "environment variable"
	TypeDuration Type = "duration"
	TypeSize     Type = "size"
	TypeInt      Type = "number"
	TypeRatio    Type = "ratio"
	TypeEnum     Type = "one of"
	TypeRecord   Type = "stream"
)

// maxNameLength bounds names, because every gossip message contains some of them.
const maxNameLength = 64

// sizeUnits are the units of sizes, largest first.
var sizeUnits = []struct {
	name  string
	bytes int64
}{{"GiB", 1 << 30}, {"MiB", 1 << 20}, {"KiB", 1 << 10}, {"B", 1}}

// parseSize parses a size such as "16MiB"; a plain number is in bytes.
func parseSize(text string) (int64, error) {
	number, factor := text, int64(1)
	for _, unit := range sizeUnits {
		if rest, ok := strings.CutSuffix(text, unit.name); ok {
			number, factor = strings.TrimSpace(rest), unit.bytes
			break
		}
	}
	n, err := strconv.ParseInt(number, 10, 64)
	if err != nil || n < 0 || n > (1<<62)/factor {
		return 0, errors.New("not a size")
	}
	return n * factor, nil
}

// parse parses the text into the setting's field of s.
func (t *Setting) parse(s *Settings, text string) error {
	switch field := t.field(s).(type) {
	case *string:
		return t.parseString(field, text)
	case *[]string:
		return t.parseList(field, text)
	case *time.Duration:
		value, err := time.ParseDuration(text)
		*field = value
		return t.inRange(err, float64(value))
	case *int64:
		value, err := parseSize(text)
		*field = value
		return t.inRange(err, float64(value))
	case *int:
		value, err := strconv.Atoi(text)
		*field = value
		return t.inRange(err, float64(value))
	case *float64:
		value, err := strconv.ParseFloat(text, 64)
		*field = value
		return t.inRange(err, value)
	default:
		return fmt.Errorf("setting has unsupported Go type %T", field)
	}
}

// inRange checks the result of parsing a number: err must be nil and the value within the
// range, which NaN never is.
func (t *Setting) inRange(err error, value float64) error {
	if err != nil {
		return fmt.Errorf("not a %s", t.Type)
	}
	if !(value >= t.parseBound(t.Min) && value <= t.parseBound(t.Max)) {
		return errors.New("out of range")
	}
	return nil
}

// parseBound parses a bound of the table. The tests check that the bounds are well-formed.
func (t *Setting) parseBound(text string) float64 {
	switch t.Type {
	case TypeDuration:
		d, _ := time.ParseDuration(text)
		return float64(d)
	case TypeSize:
		n, _ := parseSize(text)
		return float64(n)
	default:
		n, _ := strconv.ParseFloat(text, 64)
		return n
	}
}

func (t *Setting) parseString(field *string, text string) error {
	*field = text
	if text == "" {
		return nil
	}
	switch t.Type {
	case TypeName:
		return checkName(text)
	case TypeAddress:
		return checkAddress(text)
	case TypeFile:
		return checkFile(text)
	case TypeEnum:
		return t.checkEnum(text)
	case TypeRecord:
		if text == RecordNone || text == RecordStdout {
			return nil
		}
		return checkAddress(text)
	}
	return nil
}

func (t *Setting) parseList(field *[]string, text string) error {
	*field = nil
	for part := range strings.SplitSeq(text, ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			continue
		}
		check := checkAddress
		if t.Type == TypeURLs {
			check = checkURL
		}
		if err := check(part); err != nil {
			return fmt.Errorf("%q: %w", part, err)
		}
		*field = append(*field, part)
	}
	return nil
}

func (t *Setting) checkEnum(text string) error {
	for _, allowed := range t.Values {
		if text == allowed {
			return nil
		}
	}
	return errors.New("unknown value")
}

func checkName(text string) error {
	if len(text) > maxNameLength {
		return errors.New("too long")
	}
	for _, r := range text {
		if !strings.ContainsRune("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.", r) {
			return fmt.Errorf("invalid character %q in a name", r)
		}
	}
	return nil
}

func checkAddress(text string) error {
	host, port, err := net.SplitHostPort(text)
	if err != nil {
		return errors.New("not an address")
	}
	if net.ParseIP(host) == nil {
		return errors.New("the host is not an IP address")
	}
	if _, err := strconv.ParseUint(port, 10, 16); err != nil {
		return errors.New("the port is not a number from 0 to 65535")
	}
	return nil
}

func checkURL(text string) error {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return errors.New("not an http or https URL")
	}
	return nil
}

func checkFile(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("cannot be read: %w", err)
	}
	return f.Close()
}
