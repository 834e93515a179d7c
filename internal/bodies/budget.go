// Package bodies keeps request bodies for as long as an attempt may need them: in memory up to a size per body and a
// total, then on disk up to a total of its own, then not at all. Budget chooses the tier of a body without I/O; Spool
// does the I/O of the disk tier.
//
// A body in memory or on disk can be sent again. A body that is not kept is streamed once, and its request gets no
// second attempt after its first has started to send, whatever the effect of the request.
package bodies

import "fmt"

// Tier is where a body is kept, if at all.
type Tier uint8

// The tiers, in the order in which they are tried.
const (
	Memory Tier = iota
	Disk
	Streamed // not kept; streamed to a single attempt
	TooLarge // rejected: over the size limit of its class, or no tier has space
	tiers
)

func (t Tier) String() string {
	return [...]string{"memory", "disk", "once", "too large"}[t]
}

// Class holds the limits on the bodies of one class of requests. Sizes are in bytes.
type Class struct {
	MaxSize     int64 // a larger body is rejected
	MaxInMemory int64 // a larger body is not kept in memory
	AllowDisk   bool  // a body may be kept on disk
	AllowStream bool  // a body may be streamed without being kept; otherwise it is rejected when no tier has space
}

// Limits are the totals of the tiers, in bytes; 0 disables a tier. Heads is memory reserved for message heads and
// responses. These may also use what bodies leave of Memory, but bodies never use Heads. JSON-RPC uses the same memory as
// heads, but leaves half of Heads to them.
type Limits struct {
	Memory int64
	Heads  int64
	Disk   int64
}

// Budget accounts for the space of retained bodies. It is not safe for concurrent use.
type Budget struct {
	limits       Limits
	used         [tiers]int64
	heads        int64        // memory reserved for heads and responses
	messages     int64        // memory reserved for JSON-RPC messages from clients
	calls        int64        // memory reserved for JSON-RPC calls and their answers
	count        [tiers]int64 // bodies placed so far
	diskDisabled bool         // Place and Extend do not use the disk
}

// NewBudget returns a budget without bodies.
func NewBudget(l Limits) *Budget { return &Budget{limits: l} }

// Place reserves space for a body of size bytes and returns its tier. Space in Memory or on Disk is released with Free.
func (b *Budget) Place(c Class, size int64) (Tier, error) {
	t := b.tier(c, size)
	b.count[t]++
	switch t {
	case TooLarge:
		if size > c.MaxSize {
			return t, fmt.Errorf("body of %d bytes exceeds the limit of %d bytes", size, c.MaxSize)
		}
		return t, fmt.Errorf("no space for a body of %d bytes", size)
	case Memory, Disk:
		b.used[t] += size
	}
	return t, nil
}

// tier returns the tier that has space for a body.
func (b *Budget) tier(c Class, size int64) Tier {
	switch {
	case size > c.MaxSize:
		return TooLarge
	case size <= c.MaxInMemory && b.fitsMemory(size):
		return Memory
	case c.AllowDisk && !b.diskDisabled && b.used[Disk]+size <= b.limits.Disk:
		return Disk
	case c.AllowStream:
		return Streamed
	}
	return TooLarge
}

// fitsMemory reports whether bodies may use size more bytes of memory.
func (b *Budget) fitsMemory(size int64) bool {
	otherThanBodies := b.heads
	if b.RPCBytes() > 0 {
		otherThanBodies = max(b.heads, b.limits.Heads/2) + b.RPCBytes()
	}
	return b.used[Memory]+size+max(0, otherThanBodies-b.limits.Heads) <= b.limits.Memory
}

// Extend reserves more space for a body of unknown size, of which reserved bytes are in memory already, and returns its
// tier. If that is Memory, size bytes are reserved now. If it is Disk, the maximum size of the class is reserved there,
// and the memory stays reserved until the caller frees it. Extend never returns Streamed, as that needs a known length:
// a class with AllowStream may exceed MaxInMemory instead.
func (b *Budget) Extend(c Class, reserved, size int64) (Tier, error) {
	fits := size <= c.MaxSize && b.fitsMemory(size-reserved)
	switch {
	case fits && size <= c.MaxInMemory:
	case c.AllowDisk && !b.diskDisabled && b.used[Disk]+c.MaxSize <= b.limits.Disk:
		b.count[Disk]++
		b.used[Disk] += c.MaxSize
		return Disk, nil
	case fits && c.AllowStream:
	default:
		b.count[TooLarge]++
		return TooLarge, fmt.Errorf("no space for a body of %d bytes or more", reserved)
	}
	if reserved == 0 {
		b.count[Memory]++
	}
	b.used[Memory] += size - reserved
	return Memory, nil
}

// ReserveHead reserves memory for a message head or a response, and reports whether there is enough. ReleaseHead
// releases it.
func (b *Budget) ReserveHead(size int64) bool {
	if b.used[Memory]+b.heads+b.RPCBytes()+size > b.limits.Memory+b.limits.Heads {
		return false
	}
	b.heads += size
	return true
}

// ReleaseHead releases what ReserveHead reserved.
func (b *Budget) ReleaseHead(size int64) { b.heads -= size }

// HeadBytes returns the bytes of memory that are reserved for heads and responses.
func (b *Budget) HeadBytes() int64 { return b.heads }

// ReserveMessage reserves memory for the text of a JSON-RPC message from a client, and reports whether there is enough.
// Messages get at most half of the memory for JSON-RPC, so that clients with many unfinished messages leave room for calls.
// ReleaseMessage releases it.
func (b *Budget) ReserveMessage(size int64) bool {
	if b.messages+size > b.RPCLimit()/2 || !b.fitsRPC(size) {
		return false
	}
	b.messages += size
	return true
}

// ReleaseMessage releases what ReserveMessage reserved.
func (b *Budget) ReleaseMessage(size int64) { b.messages -= size }

// ReserveCall reserves memory for parsed or open JSON-RPC calls or their answers, and reports whether there is enough.
// Calls get at most three quarters of the memory for JSON-RPC, so that further messages can be read and refused, and one
// connection gets at most half of that, so that a client with many long answers leaves room for others. held is what the
// connection has reserved already. ReleaseCall releases it.
func (b *Budget) ReserveCall(held, size int64) bool {
	if held+size > b.ConnectionLimit() || b.calls+size > b.callLimit() || !b.fitsRPC(size) {
		return false
	}
	b.calls += size
	return true
}

// callLimit returns how much memory calls may reserve.
func (b *Budget) callLimit() int64 { return b.RPCLimit() / 4 * 3 }

// ConnectionLimit returns how much memory one connection may have reserved when it reserves more for a call.
func (b *Budget) ConnectionLimit() int64 { return b.callLimit() / 2 }

// ReleaseCall releases what ReserveCall reserved.
func (b *Budget) ReleaseCall(size int64) { b.calls -= size }

// RPCBytes returns the bytes of memory that are reserved for JSON-RPC.
func (b *Budget) RPCBytes() int64 { return b.messages + b.calls }

// RPCLimit returns the memory for JSON-RPC, in bytes, if nothing else is reserved. It leaves half of Heads to heads.
func (b *Budget) RPCLimit() int64 { return b.limits.Memory + b.limits.Heads/2 }

// fitsRPC reports whether JSON-RPC may use size more bytes of memory.
func (b *Budget) fitsRPC(size int64) bool {
	return b.used[Memory]+max(0, b.heads-b.limits.Heads/2)+b.RPCBytes()+size <= b.RPCLimit()
}

// FallBack moves a body that could not be written to disk to the next tier, and releases its space on disk.
func (b *Budget) FallBack(c Class, size int64) (Tier, error) {
	b.Free(Disk, size)
	disabled := b.diskDisabled
	b.diskDisabled = true // for this call
	t, err := b.Place(c, size)
	b.diskDisabled = disabled
	return t, err
}

// Free releases the space of a body.
func (b *Budget) Free(t Tier, size int64) {
	if t == Memory || t == Disk {
		b.used[t] -= size
	}
}

// SetDiskDisabled disables the disk tier or enables it again.
func (b *Budget) SetDiskDisabled(disabled bool) { b.diskDisabled = disabled }

// Used returns the bytes reserved in a tier.
func (b *Budget) Used(t Tier) int64 { return b.used[t] }

// Placed returns the number of bodies that were placed in a tier so far.
func (b *Budget) Placed(t Tier) int64 { return b.count[t] }
