package walfile

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"google.golang.org/protobuf/encoding/protowire"

	"craneglade/internal/controlplane/quorum"
)

// A record consists of a header of fixed size and a payload:
//
//	4 bytes  recordMagic, used to search for records after a damaged one
//	4 bytes  length of the payload, little endian
//	4 bytes  CRC-32C of the length and the payload, little endian
const (
	recordMagic    = "cgwl"
	headerBytes    = 12
	maxRecordBytes = 1 << 30
)

var (
	crcTable = crc32.MakeTable(crc32.Castagnoli)

	errTorn = errors.New("record is truncated or damaged")
)

// The fields of a payload. Unknown fields are an error: a state that is understood only in part must not be used.
const (
	fieldHardState protowire.Number = 1 // message of hardStateField*
	fieldEntry     protowire.Number = 2 // message of entryField*
	fieldSnapshot  protowire.Number = 3 // message of entryField*, too

	hardStateFieldTerm   protowire.Number = 1
	hardStateFieldVote   protowire.Number = 2
	hardStateFieldCommit protowire.Number = 3

	entryFieldIndex protowire.Number = 1
	entryFieldTerm  protowire.Number = 2
	entryFieldData  protowire.Number = 3
)

func appendRecord(b, payload []byte) []byte {
	start := len(b)
	b = append(b, recordMagic...)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint32(b, checksum(b[start+4:start+8], payload))
	return append(b, payload...)
}

func checksum(length, payload []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, crcTable), crcTable, payload)
}

// readRecord returns the payload of the record at the beginning of b, and the size of the record. The error is errTorn.
func readRecord(b []byte) (payload []byte, size int, err error) {
	if len(b) < headerBytes || string(b[:4]) != recordMagic {
		return nil, 0, errTorn
	}
	length := int(binary.LittleEndian.Uint32(b[4:8]))
	if length > maxRecordBytes || length > len(b)-headerBytes {
		return nil, 0, errTorn
	}
	payload = b[headerBytes : headerBytes+length]
	if binary.LittleEndian.Uint32(b[8:12]) != checksum(b[4:8], payload) {
		return nil, 0, errTorn
	}
	return payload, headerBytes + length, nil
}

// containsRecord reports whether there is a valid record anywhere in b.
func containsRecord(b []byte) bool {
	for {
		at := bytes.Index(b, []byte(recordMagic))
		if at < 0 {
			return false
		}
		if _, _, err := readRecord(b[at:]); err == nil {
			return true
		}
		b = b[at+1:]
	}
}

// encodePersist encodes a Persist as a payload. The snapshot's data is included if withData is set.
func encodePersist(p quorum.Persist, withData bool) []byte {
	var b []byte
	if s := p.Snapshot; s != nil {
		data := s.Data
		if !withData {
			data = nil
		}
		b = appendMessage(b, fieldSnapshot, encodeEntry(quorum.LogEntry{Index: s.Index, Term: s.Term, Data: data}))
	}
	for _, e := range p.Entries {
		b = appendMessage(b, fieldEntry, encodeEntry(e))
	}
	if h := p.Hard; h != nil {
		hard := appendNumber(nil, hardStateFieldTerm, h.Term)
		hard = appendNumber(hard, hardStateFieldVote, h.Vote)
		hard = appendNumber(hard, hardStateFieldCommit, h.Commit)
		b = appendMessage(b, fieldHardState, hard)
	}
	return b
}

func encodeEntry(e quorum.LogEntry) []byte {
	b := appendNumber(nil, entryFieldIndex, e.Index)
	b = appendNumber(b, entryFieldTerm, e.Term)
	return appendMessage(b, entryFieldData, e.Data)
}

func appendNumber(b []byte, field protowire.Number, value uint64) []byte {
	return protowire.AppendVarint(protowire.AppendTag(b, field, protowire.VarintType), value)
}

func appendMessage(b []byte, field protowire.Number, value []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(b, field, protowire.BytesType), value)
}

// decodePersist decodes a payload of encodePersist. The error wraps ErrCorrupt.
func decodePersist(payload []byte) (quorum.Persist, error) {
	var p quorum.Persist
	err := eachField(payload, func(field protowire.Number, _ uint64, data []byte) error {
		switch field {
		case fieldHardState:
			p.Hard = &quorum.HardState{}
			return decodeHardState(data, p.Hard)
		case fieldEntry:
			entry, err := decodeEntry(data)
			p.Entries = append(p.Entries, entry)
			return err
		case fieldSnapshot:
			entry, err := decodeEntry(data)
			p.Snapshot = &quorum.Snapshot{Index: entry.Index, Term: entry.Term, Data: entry.Data}
			return err
		}
		return fmt.Errorf("%w: field %d of a record is unknown to this version", ErrCorrupt, field)
	})
	return p, err
}

func decodeHardState(b []byte, h *quorum.HardState) error {
	return eachField(b, func(field protowire.Number, value uint64, _ []byte) error {
		switch field {
		case hardStateFieldTerm:
			h.Term = value
		case hardStateFieldVote:
			h.Vote = value
		case hardStateFieldCommit:
			h.Commit = value
		default:
			return fmt.Errorf("%w: field %d of a hard state is unknown to this version", ErrCorrupt, field)
		}
		return nil
	})
}

func decodeEntry(b []byte) (quorum.LogEntry, error) {
	var e quorum.LogEntry
	err := eachField(b, func(field protowire.Number, value uint64, data []byte) error {
		switch field {
		case entryFieldIndex:
			e.Index = value
		case entryFieldTerm:
			e.Term = value
		case entryFieldData:
			if len(data) > 0 {
				e.Data = bytes.Clone(data)
			}
		default:
			return fmt.Errorf("%w: field %d of an entry is unknown to this version", ErrCorrupt, field)
		}
		return nil
	})
	return e, err
}

// eachField calls visit for each field, with value set for a varint field and data for a bytes field.
func eachField(b []byte, visit func(field protowire.Number, value uint64, data []byte) error) error {
	for len(b) > 0 {
		field, kind, size := protowire.ConsumeTag(b)
		if size < 0 {
			return fmt.Errorf("%w: a record's payload: %v", ErrCorrupt, protowire.ParseError(size))
		}
		b = b[size:]
		var value uint64
		var data []byte
		switch kind {
		case protowire.VarintType:
			value, size = protowire.ConsumeVarint(b)
		case protowire.BytesType:
			data, size = protowire.ConsumeBytes(b)
		default:
			return fmt.Errorf("%w: field %d of a record has type %d", ErrCorrupt, field, kind)
		}
		if size < 0 {
			return fmt.Errorf("%w: a record's payload: %v", ErrCorrupt, protowire.ParseError(size))
		}
		b = b[size:]
		if err := visit(field, value, data); err != nil {
			return err
		}
	}
	return nil
}
