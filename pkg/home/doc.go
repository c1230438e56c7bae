// Package home is the shell around the reducer of package core/group: it turns
// requests, timers, connections and peers' messages into events, carries out
// the effects, and moves the bytes of requests and answers, which the reducer
// never sees.
//
// # Concurrency
//
// A Manager holds one Shard for each database group of which the daemon is home
// or candidate. A Shard's mutex is held during Reduce and while the effects are
// handed out, so that the order of the events is the order of the Reduce calls
// and of their effects. Handing out never blocks: a request's goroutine gets its
// part through a buffered channel, and everything that may wait (dialling,
// probing, fencing, closing, peers, logging) runs in goroutines of its own.
// A caller that reads slowly blocks only its own goroutine and connection.
//
// # Replay
//
// The reducer sees nothing but events and the time of each call. With a Recorder
// both are kept, and the recorded events reproduce the recorded effects.
package home
