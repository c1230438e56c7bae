package direct

import (
	"time"

	"limpetspan/core"
)

// Stamp is a time on a daemon's own clock. Its reports contain it, and other daemons send it back.
type Stamp struct {
	// Boot identifies the daemon's process, as its clock starts anew with the host. It is 0 in
	// reports of earlier versions.
	Boot int64
	At   core.Time
}

// Echo is the newest stamp of this daemon that the sender of a report has received.
type Echo struct {
	Stamp
	// Age is how long before the report the sender received the stamp, at most MaxEchoAge.
	Age time.Duration
	// NamesBoot is set if the sender sends back the boot as well. Earlier versions do not.
	NamesBoot bool
}

// MaxEchoAge is the greatest age of an echo. A greater one is reported as this.
const MaxEchoAge = time.Minute

// maxClockDrift bounds by how much two clocks may diverge within MaxEchoAge.
const maxClockDrift = 10 * time.Millisecond

// EchoFault is the reason why an echo does not date a report.
type EchoFault string

const (
	// EchoOfOtherBoot is an echo of a stamp of an earlier process.
	EchoOfOtherBoot EchoFault = "other boot"
	// EchoImpossible is an echo of a time before the start of this process or in the future.
	EchoImpossible EchoFault = "impossible"
	// EchoTooOld is an echo that names no boot and whose age is at least MaxEchoAge.
	EchoTooOld EchoFault = "too old"
)

// Process is this daemon's process.
type Process struct {
	// Boot identifies the process.
	Boot      int64
	StartedAt core.Time
}

// SentAt returns a time of this daemon's clock that is not later than the sending of the report with
// the echo, 0 if the echo shows none. received is when the report was received.
//
// A time of an earlier boot must not date anything, as old content would seem new. An echo that names
// no boot is used if it is a time of this process and in the past: before MaxEchoAge it continues the
// earlier boot's clock, which on Linux is ahead of the present one by the uptime of that boot.
func (e Echo) SentAt(received core.Time, self Process) (core.Time, EchoFault) {
	latest := received.Add(maxClockDrift)
	sent := e.At.Add(min(e.Age, MaxEchoAge))
	switch {
	case e.At == 0:
		return 0, ""
	case e.NamesBoot && e.Boot != self.Boot:
		return 0, EchoOfOtherBoot
	case e.At < self.StartedAt || e.At > latest || sent > latest:
		return 0, EchoImpossible
	case !e.NamesBoot && e.Age >= MaxEchoAge:
		return 0, EchoTooOld
	}
	return min(sent, received), ""
}
