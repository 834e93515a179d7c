// Package packet is the form in which nodes tell each other what they share: Protocol Buffers' wire format
// (https://protobuf.dev/programming-guides/encoding), read and written field by field. A frame holds any number of
// entries. A field or a kind of entry that a node does not know is passed over and counted, so that older and newer
// versions run side by side: a new version adds fields and kinds, and changes the meaning of none.
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

// Version is that of what is written. A reader takes any from 1 on.
const Version = 1

// Kind says what an entry is.
type Kind uint8

const (
	Window      Kind = iota + 1 // Key, Window: what Node has counted
	Observation                 // Backend, Sight: what Node has seen of a backend
	LoanRequest                 // Key, Nonce, Grains: Node asks for part of a budget
	Grant                       // Key, Nonce, Grains, To: Node has lent it
	Return                      // Key, Nonce: Node holds nothing any more of what it was lent up to there
	Leave                       // Node ends
	kinds
)

// Entry is one thing that a node says. Only the fields of its kind are written.
type Entry struct {
	Kind        Kind
	Node        escrow.Node   // who says it
	Age         time.Duration // since it was true, whole milliseconds
	Key         string        // of a count, or of a budget
	Window      counts.Window
	Backend     judgement.Key
	Observation judgement.Observation
	Nonce       uint64
	Grains      int64
	To          escrow.Node
}

const (
	maxKey     = 128   // bytes
	MaxEntries = 16384 // of a frame
	maxNumber  = 1 << 20
	parts      = 16 // that sights are rounded to
)

// The numbers of the fields.
const (
	fVersion = 1
	fEntry   = 2

	fKind        = 1
	fNumber      = 2
	fIncarnation = 3
	fAge         = 4
	fKey         = 5
	fEpoch       = 6
	fCounts      = 7
	fBackend     = 8
	fSeq         = 9
	fTried       = 10
	fFailed      = 11
	fNonce       = 12
	fGrains      = 13
	fToNumber    = 14
	fToLife      = 15
)

func varint(b []byte, f protowire.Number, v uint64) []byte {
	return protowire.AppendVarint(protowire.AppendTag(b, f, protowire.VarintType), v)
}

func millis(d time.Duration) uint64 { return uint64(max(0, d) / time.Millisecond) }

// Frame writes entries. One of an age of any size has the same length, so that it may be written again when it is older.
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
		b = varint(b, fTried, rounded(e.Observation.Tried))
		b = varint(b, fFailed, min(rounded(e.Observation.Failed), rounded(e.Observation.Tried)))
	case LoanRequest, Grant, Return:
		b = varint(b, fNonce, e.Nonce)
		b = varint(b, fGrains, uint64(max(0, e.Grains)))
		if e.Kind == Grant {
			b = varint(b, fToNumber, uint64(e.To.Number))
			b = varint(b, fToLife, e.To.Incarnation)
		}
	}
	return b
}

func rounded(x float64) uint64 { return uint64(math.Round(min(max(0, x), math.MaxInt32) * parts)) }

// Decode reads a frame. Skipped is the number of entries of a kind that is not known here. An error says what no version
// writes; nothing of such a frame is to be used.
func Decode(b []byte) (entries []Entry, skipped int, err error) {
	version := uint64(0)
	err = fields(b, func(f protowire.Number, v uint64, text []byte) error {
		switch f {
		case fVersion:
			version = v
		case fEntry:
			if text == nil {
				return errors.New("an entry that is a number")
			}
			if len(entries)+skipped >= MaxEntries {
				return fmt.Errorf("more than %d entries", MaxEntries)
			}
			e, err := decode(text)
			if err != nil {
				return err
			}
			if e.Kind == 0 || e.Kind >= kinds {
				skipped++
			} else {
				entries = append(entries, e)
			}
		}
		return nil
	})
	if err == nil && version == 0 {
		err = errors.New("no version")
	}
	if err != nil {
		return nil, 0, fmt.Errorf("packet: %w", err)
	}
	return entries, skipped, nil
}

func decode(b []byte) (Entry, error) {
	var e Entry
	kind := uint64(0)
	err := fields(b, func(f protowire.Number, v uint64, text []byte) error {
		switch f {
		case fKind:
			kind = v
		case fNumber, fToNumber:
			if v > maxNumber {
				return fmt.Errorf("node number %d", v)
			}
			if f == fNumber {
				e.Node.Number = int(v)
			} else {
				e.To.Number = int(v)
			}
		case fIncarnation:
			e.Node.Incarnation = v
		case fToLife:
			e.To.Incarnation = v
		case fAge:
			e.Age = span(v)
		case fKey:
			if len(text) > maxKey {
				return fmt.Errorf("a key of %d bytes, and %d are the most", len(text), maxKey)
			}
			e.Key = string(text)
		case fEpoch:
			e.Window.Epoch = v
		case fCounts:
			for i := 0; len(text) > 0; i++ {
				n, size := protowire.ConsumeVarint(text)
				if size < 0 {
					return protowire.ParseError(size)
				}
				if i < counts.WindowEpochs {
					e.Window.Counts[i] = n
				}
				text = text[size:]
			}
		case fBackend:
			e.Backend = judgement.Key(v)
		case fSeq:
			e.Observation.Seq = v
		case fTried:
			e.Observation.Tried = float64(v) / parts
		case fFailed:
			e.Observation.Failed = float64(v) / parts
		case fNonce:
			e.Nonce = v
		case fGrains:
			if v > uint64(escrow.BudgetGrains) {
				return fmt.Errorf("%d grains, and a budget has %d", v, escrow.BudgetGrains)
			}
			e.Grains = int64(v)
		}
		return nil
	})
	if kind < uint64(kinds) {
		e.Kind = Kind(kind)
	}
	e.Window.Incarnation = e.Node.Incarnation
	return e, err
}

func span(ms uint64) time.Duration {
	return time.Duration(min(ms, uint64(24*time.Hour/time.Millisecond))) * time.Millisecond
}

// fields calls f with each field: v of one that is a number, text of one that is bytes, which is nil for the former.
func fields(b []byte, f func(n protowire.Number, v uint64, text []byte) error) error {
	for len(b) > 0 {
		n, t, size := protowire.ConsumeTag(b)
		if size < 0 {
			return protowire.ParseError(size)
		}
		b = b[size:]
		var v uint64
		var text []byte
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
			if text, size = protowire.ConsumeBytes(b); text == nil && size > 0 {
				text = []byte{}
			}
		default:
			size = protowire.ConsumeFieldValue(n, t, b)
		}
		if size < 0 {
			return protowire.ParseError(size)
		}
		b = b[size:]
		if err := f(n, v, text); err != nil {
			return err
		}
	}
	return nil
}

// Meta is what a member says of itself when it joins, beside its name and address.
type Meta struct {
	Node escrow.Node
	Site string
}

// Encode writes a Meta, in the form of an entry without a kind.
func (m Meta) Encode() []byte {
	b := varint(nil, fVersion, Version)
	b = varint(b, fNumber, uint64(m.Node.Number))
	b = varint(b, fIncarnation, m.Node.Incarnation)
	return protowire.AppendString(protowire.AppendTag(b, fKey, protowire.BytesType), m.Site)
}

// DecodeMeta reads a Meta. An error says what no version writes.
func DecodeMeta(b []byte) (Meta, error) {
	e, err := decode(b)
	if err == nil && e.Node.Incarnation == 0 {
		err = errors.New("no incarnation")
	}
	if err != nil {
		return Meta{}, fmt.Errorf("packet: meta: %w", err)
	}
	return Meta{e.Node, e.Key}, nil
}
