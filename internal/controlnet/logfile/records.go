package logfile

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"math"
)

// A record is its length and its checksum (CRC-32C) as big-endian 32-bit numbers, and its body.
const recordHead = 8

// maxRecord is the largest body: a snapshot of all resources of a region fits by far.
const maxRecord = 1 << 30

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// errDamaged is wrapped by errors about records that no crash leaves behind.
var errDamaged = errors.New("it is damaged: restore the folder from a backup")

// appendRecord appends a record to text. It reports whether the body is small enough.
func appendRecord(text, body []byte) ([]byte, bool) {
	if len(body) > min(maxRecord, math.MaxUint32) {
		return text, false
	}
	text = binary.BigEndian.AppendUint32(text, uint32(len(body)))
	text = binary.BigEndian.AppendUint32(text, crc32.Checksum(body, castagnoli))
	return append(text, body...), true
}

// readRecords hands the bodies of the records in text to take, and returns how many bytes were whole. What follows them is
// the start of a record that a crash cut off, or the last one of a length that came to the disk before all of the rest.
func readRecords(text []byte, take func(body []byte) error) (whole int, err error) {
	for whole < len(text) {
		rest := text[whole:]
		if len(rest) < recordHead {
			return whole, nil
		}
		size := int(binary.BigEndian.Uint32(rest))
		if size > maxRecord {
			return 0, fmt.Errorf("the record at byte %d: %w", whole, errDamaged)
		}
		if len(rest)-recordHead < size {
			return whole, nil
		}
		body := rest[recordHead : recordHead+size]
		if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(rest[4:]) {
			if len(rest) == recordHead+size {
				return whole, nil
			}
			return 0, fmt.Errorf("the record at byte %d: %w", whole, errDamaged)
		}
		if err := take(body); err != nil {
			return 0, fmt.Errorf("the record at byte %d: %w", whole, err)
		}
		whole += recordHead + size
	}
	return whole, nil
}
