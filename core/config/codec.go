package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// Limits on encoded sizes, in bytes. The store accepts values of up to one
// megabyte; a whole document is only sent between daemons.
const (
	MaxChangeSize   = 256 << 10
	MaxDocumentSize = 16 << 20
)

// ErrTooLarge is returned for an encoded value above its limit.
var ErrTooLarge = errors.New("config: too large")

// ErrNullEntry is returned for a document or change with an entry that is null.
var ErrNullEntry = errors.New("config: an entry is null")

// Encode returns the JSON of a document, a change or an entry. It is
// deterministic: struct fields keep their order and encoding/json sorts map keys.
func Encode(v any) ([]byte, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("config: encode: %w", err)
	}
	return data, nil
}

// entryChecker is a value with entries that must not be null.
type entryChecker interface{ CheckEntries() error }

// CheckEntries returns ErrNullEntry if an entry is null.
func (d *Document) CheckEntries() error {
	return errors.Join(checkEntries("groups", d.Groups), checkEntries("kinds", d.Kinds), checkEntries("takeovers", d.Takeovers))
}

// CheckEntries returns ErrNullEntry if an entry is null.
func (c *Change) CheckEntries() error {
	return errors.Join(checkEntries("groups", c.SetGroups), checkEntries("kinds", c.SetKinds),
		checkEntries("takeovers", c.SetTakeovers), checkEntries("buckets", c.SetBuckets))
}

func checkEntries[K ~string, V any](section string, entries map[K]*V) error {
	for key, entry := range entries {
		if entry == nil {
			return fmt.Errorf("%w: %s.%s", ErrNullEntry, section, key)
		}
	}
	return nil
}

// Decode reads one JSON value and rejects unknown fields, entries that are null, data after the value,
// and input above limit bytes. A field unknown to this version would otherwise be
// dropped silently and be missing from the next change.
func Decode(data []byte, limit int, v any) error {
	if len(data) > limit {
		return fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, len(data), limit)
	}
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return fmt.Errorf("config: decode: %w", err)
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("config: decode: data after the value")
	}
	if checked, ok := v.(entryChecker); ok {
		return checked.CheckEntries()
	}
	return nil
}

// DecodeDocument reads a whole document.
func DecodeDocument(data []byte) (*Document, error) {
	var doc Document
	if err := Decode(data, MaxDocumentSize, &doc); err != nil {
		return nil, err
	}
	return &doc, nil
}

// DecodeChange reads a change.
func DecodeChange(data []byte) (*Change, error) {
	var change Change
	if err := Decode(data, MaxChangeSize, &change); err != nil {
		return nil, err
	}
	return &change, nil
}
