// Package embedded runs a small fleet in one process on loopback: the stand-in
// store, stand-in database groups and real daemons before them. The demo, the
// benches and end-to-end tests use it. limpetspand does not link it.
package embedded
