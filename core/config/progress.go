package config

import (
	"bytes"
	"math/bits"
	"reflect"
)

// BucketSets is the progress of a take-over: see Takeover.Worker, Flipped and
// Fenced.
type BucketSets struct {
	Worker  string `json:"worker,omitempty"`
	Flipped []byte `json:"flipped,omitempty"`
	Fenced  []byte `json:"fenced,omitempty"`
}

// progressOf returns the fields of a take-over that its workers change, as opposed
// to those that operators declare.
func progressOf(t *Takeover) *BucketSets {
	return &BucketSets{Worker: t.Worker, Flipped: t.Flipped, Fenced: t.Fenced}
}

// setProgress replaces the fields that workers change.
func setProgress(t *Takeover, p *BucketSets) {
	t.Worker, t.Flipped, t.Fenced = p.Worker, p.Flipped, p.Fenced
}

// WithProgressOf returns t with the progress of from, because operators declare
// take-overs without progress.
func (t *Takeover) WithProgressOf(from *Takeover) *Takeover {
	merged := *t
	setProgress(&merged, progressOf(from))
	return &merged
}

// sameDeclaration compares the fields that operators declare.
func sameDeclaration(a, b *Takeover) bool {
	ca, cb := *a, *b
	setProgress(&ca, &BucketSets{})
	setProgress(&cb, &BucketSets{})
	return reflect.DeepEqual(ca, cb)
}

func sameProgress(a, b *Takeover) bool {
	return a.Worker == b.Worker && sameBits(a.Flipped, b.Flipped) && sameBits(a.Fenced, b.Fenced)
}

// sameBits compares bit sets; missing bytes at the end count as zero.
func sameBits(a, b []byte) bool {
	return bytes.Equal(bytes.TrimRight(a, "\x00"), bytes.TrimRight(b, "\x00"))
}

// containsBits reports whether set contains all of subset.
func containsBits(set, subset []byte) bool {
	for i, b := range subset {
		if b != 0 && (i >= len(set) || b&^set[i] != 0) {
			return false
		}
	}
	return true
}

func countBits(set []byte) int {
	n := 0
	for _, b := range set {
		n += bits.OnesCount8(b)
	}
	return n
}

// FlippedCount returns the number of buckets that the destination owns.
func (t *Takeover) FlippedCount() int { return countBits(t.Flipped) }

// FencedCount returns the number of buckets that currently accept no writes.
func (t *Takeover) FencedCount() int { return countBits(t.Fenced) }
