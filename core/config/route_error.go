package config

import (
	"fmt"
	"strings"
)

// UnknownKindError is returned if the statement names a kind that is not declared.
type UnknownKindError struct{ Kind string }

func (e *UnknownKindError) Error() string { return fmt.Sprintf("kind %q is not declared", e.Kind) }

// NoDefaultGroupError is returned if the statement names no kind and no default
// group is declared.
type NoDefaultGroupError struct{}

func (e *NoDefaultGroupError) Error() string {
	return "the statement names no kind and no default group is declared"
}

// VersionNotInServiceError is returned if the statement is written for a schema
// version that is not in service, or not for this record.
type VersionNotInServiceError struct {
	Kind, Version string
	// InService are the versions that are in service for the record.
	InService []string
}

func (e *VersionNotInServiceError) Error() string {
	return fmt.Sprintf("version %q of kind %q is not in service here; in service: %s",
		e.Version, e.Kind, strings.Join(e.InService, ", "))
}

// KeyMissingError is returned if a take-over of the kind is active and the
// statement lacks the record's key, which determines the owning side.
type KeyMissingError struct{ Kind string }

func (e *KeyMissingError) Error() string {
	return fmt.Sprintf("a take-over of kind %q runs: the statement must give the record's key", e.Kind)
}

// FencedError is returned if the bucket currently accepts no writes. The entry
// holds the statement and routes it again under a later revision, within its
// deadline.
type FencedError struct {
	Kind   string
	Bucket int
	// Revision is the revision under which the bucket is fenced.
	Revision Revision
}

func (e *FencedError) Error() string {
	return fmt.Sprintf("bucket %d of kind %q takes no writes for the moment (revision %d)", e.Bucket, e.Kind, e.Revision)
}
