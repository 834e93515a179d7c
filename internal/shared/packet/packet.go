// Package packet is the wire format of what nodes share: Protocol Buffers encoding
// (https://protobuf.dev/programming-guides/encoding), read and written field by field. A frame has any number of entries. A
// reader skips fields that it does not know, and skips and counts entries of a kind that it does not know, so that older
// and newer versions work together: a new version adds fields and kinds, and never changes the meaning of existing ones.
package packet

import (
	"errors"
	"fmt"
	"math"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"craneglade/internal/shared/counts"
	"craneglade/internal/shared/escrow"
	"craneglade/internal/shared/judgement"
)

// Version is the version that is written. A reader accepts any version from 1 on.
const Version = 1

// Kind is the type of an entry.
type Kind uint8

const (
	Window      Kind = iota + 1 // Key, Window: counts of Node
	Observation                 // Backend, Observation: what Node has seen of a backend
	LoanRequest                 // Key, Nonce, Grains: Node asks for grains of a budget
	Grant                       // Key, Nonce, Grains, To: Node has lent grains to To
	Return                      // Key, Nonce: Node has released all loans up to Nonce
	Leave                       // Node leaves the fleet
	kindEnd
)

// Entry is one item of a frame. Only the fields of its kind are written.
type Entry struct {
	Kind        Kind
	Node        escrow.Node   // the node that it comes from
	Age         time.Duration // in whole milliseconds
	Key         string        // of a count or a budget
	Window      counts.Window
	Backend     judgement.Key
	Observation judgement.Observation
	Nonce       uint64
	Grains      int64
	To          escrow.Node
}

const (
	maxKeyBytes      = 128
	MaxEntries       = 16384 // entries in a frame
	maxNodeNumber    = 1 << 20
	observationScale = 16 // attempts and failures are rounded to 1/16
)

// Field numbers of a frame, and then of an entry.
const (
	fVersion = 1
	fEntry   = 2

	fKind          = 1
	fNumber        = 2
	fIncarnation   = 3
	fAge           = 4
	fKey           = 5
	fEpoch         = 6
	fCounts        = 7
	fBackend       = 8
	fSeq           = 9
	fAttempts      = 10
	fFailures      = 11
	fNonce         = 12
	fGrains        = 13
	fToNumber      = 14
	fToIncarnation = 15
)

func varint(b []byte, f protowire.Number, v uint64) []byte {
	return protowire.AppendVarint(protowire.AppendTag(b, f, protowire.VarintType), v)
}

func millis(d time.Duration) uint64 { return uint64(max(0, d) / time.Millisecond) }

// Frame encodes entries. The length does not depend on their ages, so that an entry that has waited can be encoded again.
func Frame(entries ...Entry) []byte {
	b := varint(nil, fVersion, Version)
	for i := range entries {
		b = protowire.AppendBytes(protowire.AppendTag(b, fEntry, protowire.BytesType), entries[i].append(nil))
	}
	return b
}

func (e *Entry) append(b []byte) []byte {
	b = varint(b, fKind, uint64(e.Kind))
	b = varint(b, fNumber, uint64(e.Node.Number))
	b = varint(b, fIncarnation, e.Node.Incarnation)
	b = protowire.AppendFixed32(protowire.AppendTag(b, fAge, protowire.Fixed32Type), uint32(min(millis(e.Age), math.MaxUint32)))
	if e.Kind != Observation {
		b = protowire.AppendString(protowire.AppendTag(b, fKey, protowire.BytesType), e.Key)
	}
	switch e.Kind {
	case Window:
		b = varint(b, fEpoch, e.Window.Epoch)
		var packed []byte
		for _, n := range e.Window.Counts {
			packed = protowire.AppendVarint(packed, n)
		}
		b = protowire.AppendBytes(protowire.AppendTag(b, fCounts, protowire.BytesType), packed)
	case Observation:
		b = protowire.AppendFixed64(protowire.AppendTag(b, fBackend, protowire.Fixed64Type), uint64(e.Backend))
		b = varint(b, fSeq, e.Observation.Seq)
		b = varint(b, fAttempts, scaled(e.Observation.Attempts))
		b = varint(b, fFailures, min(scaled(e.Observation.Failures), scaled(e.Observation.Attempts)))
	case LoanRequest, Grant, Return:
		b = varint(b, fNonce, e.Nonce)
		b = varint(b, fGrains, uint64(max(0, e.Grains)))
		if e.Kind == Grant {
			b = varint(b, fToNumber, uint64(e.To.Number))
			b = varint(b, fToIncarnation, e.To.Incarnation)
		}
	}
	return b
}

func scaled(x float64) uint64 {
	return uint64(math.Round(min(max(0, x), math.MaxInt32) * observationScale))
}

// Decode decodes a frame. Skipped is the number of entries of unknown kinds. On an error the frame is malformed, and
// nothing of it is returned.
func Decode(b []byte) (entries []Entry, skipped int, err error) {
	version := uint64(0)
	err = parseFields(b, func(f protowire.Number, v uint64, data []byte) error {
		switch f {
		case fVersion:
			version = v
		case fEntry:
			if data == nil {
				return errors.New("an entry is encoded as a number, not as bytes")
			}
			if len(entries)+skipped >= MaxEntries {
				return fmt.Errorf("frame has more than %d entries", MaxEntries)
			}
			e, err := decode(data)
			if err != nil {
				return err
			}
			if e.Kind == 0 || e.Kind >= kindEnd {
				skipped++
			} else {
				entries = append(entries, e)
			}
		}
		return nil
	})
	if err == nil && version == 0 {
		err = errors.New("version is missing")
	}
	if err != nil {
		return nil, 0, fmt.Errorf("packet: %w", err)
	}
	return entries, skipped, nil
}

func decode(b []byte) (Entry, error) {
	var e Entry
	kind := uint64(0)
	err := parseFields(b, func(f protowire.Number, v uint64, data []byte) error {
		switch f {
		case fKind:
			kind = v
		case fNumber, fToNumber:
			if v > maxNodeNumber {
				return fmt.Errorf("node number %d is out of range", v)
			}
			if f == fNumber {
				e.Node.Number = int(v)
			} else {
				e.To.Number = int(v)
			}
		case fIncarnation:
			e.Node.Incarnation = v
		case fToIncarnation:
			e.To.Incarnation = v
		case fAge:
			e.Age = ageOf(v)
		case fKey:
			if len(data) > maxKeyBytes {
				return fmt.Errorf("key has %d bytes, and the maximum is %d", len(data), maxKeyBytes)
			}
			e.Key = string(data)
		case fEpoch:
			e.Window.Epoch = v
		case fCounts:
			for i := 0; len(data) > 0; i++ {
				n, size := protowire.ConsumeVarint(data)
				if size < 0 {
					return protowire.ParseError(size)
				}
				if i < counts.WindowEpochs {
					e.Window.Counts[i] = n
				}
				data = data[size:]
			}
		case fBackend:
			e.Backend = judgement.Key(v)
		case fSeq:
			e.Observation.Seq = v
		case fAttempts:
			e.Observation.Attempts = float64(v) / observationScale
		case fFailures:
			e.Observation.Failures = float64(v) / observationScale
		case fNonce:
			e.Nonce = v
		case fGrains:
			if v > uint64(escrow.BudgetGrains) {
				return fmt.Errorf("%d grains are more than the %d of a budget", v, escrow.BudgetGrains)
			}
			e.Grains = int64(v)
		}
		return nil
	})
	if kind < uint64(kindEnd) {
		e.Kind = Kind(kind)
	}
	e.Window.Incarnation = e.Node.Incarnation
	return e, err
}

func ageOf(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(24*time.Hour/time.Millisecond))) * time.Millisecond
}

// parseFields calls f with each field. A numeric field has its value in v and nil data; a bytes field has its value in
// data.
func parseFields(b []byte, f func(n protowire.Number, v uint64, data []byte) error) error {
	for len(b) > 0 {
		n, t, size := protowire.ConsumeTag(b)
		if size < 0 {
			return protowire.ParseError(size)
		}
		b = b[size:]
		var v uint64
		var data []byte
		switch t {
		case protowire.VarintType:
			v, size = protowire.ConsumeVarint(b)
		case protowire.Fixed32Type:
			var v32 uint32
			v32, size = protowire.ConsumeFixed32(b)
			v = uint64(v32)
		case protowire.Fixed64Type:
			v, size = protowire.ConsumeFixed64(b)
		case protowire.BytesType:
			if data, size = protowire.ConsumeBytes(b); data == nil && size > 0 {
				data = []byte{}
			}
		default:
			size = protowire.ConsumeFieldValue(n, t, b)
		}
		if size < 0 {
			return protowire.ParseError(size)
		}
		b = b[size:]
		if err := f(n, v, data); err != nil {
			return err
		}
	}
	return nil
}

// Meta is a node's description of itself in the membership, besides its name and address.
type Meta struct {
	Node escrow.Node
	Site string
}

// Encode encodes the description, as an entry without a kind.
func (m Meta) Encode() []byte {
	b := varint(nil, fVersion, Version)
	b = varint(b, fNumber, uint64(m.Node.Number))
	b = varint(b, fIncarnation, m.Node.Incarnation)
	return protowire.AppendString(protowire.AppendTag(b, fKey, protowire.BytesType), m.Site)
}

// DecodeMeta decodes a description. On an error it is malformed.
func DecodeMeta(b []byte) (Meta, error) {
	e, err := decode(b)
	if err == nil && e.Node.Incarnation == 0 {
		err = errors.New("incarnation is missing")
	}
	if err != nil {
		return Meta{}, fmt.Errorf("packet: meta: %w", err)
	}
	return Meta{e.Node, e.Key}, nil
}
