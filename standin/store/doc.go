// Package store is the stand-in for the platform's key-value service: an
// in-memory engine (revisions, transactions, leases, watches, the host list)
// and an http.Handler that speaks the part of the etcd v3 JSON gateway that
// limpetspan uses, with faults to be switched on. It keeps nothing on disk and
// is one process: it stands for the service, not for its replication.
//
// Assumptions where the platform's words leave room: a keep-alive counts as a
// write; a waiting watch counts as one read in each second that it waits; the
// rate limits refuse at once (HTTP 429) and do not queue.
package store
