package controlnet

import "sync/atomic"

// counters are the counts of a process since its start.
type counters struct {
	sent, received           atomic.Int64 // messages
	sentBytes, receivedBytes atomic.Int64 // of sessions that have ended
	skipped                  atomic.Int64 // fields, messages and resources of later protocol versions
	invalid                  atomic.Int64 // messages dropped because they could not be decoded or were rejected by the publisher
	slow                     atomic.Int64 // sessions closed because the peer did not read fast enough
	failedHandshakes         atomic.Int64 // connections closed because the handshake failed or the role was not accepted
	rejected                 atomic.Int64 // connections over the limit of subscribers
}

// Counts is a copy of the counts of a process since its start.
type Counts struct {
	Sent             int64 `json:"sent"`     // messages
	Received         int64 `json:"received"` // messages
	SentBytes        int64 `json:"sent_bytes"`
	ReceivedBytes    int64 `json:"received_bytes"`
	Skipped          int64 `json:"skipped"`     // fields, messages and resources of later protocol versions
	Invalid          int64 `json:"bad"`         // messages dropped because they could not be decoded or were rejected by the publisher
	Slow             int64 `json:"slow"`        // sessions closed because the peer did not read fast enough
	FailedHandshakes int64 `json:"strangers"`   // connections closed because the handshake failed or the role was not accepted
	Rejected         int64 `json:"turned_away"` // connections over the limit of subscribers
}

func (c *counters) counts() Counts {
	return Counts{Sent: c.sent.Load(), Received: c.received.Load(), SentBytes: c.sentBytes.Load(), ReceivedBytes: c.receivedBytes.Load(),
		Skipped: c.skipped.Load(), Invalid: c.invalid.Load(), Slow: c.slow.Load(), FailedHandshakes: c.failedHandshakes.Load(), Rejected: c.rejected.Load()}
}

// add adds the bytes of a session that is still open; s is nil if it is not established yet.
func (c *Counts) add(s *session) {
	if s != nil {
		c.SentBytes += s.conn.Sent()
		c.ReceivedBytes += s.conn.Received()
	}
}
