// Package demo runs a small fleet on stand-ins, drives real callers through it
// and checks what limpetspan promises: each session reads its own writes
// through any daemon, no acknowledged write is lost or doubled when the primary
// dies, and a configuration change takes effect everywhere.
package demo
