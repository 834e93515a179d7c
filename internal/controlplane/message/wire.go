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
// messages. A decoder skips and counts fields, messages and kinds of resources that it does not know, so that older and
// newer versions interoperate: a new version may add fields and kinds, but not change the meaning of existing ones.

// FrameVersion is the version that Encode writes. Decode accepts any version from 1.
const FrameVersion = 1

// Limits on a frame.
const (
	MaxFrameBytes    = 4 << 20
	MaxFrameMessages = 1024
	MaxResources     = 65536 // set or deleted in one frame
	MaxServices      = 16384 // of one subscription
	MaxRefusedBytes  = 1024  // of Acknowledge.Refused
)

// Errors of Decode; what it returns wraps one of them.
var (
	ErrMalformed = errors.New("malformed frame") // written by no version of the program
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

// fieldRegion has the same number in all messages.
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
	fieldPartCompressed // DEFLATE of a sequence of fieldPartGroup fields
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

// The fields of a Heartbeat, after the region. If those of Sent are missing, Sent equals Position.
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

// Skipped counts what a decoder skipped because it did not know it.
type Skipped struct {
	Messages  int
	Resources int // set or deleted
	Fields    int
}

// Encode encodes messages as a frame. Unlike Decode it does not enforce the limits.
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
	b := appendNonEmptyString(nil, fieldRegion, m.Region)
	b = appendBool(b, fieldSubscribeAll, m.All)
	for _, service := range m.Services {
		b = appendString(b, fieldSubscribeService, service)
	}
	b = appendNonZeroVarint(b, fieldSubscribeHaveEpoch, m.Have.Epoch)
	b = appendNonZeroVarint(b, fieldSubscribeHaveVersion, m.Have.Version)
	b = appendDigest(b, fieldSubscribeDigest, m.Digest)
	return appendBool(b, fieldSubscribeStandby, m.Standby)
}

func (m *SnapshotPart) encode() []byte {
	b := appendNonEmptyString(nil, fieldRegion, m.Region)
	b = appendNonZeroVarint(b, fieldPartEpoch, m.Position.Epoch)
	b = appendNonZeroVarint(b, fieldPartVersion, m.Position.Version)
	b = appendNonZeroVarint(b, fieldPartIndex, uint64(m.Index))
	b = appendBool(b, fieldPartLast, m.Last)
	b = appendDigest(b, fieldPartDigest, m.Digest)
	groups := appendResources(nil, fieldPartGroup, m.Resources)
	if compressed, ok := compress(groups); ok {
		return appendBytes(b, fieldPartCompressed, compressed)
	}
	return append(b, groups...)
}

func (m *Delta) encode() []byte {
	b := appendNonEmptyString(nil, fieldRegion, m.Region)
	b = appendNonZeroVarint(b, fieldDeltaFromEpoch, m.From.Epoch)
	b = appendNonZeroVarint(b, fieldDeltaFromVersion, m.From.Version)
	b = appendNonZeroVarint(b, fieldDeltaToEpoch, m.To.Epoch)
	b = appendNonZeroVarint(b, fieldDeltaToVersion, m.To.Version)
	b = appendDigest(b, fieldDeltaDigest, m.Digest)
	return appendChanges(b, fieldDeltaGroup, m.Changes)
}

func (m *Heartbeat) encode() []byte {
	b := appendNonEmptyString(nil, fieldRegion, m.Region)
	b = appendNonZeroVarint(b, fieldHeartbeatEpoch, m.Position.Epoch)
	b = appendNonZeroVarint(b, fieldHeartbeatVersion, m.Position.Version)
	if m.Sent != m.Position {
		b = appendVarint(b, fieldHeartbeatSentEpoch, m.Sent.Epoch)
		b = appendVarint(b, fieldHeartbeatSentVersion, m.Sent.Version)
	}
	b = appendDigest(b, fieldHeartbeatDigest, m.Digest)
	return appendNonZeroVarint(b, fieldHeartbeatAge, milliseconds(m.Age))
}

func (m *Acknowledge) encode() []byte {
	b := appendNonEmptyString(nil, fieldRegion, m.Region)
	b = appendNonZeroVarint(b, fieldAcknowledgeEpoch, m.Position.Epoch)
	b = appendNonZeroVarint(b, fieldAcknowledgeVersion, m.Position.Version)
	return appendNonEmptyString(b, fieldAcknowledgeRefused, m.Refused)
}

func (m *Busy) encode() []byte {
	return appendNonZeroVarint(appendNonEmptyString(nil, fieldRegion, m.Region), fieldBusyRetryAfter, milliseconds(m.RetryAfter))
}

// Decode decodes a frame. The error wraps ErrMalformed or ErrTooLarge and is one line; no messages are returned with it.
// Decode does not validate resources.
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

// decoder decodes one frame.
type decoder struct {
	messages     []Message
	resources    int
	decompressed int // bytes so far
	skipped      Skipped
}

func (d *decoder) frame(b []byte) error {
	version, count := uint64(0), 0
	err := eachField(b, func(f field) error {
		if f.number == fieldFrameVersion {
			return f.readUint64(&version)
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
			return f.readInterned(&m.Region)
		case fieldSubscribeAll:
			return f.readBool(&m.All)
		case fieldSubscribeService:
			return f.appendService(&m.Services)
		case fieldSubscribeHaveEpoch:
			return f.readUint64(&m.Have.Epoch)
		case fieldSubscribeHaveVersion:
			return f.readUint64(&m.Have.Version)
		case fieldSubscribeDigest:
			return f.readUint64((*uint64)(&m.Digest))
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
			return f.readInterned(&m.Region)
		case fieldPartEpoch:
			return f.readUint64(&m.Position.Epoch)
		case fieldPartVersion:
			return f.readUint64(&m.Position.Version)
		case fieldPartIndex:
			return f.readUint32(&m.Index)
		case fieldPartLast:
			return f.readBool(&m.Last)
		case fieldPartDigest:
			return f.readUint64((*uint64)(&m.Digest))
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
	if f.data == nil {
		return malformed("compressed resources that are a number")
	}
	groups, err := decompress(f.data, MaxFrameBytes-d.decompressed)
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
			return f.readInterned(&m.Region)
		case fieldDeltaFromEpoch:
			return f.readUint64(&m.From.Epoch)
		case fieldDeltaFromVersion:
			return f.readUint64(&m.From.Version)
		case fieldDeltaToEpoch:
			return f.readUint64(&m.To.Epoch)
		case fieldDeltaToVersion:
			return f.readUint64(&m.To.Version)
		case fieldDeltaDigest:
			return f.readUint64((*uint64)(&m.Digest))
		case fieldDeltaGroup:
			return d.changeGroup(f, &m.Changes)
		}
		return errUnknownField
	})
	return m, err
}

func (d *decoder) heartbeat(f field) (Message, error) {
	m := &Heartbeat{}
	hasSent := false
	err := d.fields(f, func(f field) error {
		switch f.number {
		case fieldRegion:
			return f.readInterned(&m.Region)
		case fieldHeartbeatEpoch:
			return f.readUint64(&m.Position.Epoch)
		case fieldHeartbeatVersion:
			return f.readUint64(&m.Position.Version)
		case fieldHeartbeatSentEpoch:
			hasSent = true
			return f.readUint64(&m.Sent.Epoch)
		case fieldHeartbeatSentVersion:
			hasSent = true
			return f.readUint64(&m.Sent.Version)
		case fieldHeartbeatDigest:
			return f.readUint64((*uint64)(&m.Digest))
		case fieldHeartbeatAge:
			return f.readDuration(&m.Age)
		}
		return errUnknownField
	})
	if !hasSent {
		m.Sent = m.Position
	}
	return m, err
}

func (d *decoder) acknowledge(f field) (Message, error) {
	m := &Acknowledge{}
	err := d.fields(f, func(f field) error {
		switch f.number {
		case fieldRegion:
			return f.readInterned(&m.Region)
		case fieldAcknowledgeEpoch:
			return f.readUint64(&m.Position.Epoch)
		case fieldAcknowledgeVersion:
			return f.readUint64(&m.Position.Version)
		case fieldAcknowledgeRefused:
			if len(f.data) > MaxRefusedBytes {
				return fmt.Errorf("%w: a refusal of %d bytes, at most %d", ErrTooLarge, len(f.data), MaxRefusedBytes)
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
			return f.readInterned(&m.Region)
		case fieldBusyRetryAfter:
			return f.readDuration(&m.RetryAfter)
		}
		return errUnknownField
	})
	return m, err
}

// errUnknownField is returned by the callbacks of decoder.fields for a field to skip and count.
var errUnknownField = errors.New("unknown field")

// fields calls read with each field nested in parent.
func (d *decoder) fields(parent field, read func(field) error) error {
	if parent.data == nil {
		return malformed("field %d is a number", parent.number)
	}
	return eachField(parent.data, func(f field) error {
		err := read(f)
		if err == errUnknownField {
			d.skipped.Fields++
			return nil
		}
		return err
	})
}

// field is a decoded field: value holds a number; data holds bytes and is nil for a number.
type field struct {
	number protowire.Number
	value  uint64
	data   []byte
}

// eachField calls read with each field of b. A protobuf group, which no version writes, is passed to read as a field of its
// number with value 0 and no data.
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
		f.data, size = protowire.ConsumeBytes(b)
		if f.data == nil {
			f.data = []byte{}
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

func (f field) readUint64(to *uint64) error {
	if f.data != nil {
		return malformed("field %d is bytes and not a number", f.number)
	}
	*to = f.value
	return nil
}

// readUint32 reads a number of up to 32 bits.
func (f field) readUint32(to *uint32) error {
	var value uint64
	if err := f.readUint64(&value); err != nil {
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
	err := f.readUint64(&value)
	*to = value != 0
	return err
}

// readDuration reads milliseconds. A number that is too large gives the longest duration of whole milliseconds.
func (f field) readDuration(to *time.Duration) error {
	var value uint64
	err := f.readUint64(&value)
	*to = time.Duration(min(value, math.MaxInt64/uint64(time.Millisecond))) * time.Millisecond
	return err
}

func (f field) readString(to *string) error {
	if f.data == nil {
		return malformed("field %d is a number and not bytes", f.number)
	}
	*to = string(f.data)
	return nil
}

// readInterned reads a string that many resources have in common and interns it, so that they share its memory.
func (f field) readInterned(to *string) error {
	if err := f.readString(to); err != nil {
		return err
	}
	*to = unique.Make(*to).Value()
	return nil
}

func (f field) appendService(services *[]string) error {
	var service string
	if err := f.readInterned(&service); err != nil {
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

// appendNonZeroVarint omits a zero value.
func appendNonZeroVarint(b []byte, number protowire.Number, value uint64) []byte {
	if value == 0 {
		return b
	}
	return appendVarint(b, number, value)
}

// appendBool omits false.
func appendBool(b []byte, number protowire.Number, value bool) []byte {
	if !value {
		return b
	}
	return appendVarint(b, number, 1)
}

// appendFixed64 omits a zero value.
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

// appendNonEmptyString omits an empty string.
func appendNonEmptyString(b []byte, number protowire.Number, text string) []byte {
	if text == "" {
		return b
	}
	return appendString(b, number, text)
}

func appendBytes(b []byte, number protowire.Number, value []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(b, number, protowire.BytesType), value)
}

// milliseconds rounds up, so that an age on the wire is never less than the actual age. Negative durations give 0.
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
