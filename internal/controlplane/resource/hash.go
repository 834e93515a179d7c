package resource

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The numbers of the hashed fields. They are never used anew: the hash has to be the same in every process and version.
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

const hashBufferBytes = 512 // enough for most resources, so that hashing one allocates nothing

// Hash is the same for equal resources, in every process and version of the program, and differs otherwise but for one
// pair in 2^64. Fields at their zero value are left out, so that a field which a later version adds changes nothing until
// it is used.
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

const sizeOverhead = 24 // bytes for the numbers of a resource, roughly

// Size is about the bytes of a change on the wire, for limits and budgets.
func (c *Change) Size() int { return c.Resource.Size() }

// Size is about the bytes of a resource on the wire, for limits and budgets.
func (r *Resource) Size() int {
	size := sizeOverhead + len(r.Key.Service) + len(r.Key.Name)
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
