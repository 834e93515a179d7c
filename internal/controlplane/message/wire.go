package message

import (
	"errors"
	"fmt"
	"math"
	"time"
	"unique"

	"google.golang.org/protobuf/encoding/protowire"

	"craneglade/internal/controlplane/resource"
)

// A frame is a Protocol Buffers message (https://protobuf.dev/programming-guides/encoding) that holds any number of
// messages. A field, a message or a resource of a kind that a reader does not know is passed over and counted, so that
// older and newer versions run side by side: a new version adds fields and kinds, and changes the meaning of none.

// FrameVersion is that of what is written. A reader takes any from 1 on.
const FrameVersion = 1

// Limits on a frame.
const (
	MaxFrameBytes    = 4 << 20
	MaxFrameMessages = 1024
	MaxResources     = 65536 // of one frame, set or deleted
	MaxServices      = 16384 // of one subscription
	MaxRefusedBytes  = 1024  // of the line of an Acknowledge
)

// Errors of Decode, which wraps one of them.
var (
	ErrMalformed = errors.New("malformed frame") // no version writes this
	ErrTooLarge  = errors.New("frame over its limits")
)

// The fields of a frame.
const (
	fieldFrameVersion protowire.Number = iota + 1
	fieldSubscribe
	fieldSnapshotPart
	fieldDelta
	fieldHeartbeat
	fieldAcknowledge
	fieldBusy
)

// fieldRegion is the same field in all messages.
const fieldRegion protowire.Number = 1

// The fields of a Subscribe, after the region.
const (
	fieldSubscribeAll protowire.Number = iota + 2
	fieldSubscribeService
	fieldSubscribeHaveEpoch
	fieldSubscribeHaveVersion
	fieldSubscribeDigest
	fieldSubscribeStandby
)

// The fields of a SnapshotPart, after the region.
const (
	fieldPartEpoch protowire.Number = iota + 2
	fieldPartVersion
	fieldPartIndex
	fieldPartLast
	fieldPartDigest
	fieldPartGroup
	fieldPartCompressed // a sequence of fields fieldPartGroup, compressed
)

// The fields of a Delta, after the region.
const (
	fieldDeltaFromEpoch protowire.Number = iota + 2
	fieldDeltaFromVersion
	fieldDeltaToEpoch
	fieldDeltaToVersion
	fieldDeltaDigest
	fieldDeltaGroup
)

// The fields of a Heartbeat, after the region. Where those of Sent are missing, Sent is Position.
const (
	fieldHeartbeatEpoch protowire.Number = iota + 2
	fieldHeartbeatVersion
	fieldHeartbeatSentEpoch
	fieldHeartbeatSentVersion
	fieldHeartbeatDigest
	fieldHeartbeatAge // milliseconds, rounded up
)

// The fields of an Acknowledge, after the region.
const (
	fieldAcknowledgeEpoch protowire.Number = iota + 2
	fieldAcknowledgeVersion
	fieldAcknowledgeRefused
)

// The fields of a Busy, after the region.
const fieldBusyRetryAfter protowire.Number = 2 // milliseconds, rounded up

// Skipped counts what a reader did not know.
type Skipped struct {
	Messages  int
	Resources int // set or deleted
	Fields    int
}

// Encode writes a frame. It does not hold it against the limits, as Decode does.
func Encode(messages ...Message) []byte {
	b := appendVarint(nil, fieldFrameVersion, FrameVersion)
	for _, m := range messages {
		switch m := m.(type) {
		case *Subscribe:
			b = appendBytes(b, fieldSubscribe, m.encode())
		case *SnapshotPart:
			b = appendBytes(b, fieldSnapshotPart, m.encode())
		case *Delta:
			b = appendBytes(b, fieldDelta, m.encode())
		case *Heartbeat:
			b = appendBytes(b, fieldHeartbeat, m.encode())
		case *Acknowledge:
			b = appendBytes(b, fieldAcknowledge, m.encode())
		case *Busy:
			b = appendBytes(b, fieldBusy, m.encode())
		}
	}
	return b
}

func (m *Subscribe) encode() []byte {
	b := appendText(nil, fieldRegion, m.Region)
	b = appendBool(b, fieldSubscribeAll, m.All)
	for _, service := range m.Services {
		b = appendString(b, fieldSubscribeService, service)
	}
	b = appendNumber(b, fieldSubscribeHaveEpoch, m.Have.Epoch)
	b = appendNumber(b, fieldSubscribeHaveVersion, m.Have.Version)
	b = appendDigest(b, fieldSubscribeDigest, m.Digest)
	return appendBool(b, fieldSubscribeStandby, m.Standby)
}

func (m *SnapshotPart) encode() []byte {
	b := appendText(nil, fieldRegion, m.Region)
	b = appendNumber(b, fieldPartEpoch, m.Position.Epoch)
	b = appendNumber(b, fieldPartVersion, m.Position.Version)
	b = appendNumber(b, fieldPartIndex, uint64(m.Index))
	b = appendBool(b, fieldPartLast, m.Last)
	b = appendDigest(b, fieldPartDigest, m.Digest)
	groups := appendResources(nil, fieldPartGroup, m.Resources)
	if small, ok := compress(groups); ok {
		return appendBytes(b, fieldPartCompressed, small)
	}
	return append(b, groups...)
}

func (m *Delta) encode() []byte {
	b := appendText(nil, fieldRegion, m.Region)
	b = appendNumber(b, fieldDeltaFromEpoch, m.From.Epoch)
	b = appendNumber(b, fieldDeltaFromVersion, m.From.Version)
	b = appendNumber(b, fieldDeltaToEpoch, m.To.Epoch)
	b = appendNumber(b, fieldDeltaToVersion, m.To.Version)
	b = appendDigest(b, fieldDeltaDigest, m.Digest)
	return appendChanges(b, fieldDeltaGroup, m.Changes)
}

func (m *Heartbeat) encode() []byte {
	b := appendText(nil, fieldRegion, m.Region)
	b = appendNumber(b, fieldHeartbeatEpoch, m.Position.Epoch)
	b = appendNumber(b, fieldHeartbeatVersion, m.Position.Version)
	if m.Sent != m.Position {
		b = appendVarint(b, fieldHeartbeatSentEpoch, m.Sent.Epoch)
		b = appendVarint(b, fieldHeartbeatSentVersion, m.Sent.Version)
	}
	b = appendDigest(b, fieldHeartbeatDigest, m.Digest)
	return appendNumber(b, fieldHeartbeatAge, milliseconds(m.Age))
}

func (m *Acknowledge) encode() []byte {
	b := appendText(nil, fieldRegion, m.Region)
	b = appendNumber(b, fieldAcknowledgeEpoch, m.Position.Epoch)
	b = appendNumber(b, fieldAcknowledgeVersion, m.Position.Version)
	return appendText(b, fieldAcknowledgeRefused, m.Refused)
}

func (m *Busy) encode() []byte {
	return appendNumber(appendText(nil, fieldRegion, m.Region), fieldBusyRetryAfter, milliseconds(m.RetryAfter))
}

// Decode reads a frame. The error wraps ErrMalformed or ErrTooLarge and is one line; nothing of such a frame is to be used.
// That resources are valid is not checked here.
func Decode(b []byte) ([]Message, Skipped, error) {
	d := decoder{}
	if len(b) > MaxFrameBytes {
		return nil, Skipped{}, fmt.Errorf("%w: %d bytes, at most %d", ErrTooLarge, len(b), MaxFrameBytes)
	}
	if err := d.frame(b); err != nil {
		return nil, Skipped{}, err
	}
	return d.messages, d.skipped, nil
}

// decoder reads one frame.
type decoder struct {
	messages     []Message
	resources    int
	decompressed int // bytes
	skipped      Skipped
}

func (d *decoder) frame(b []byte) error {
	version, count := uint64(0), 0
	err := eachField(b, func(f field) error {
		if f.number == fieldFrameVersion {
			return f.readNumber(&version)
		}
		if count++; count > MaxFrameMessages {
			return fmt.Errorf("%w: more than %d messages", ErrTooLarge, MaxFrameMessages)
		}
		return d.message(f)
	})
	if err == nil && version == 0 {
		err = malformed("no version")
	}
	return err
}

func (d *decoder) message(f field) error {
	var m Message
	var err error
	switch f.number {
	case fieldSubscribe:
		m, err = d.subscribe(f)
	case fieldSnapshotPart:
		m, err = d.snapshotPart(f)
	case fieldDelta:
		m, err = d.delta(f)
	case fieldHeartbeat:
		m, err = d.heartbeat(f)
	case fieldAcknowledge:
		m, err = d.acknowledge(f)
	case fieldBusy:
		m, err = d.busy(f)
	default:
		d.skipped.Messages++
		return nil
	}
	if err != nil {
		return err
	}
	if region := m.RegionName(); region == "" || len(region) > resource.MaxNameBytes {
		return malformed("a region's name of %d bytes", len(region))
	}
	d.messages = append(d.messages, m)
	return nil
}

func (d *decoder) subscribe(f field) (Message, error) {
	m := &Subscribe{}
	err := d.fields(f, func(f field) error {
		switch f.number {
		case fieldRegion:
			return f.readShared(&m.Region)
		case fieldSubscribeAll:
			return f.readBool(&m.All)
		case fieldSubscribeService:
			return f.appendService(&m.Services)
		case fieldSubscribeHaveEpoch:
			return f.readNumber(&m.Have.Epoch)
		case fieldSubscribeHaveVersion:
			return f.readNumber(&m.Have.Version)
		case fieldSubscribeDigest:
			return f.readNumber((*uint64)(&m.Digest))
		case fieldSubscribeStandby:
			return f.readBool(&m.Standby)
		}
		return errUnknownField
	})
	return m, err
}

func (d *decoder) snapshotPart(f field) (Message, error) {
	m := &SnapshotPart{}
	err := d.fields(f, func(f field) error {
		switch f.number {
		case fieldRegion:
			return f.readShared(&m.Region)
		case fieldPartEpoch:
			return f.readNumber(&m.Position.Epoch)
		case fieldPartVersion:
			return f.readNumber(&m.Position.Version)
		case fieldPartIndex:
			return f.readIndex(&m.Index)
		case fieldPartLast:
			return f.readBool(&m.Last)
		case fieldPartDigest:
			return f.readNumber((*uint64)(&m.Digest))
		case fieldPartGroup:
			return d.resourceGroup(f, &m.Resources)
		case fieldPartCompressed:
			return d.compressedGroups(f, &m.Resources)
		}
		return errUnknownField
	})
	return m, err
}

func (d *decoder) compressedGroups(f field, all *[]resource.Resource) error {
	if f.text == nil {
		return malformed("compressed resources that are a number")
	}
	groups, err := decompress(f.text, MaxFrameBytes-d.decompressed)
	if err != nil {
		return err
	}
	d.decompressed += len(groups)
	return eachField(groups, func(f field) error {
		if f.number != fieldPartGroup {
			d.skipped.Fields++
			return nil
		}
		return d.resourceGroup(f, all)
	})
}

func (d *decoder) delta(f field) (Message, error) {
	m := &Delta{}
	err := d.fields(f, func(f field) error {
		switch f.number {
		case fieldRegion:
			return f.readShared(&m.Region)
		case fieldDeltaFromEpoch:
			return f.readNumber(&m.From.Epoch)
		case fieldDeltaFromVersion:
			return f.readNumber(&m.From.Version)
		case fieldDeltaToEpoch:
			return f.readNumber(&m.To.Epoch)
		case fieldDeltaToVersion:
			return f.readNumber(&m.To.Version)
		case fieldDeltaDigest:
			return f.readNumber((*uint64)(&m.Digest))
		case fieldDeltaGroup:
			return d.group(f, &m.Changes)
		}
		return errUnknownField
	})
	return m, err
}

func (d *decoder) heartbeat(f field) (Message, error) {
	m := &Heartbeat{}
	ownSent := false
	err := d.fields(f, func(f field) error {
		switch f.number {
		case fieldRegion:
			return f.readShared(&m.Region)
		case fieldHeartbeatEpoch:
			return f.readNumber(&m.Position.Epoch)
		case fieldHeartbeatVersion:
			return f.readNumber(&m.Position.Version)
		case fieldHeartbeatSentEpoch:
			ownSent = true
			return f.readNumber(&m.Sent.Epoch)
		case fieldHeartbeatSentVersion:
			ownSent = true
			return f.readNumber(&m.Sent.Version)
		case fieldHeartbeatDigest:
			return f.readNumber((*uint64)(&m.Digest))
		case fieldHeartbeatAge:
			return f.readDuration(&m.Age)
		}
		return errUnknownField
	})
	if !ownSent {
		m.Sent = m.Position
	}
	return m, err
}

func (d *decoder) acknowledge(f field) (Message, error) {
	m := &Acknowledge{}
	err := d.fields(f, func(f field) error {
		switch f.number {
		case fieldRegion:
			return f.readShared(&m.Region)
		case fieldAcknowledgeEpoch:
			return f.readNumber(&m.Position.Epoch)
		case fieldAcknowledgeVersion:
			return f.readNumber(&m.Position.Version)
		case fieldAcknowledgeRefused:
			if len(f.text) > MaxRefusedBytes {
				return fmt.Errorf("%w: a refusal of %d bytes, at most %d", ErrTooLarge, len(f.text), MaxRefusedBytes)
			}
			return f.readString(&m.Refused)
		}
		return errUnknownField
	})
	return m, err
}

func (d *decoder) busy(f field) (Message, error) {
	m := &Busy{}
	err := d.fields(f, func(f field) error {
		switch f.number {
		case fieldRegion:
			return f.readShared(&m.Region)
		case fieldBusyRetryAfter:
			return f.readDuration(&m.RetryAfter)
		}
		return errUnknownField
	})
	return m, err
}

// errUnknownField is how a reader of fields says that a field is to be passed over and counted.
var errUnknownField = errors.New("unknown field")

// fields reads a field that holds fields.
func (d *decoder) fields(parent field, read func(field) error) error {
	if parent.text == nil {
		return malformed("field %d is a number", parent.number)
	}
	return eachField(parent.text, func(f field) error {
		err := read(f)
		if err == errUnknownField {
			d.skipped.Fields++
			return nil
		}
		return err
	})
}

// field is one field as it was read: value of one that is a number, text of one that is bytes, which is nil for the former.
type field struct {
	number protowire.Number
	value  uint64
	text   []byte
}

// eachField calls read with each field. A group, which no version writes, is passed over as an unknown field of no bytes.
func eachField(b []byte, read func(field) error) error {
	for len(b) > 0 {
		f, size := consumeField(b)
		if size < 0 {
			return malformed("%v", protowire.ParseError(size))
		}
		b = b[size:]
		if err := read(f); err != nil {
			return err
		}
	}
	return nil
}

func consumeField(b []byte) (f field, size int) {
	number, kind, tagSize := protowire.ConsumeTag(b)
	if tagSize < 0 {
		return field{}, tagSize
	}
	f.number = number
	b = b[tagSize:]
	switch kind {
	case protowire.VarintType:
		f.value, size = protowire.ConsumeVarint(b)
	case protowire.Fixed32Type:
		var value uint32
		value, size = protowire.ConsumeFixed32(b)
		f.value = uint64(value)
	case protowire.Fixed64Type:
		f.value, size = protowire.ConsumeFixed64(b)
	case protowire.BytesType:
		f.text, size = protowire.ConsumeBytes(b)
		if f.text == nil {
			f.text = []byte{}
		}
	default:
		size = protowire.ConsumeFieldValue(number, kind, b)
	}
	if size < 0 {
		return field{}, size
	}
	return f, tagSize + size
}

func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

func (f field) readNumber(to *uint64) error {
	if f.text != nil {
		return malformed("field %d is bytes and not a number", f.number)
	}
	*to = f.value
	return nil
}

// readIndex reads a number of 32 bits.
func (f field) readIndex(to *uint32) error {
	var value uint64
	if err := f.readNumber(&value); err != nil {
		return err
	}
	if value > math.MaxUint32 {
		return malformed("field %d is %d, over 32 bits", f.number, value)
	}
	*to = uint32(value)
	return nil
}

func (f field) readBool(to *bool) error {
	var value uint64
	err := f.readNumber(&value)
	*to = value != 0
	return err
}

// readDuration reads whole milliseconds. A number that is too large becomes the longest duration.
func (f field) readDuration(to *time.Duration) error {
	var value uint64
	err := f.readNumber(&value)
	*to = time.Duration(min(value, math.MaxInt64/uint64(time.Millisecond))) * time.Millisecond
	return err
}

func (f field) readString(to *string) error {
	if f.text == nil {
		return malformed("field %d is a number and not bytes", f.number)
	}
	*to = string(f.text)
	return nil
}

// readShared reads a text that many resources have alike, so that they share its memory.
func (f field) readShared(to *string) error {
	if err := f.readString(to); err != nil {
		return err
	}
	*to = unique.Make(*to).Value()
	return nil
}

func (f field) appendService(services *[]string) error {
	var service string
	if err := f.readShared(&service); err != nil {
		return err
	}
	if len(*services) >= MaxServices {
		return fmt.Errorf("%w: more than %d services in a subscription", ErrTooLarge, MaxServices)
	}
	if last := len(*services) - 1; last >= 0 && (*services)[last] >= service {
		return malformed("the services of a subscription are not sorted")
	}
	*services = append(*services, service)
	return nil
}

func appendVarint(b []byte, number protowire.Number, value uint64) []byte {
	return protowire.AppendVarint(protowire.AppendTag(b, number, protowire.VarintType), value)
}

// appendNumber leaves 0 out.
func appendNumber(b []byte, number protowire.Number, value uint64) []byte {
	if value == 0 {
		return b
	}
	return appendVarint(b, number, value)
}

func appendBool(b []byte, number protowire.Number, value bool) []byte {
	if !value {
		return b
	}
	return appendVarint(b, number, 1)
}

func appendFixed64(b []byte, number protowire.Number, value uint64) []byte {
	if value == 0 {
		return b
	}
	return protowire.AppendFixed64(protowire.AppendTag(b, number, protowire.Fixed64Type), value)
}

func appendDigest(b []byte, number protowire.Number, d Digest) []byte {
	return appendFixed64(b, number, uint64(d))
}

func appendString(b []byte, number protowire.Number, text string) []byte {
	return protowire.AppendString(protowire.AppendTag(b, number, protowire.BytesType), text)
}

// appendText leaves "" out.
func appendText(b []byte, number protowire.Number, text string) []byte {
	if text == "" {
		return b
	}
	return appendString(b, number, text)
}

func appendBytes(b []byte, number protowire.Number, value []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(b, number, protowire.BytesType), value)
}

// milliseconds rounds up, so that an age is never told younger than it is.
func milliseconds(d time.Duration) uint64 {
	if d <= 0 {
		return 0
	}
	whole := uint64(d / time.Millisecond)
	if d%time.Millisecond > 0 {
		whole++
	}
	return whole
}
