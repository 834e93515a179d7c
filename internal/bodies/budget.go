// Package bodies keeps the bodies of requests for as long as an attempt may need them: in memory up to a size and a
// total, then on disk up to a total of its own, then not at all. Which tier takes a body is decided here without I/O;
// Spool does the disk's.
//
// What a tier means: a body in memory or on disk can be sent again. One that is not kept is streamed once, and its
// request gets no second attempt once its first has begun to send, whatever its effect.
package bodies

import "fmt"

// Tier is where a body is kept.
type Tier uint8

const (
	Memory Tier = iota
	Disk
	Streamed // not kept: streamed to one attempt
	TooLarge // more than its class allows
	tiers
)

func (t Tier) String() string {
	return [...]string{"memory", "disk", "once", "too large"}[t]
}

// Class is what the settings allow the bodies of one class of requests. Sizes are in bytes.
type Class struct {
	MaxSize     int64 // a larger one is turned away
	MaxInMemory int64 // a larger one is not kept in memory
	AllowDisk   bool  // may be kept on disk
	AllowStream bool  // may be streamed without being kept; where it may not, it waits for no tier and is turned away
}

// Limits are the totals of the tiers, in bytes; 0 closes a tier. Heads is what heads and answers are sure of beside the
// bodies in memory; they may use what bodies leave of Memory, but no body uses Heads.
type Limits struct {
	Memory int64
	Heads  int64
	Disk   int64
}

// Budget accounts for the bodies that are held. It is not safe for concurrent use.
type Budget struct {
	limits Limits
	used   [tiers]int64
	heads  int64        // held in memory beside bodies
	count  [tiers]int64 // placed so far
	shut   bool         // the disk does not work now
}

// NewBudget returns the account of a node that holds none.
func NewBudget(l Limits) *Budget { return &Budget{limits: l} }

// Place takes room for a body and tells where. What Place has put in Memory or on Disk is given back with Free.
func (b *Budget) Place(c Class, size int64) (Tier, error) {
	t := b.tier(c, size)
	b.count[t]++
	switch t {
	case TooLarge:
		if size > c.MaxSize {
			return t, fmt.Errorf("a body of %d bytes, and %d are the most", size, c.MaxSize)
		}
		return t, fmt.Errorf("no room for a body of %d bytes", size)
	case Memory, Disk:
		b.used[t] += size
	}
	return t, nil
}

func (b *Budget) tier(c Class, size int64) Tier {
	switch {
	case size > c.MaxSize:
		return TooLarge
	case size <= c.MaxInMemory && b.fits(size):
		return Memory
	case c.AllowDisk && !b.shut && b.used[Disk]+size <= b.limits.Disk:
		return Disk
	case c.AllowStream:
		return Streamed
	}
	return TooLarge
}

// fits tells whether bodies may have so many bytes more of memory.
func (b *Budget) fits(size int64) bool {
	return b.used[Memory]+size+max(0, b.heads-b.limits.Heads) <= b.limits.Memory
}

// Extend takes more room for a body whose size nobody has told, of which held bytes have room in memory already, and
// tells where. In Memory it has room for size bytes then. On Disk it has room for the most that its class allows, and what
// it held in memory stays held until the caller gives it back. Once is not among the tiers, as its length is not known:
// a class that may be streamed goes on in memory beyond what it may keep there otherwise.
func (b *Budget) Extend(c Class, held, size int64) (Tier, error) {
	fits := size <= c.MaxSize && b.fits(size-held)
	switch {
	case fits && size <= c.MaxInMemory:
	case c.AllowDisk && !b.shut && b.used[Disk]+c.MaxSize <= b.limits.Disk:
		b.count[Disk]++
		b.used[Disk] += c.MaxSize
		return Disk, nil
	case fits && c.AllowStream:
	default:
		b.count[TooLarge]++
		return TooLarge, fmt.Errorf("no room for a body of %d bytes or more", held)
	}
	if held == 0 {
		b.count[Memory]++
	}
	b.used[Memory] += size - held
	return Memory, nil
}

// ReserveHead takes room in memory for what is no body (heads, answers), and tells whether there is any. Release gives it back.
func (b *Budget) ReserveHead(size int64) bool {
	if b.used[Memory]+b.heads+size > b.limits.Memory+b.limits.Heads {
		return false
	}
	b.heads += size
	return true
}

// ReleaseHead gives back what Hold took.
func (b *Budget) ReleaseHead(size int64) { b.heads -= size }

// HeadBytes is what is held in memory beside bodies, in bytes.
func (b *Budget) HeadBytes() int64 { return b.heads }

// FallBack moves a body that could not be written to disk to the next tier. It gives back what Place took.
func (b *Budget) FallBack(c Class, size int64) (Tier, error) {
	b.Free(Disk, size)
	shut := b.shut
	b.shut = true // for this one decision
	t, err := b.Place(c, size)
	b.shut = shut
	return t, err
}

// Free gives back the room of a body.
func (b *Budget) Free(t Tier, size int64) {
	if t == Memory || t == Disk {
		b.used[t] -= size
	}
}

// SetDiskDisabled closes the disk's tier, or opens it again.
func (b *Budget) SetDiskDisabled(shut bool) { b.shut = shut }

// Used is what a tier holds, in bytes, and Placed how many bodies it was given so far.
func (b *Budget) Used(t Tier) int64   { return b.used[t] }
func (b *Budget) Placed(t Tier) int64 { return b.count[t] }
