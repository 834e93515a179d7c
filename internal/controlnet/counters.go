package controlnet

import "sync/atomic"

// counters are what a process has counted since its start.
type counters struct {
	sent, received           atomic.Int64 // messages
	sentBytes, receivedBytes atomic.Int64 // of sessions that have ended
	skipped                  atomic.Int64 // fields, messages and resources of later versions
	bad                      atomic.Int64 // messages that could not be read, dropped
	slow                     atomic.Int64 // sessions ended as the other side did not read
	strangers                atomic.Int64 // connections that never became a session
	turnedAway               atomic.Int64 // connections over the limit
}

// Counts are what a process has counted since its start.
type Counts struct {
	Sent             int64 `json:"sent"`     // messages
	Received         int64 `json:"received"` // messages
	SentBytes        int64 `json:"sent_bytes"`
	ReceivedBytes    int64 `json:"received_bytes"`
	Skipped          int64 `json:"skipped"`     // fields, messages and resources of later versions
	Invalid          int64 `json:"bad"`         // messages that could not be read, dropped
	Slow             int64 `json:"slow"`        // sessions ended as the other side did not read
	FailedHandshakes int64 `json:"strangers"`   // connections that never became a session
	Rejected         int64 `json:"turned_away"` // connections over the limit
}

func (c *counters) counts() Counts {
	return Counts{Sent: c.sent.Load(), Received: c.received.Load(), SentBytes: c.sentBytes.Load(), ReceivedBytes: c.receivedBytes.Load(),
		Skipped: c.skipped.Load(), Invalid: c.bad.Load(), Slow: c.slow.Load(), FailedHandshakes: c.strangers.Load(), Rejected: c.turnedAway.Load()}
}

// add adds the bytes of a session that goes on; nil for one that does not stand yet.
func (c *Counts) add(s *session) {
	if s != nil {
		c.SentBytes += s.conn.Sent()
		c.ReceivedBytes += s.conn.Received()
	}
}
