package config

import (
	"fmt"
	"strings"
)

// UnknownKindError: the statement names a kind that is not declared.
type UnknownKindError struct{ Kind string }

func (e *UnknownKindError) Error() string { return fmt.Sprintf("kind %q is not declared", e.Kind) }

// NoDefaultGroupError: the statement names no kind and no group serves those.
type NoDefaultGroupError struct{}

func (e *NoDefaultGroupError) Error() string {
	return "the statement names no kind and no default group is declared"
}

// VersionNotInServiceError: the statement is written for a schema version that
// is not in service, or not for this record.
type VersionNotInServiceError struct {
	Kind, Version string
	// InService are the versions that are in service for the record.
	InService []string
}

func (e *VersionNotInServiceError) Error() string {
	return fmt.Sprintf("version %q of kind %q is not in service here; in service: %s",
		e.Version, e.Kind, strings.Join(e.InService, ", "))
}

// KeyMissingError: a take-over of the kind runs, and without the record's key
// nobody can tell which side owns it.
type KeyMissingError struct{ Kind string }

func (e *KeyMissingError) Error() string {
	return fmt.Sprintf("a take-over of kind %q runs: the statement must give the record's key", e.Kind)
}

// FencedError: the bucket takes no writes for the moment. The entry holds the
// statement and routes it again under a later revision, within its deadline.
type FencedError struct {
	Kind   string
	Bucket int
	// Revision is the revision under which the bucket was found fenced.
	Revision Revision
}

func (e *FencedError) Error() string {
	return fmt.Sprintf("bucket %d of kind %q takes no writes for the moment (revision %d)", e.Bucket, e.Kind, e.Revision)
}
