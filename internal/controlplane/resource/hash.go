package resource

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Field numbers in the canonical encoding that is hashed. They are never reused or changed, because the hash must be equal
// in every process and version.
const (
	hashedRegion byte = iota + 1
	hashedDrainGrace
	hashedMaxAttempts
	hashedAddress
	hashedZone
	hashedClass
	hashedCell
	hashedState
	hashedStarted
	hashedHost
	hashedPathPrefix
	hashedQuota
)

const hashBufferBytes = 512 // fits most resources, so that hashing does not allocate

// Hash returns a 64-bit hash that is the same for equal resources in every process and version of the program. Different
// resources collide with a probability of about 1 in 2^64. Fields with their zero value are left out, so a field that a
// later version adds does not change the hash until it is set.
func (r *Resource) Hash() uint64 {
	var buffer [hashBufferBytes]byte
	return xxhash.Sum64(r.appendCanonical(buffer[:0]))
}

func (r *Resource) appendCanonical(b []byte) []byte {
	b = append(b, byte(r.Key.Kind))
	b = appendText(b, r.Key.Service)
	b = appendText(b, r.Key.Name)
	if s := r.Service; s != nil {
		b = appendTextField(b, hashedRegion, s.Region)
		b = appendNumberField(b, hashedDrainGrace, uint64(s.DrainGrace/time.Millisecond))
		b = appendNumberField(b, hashedMaxAttempts, uint64(s.MaxAttempts))
	}
	if e := r.Endpoint; e != nil {
		b = appendTextField(b, hashedAddress, e.Address)
		b = appendTextField(b, hashedZone, e.Zone)
		b = appendTextField(b, hashedClass, e.Class)
		b = appendNumberField(b, hashedCell, e.Cell)
		b = appendNumberField(b, hashedState, uint64(e.State))
		b = appendNumberField(b, hashedStarted, e.StartedMS)
	}
	if route := r.Route; route != nil {
		b = appendTextField(b, hashedHost, route.Host)
		b = appendTextField(b, hashedPathPrefix, route.PathPrefix)
	}
	if t := r.Tenant; t != nil {
		b = appendNumberField(b, hashedQuota, math.Float64bits(t.Quota))
	}
	return b
}

func appendText(b []byte, text string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(text))), text...)
}

func appendTextField(b []byte, field byte, text string) []byte {
	if text == "" {
		return b
	}
	return appendText(append(b, field), text)
}

func appendNumberField(b []byte, field byte, value uint64) []byte {
	if value == 0 {
		return b
	}
	return binary.AppendUvarint(append(b, field), value)
}

const resourceOverheadBytes = 24 // approximate encoded size of a resource's numeric fields

// Size returns the approximate size of the change on the wire in bytes, for limits and budgets.
func (c *Change) Size() int { return c.Resource.Size() }

// Size returns the approximate size of the resource on the wire in bytes, for limits and budgets.
func (r *Resource) Size() int {
	size := resourceOverheadBytes + len(r.Key.Service) + len(r.Key.Name)
	if r.Service != nil {
		size += len(r.Service.Region)
	}
	if r.Endpoint != nil {
		size += len(r.Endpoint.Address) + len(r.Endpoint.Zone) + len(r.Endpoint.Class)
	}
	if r.Route != nil {
		size += len(r.Route.Host) + len(r.Route.PathPrefix)
	}
	return size
}
