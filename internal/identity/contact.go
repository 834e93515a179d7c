package identity

import "time"

// Kind is what the connection of an attempt has shown of the process at its backend's address.
type Kind uint8

const (
	NoContact   Kind = iota // nothing is known of its connection
	Unreachable             // no connection came up
	Refused                 // the connection was refused, as nothing listened
	Connected               // the attempt was abandoned, or its connection broke, as a single one may while the process lives
	Silent                  // no answer came in time
	Answered                // an answer of any kind
)

// Contact is the contact of an attempt with its backend.
type Contact struct {
	Kind Kind
	At   time.Duration // when its connection was open; Unreachable, Refused: when it was tried; NoContact: 0
}

// Note records the contact of an attempt that was sent at sentAt and has ended. It returns when the attempt's connection was open, or 0 if
// that is not known.
func (r *Record) Note(now, sentAt float64, c Contact) (opened float64) {
	at := c.At.Seconds()
	switch c.Kind {
	case Unreachable:
		r.Failed(at)
		return 0
	case Refused:
		r.Refused(at)
		return 0
	case Silent:
		r.Failed(max(sentAt, at))
	case Answered:
		r.Answered(now, at)
	}
	return at
}
