package gossip

import (
	"sync/atomic"

	"limpetspan/core/membership"
)

// Stats counts datagrams since the start; bytes are without IP and UDP headers.
type Stats struct {
	Sent          uint64 `json:"sent"`
	SentBytes     uint64 `json:"sent_bytes"`
	Received      uint64 `json:"received"`
	ReceivedBytes uint64 `json:"received_bytes"`
	// Rejected counts datagrams that were garbage or signed with another key.
	Rejected      uint64 `json:"rejected"`
	SendErrors    uint64 `json:"send_errors"`
	ReceiveErrors uint64 `json:"receive_errors"`
	// Suspected and Buried count daemons that this one itself suspected or declared
	// dead, Refuted the suspicions of this daemon that it refuted.
	Suspected uint64 `json:"suspected"`
	Buried    uint64 `json:"buried"`
	Refuted   uint64 `json:"refuted"`
}

type counters struct {
	sentCount, sentBytes, receivedCount, receivedBytes atomic.Uint64
	rejected, sendErrors, receiveErrors                atomic.Uint64
	suspected, buried, refuted                         atomic.Uint64
}

// decided counts a decision of the reducer.
func (c *counters) decided(message string) {
	switch message {
	case membership.LogSuspected:
		c.suspected.Add(1)
	case membership.LogDead:
		c.buried.Add(1)
	case membership.LogRefuted:
		c.refuted.Add(1)
	}
}

func (c *counters) sent(n int) {
	c.sentCount.Add(1)
	c.sentBytes.Add(uint64(n))
}

func (c *counters) received(n int) {
	c.receivedCount.Add(1)
	c.receivedBytes.Add(uint64(n))
}

// Stats returns the present counts.
func (s *Service) Stats() Stats {
	c := &s.stats
	return Stats{
		Sent: c.sentCount.Load(), SentBytes: c.sentBytes.Load(),
		Received: c.receivedCount.Load(), ReceivedBytes: c.receivedBytes.Load(),
		Rejected: c.rejected.Load(), SendErrors: c.sendErrors.Load(), ReceiveErrors: c.receiveErrors.Load(),
		Suspected: c.suspected.Load(), Buried: c.buried.Load(), Refuted: c.refuted.Load(),
	}
}
