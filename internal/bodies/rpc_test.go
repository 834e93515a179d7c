package bodies

import (
	"testing"

	"pgregory.net/rapid"
)

// For any sequence of reservations, JSON-RPC stays within its limits, never takes the half of Heads that is kept for HTTP,
// and all users together stay within the totals.
func TestRPCSharesTheMemoryBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Memory: int64(rapid.IntRange(0, 400).Draw(t, "memory")), Heads: int64(rapid.IntRange(0, 400).Draw(t, "heads"))}
		b := NewBudget(limits)
		inMemory := Class{MaxSize: 1000, MaxInMemory: 1000}
		var heads, inBodies, messages, calls []int64
		connections := [3][]int64{} // calls by connection
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			size := int64(rapid.IntRange(0, 100).Draw(t, "size"))
			switch rapid.IntRange(0, 7).Draw(t, "operation") {
			case 0:
				if b.ReserveHead(size) {
					heads = append(heads, size)
				} else if sum(heads)+size <= limits.Heads/2 {
					t.Fatalf("a head of %d bytes was refused with %d in heads, of %d", size, sum(heads), limits.Heads)
				}
			case 1:
				if tier, err := b.Place(inMemory, size); err == nil && tier == Memory {
					inBodies = append(inBodies, size)
				}
			case 2:
				if b.ReserveMessage(size) {
					messages = append(messages, size)
				}
			case 3:
				connection := &connections[rapid.IntRange(0, len(connections)-1).Draw(t, "connection")]
				held := sum(*connection)
				if !b.ReserveCall(held, size) {
					break
				}
				calls, *connection = append(calls, size), append(*connection, size)
				if most := b.RPCLimit() * 3 / 8; held+size > most {
					t.Fatalf("a connection has %d bytes, of at most %d", held+size, most)
				}
			case 4:
				heads = releaseLast(heads, b.ReleaseHead)
			case 5:
				inBodies = releaseLast(inBodies, func(size int64) { b.Free(Memory, size) })
			case 6:
				messages = releaseLast(messages, b.ReleaseMessage)
			case 7:
				if len(calls) == 0 {
					break
				}
				for i := range connections {
					if len(connections[i]) > 0 {
						last := len(connections[i]) - 1
						b.ReleaseCall(connections[i][last])
						connections[i] = connections[i][:last]
						break
					}
				}
				calls = append(append(append([]int64{}, connections[0]...), connections[1]...), connections[2]...)
			}
			if b.RPCBytes() != sum(messages)+sum(calls) {
				t.Fatalf("accounts for %d bytes of JSON-RPC, holds %d and %d", b.RPCBytes(), sum(messages), sum(calls))
			}
			if sum(messages) > b.RPCLimit()/2 || sum(calls) > b.RPCLimit()*3/4 {
				t.Fatalf("messages have %d bytes and calls %d of %d", sum(messages), sum(calls), b.RPCLimit())
			}
			if total := sum(heads) + sum(inBodies) + b.RPCBytes(); total > limits.Memory+limits.Heads {
				t.Fatalf("%d bytes are reserved, of %+v", total, limits)
			}
		}
		for _, users := range []struct {
			sizes   []int64
			release func(int64)
		}{{heads, b.ReleaseHead}, {inBodies, func(size int64) { b.Free(Memory, size) }}, {messages, b.ReleaseMessage}, {calls, b.ReleaseCall}} {
			for _, size := range users.sizes {
				users.release(size)
			}
		}
		if b.RPCBytes() != 0 || b.HeadBytes() != 0 || b.Used(Memory) != 0 {
			t.Fatalf("%d, %d and %d bytes are reserved after all were released", b.RPCBytes(), b.HeadBytes(), b.Used(Memory))
		}
	})
}

// Bodies and JSON-RPC, which may use a part of Heads, together leave half of Heads to heads.
func TestBodiesAndRPCLeaveMemoryForHeads(t *testing.T) {
	b := NewBudget(Limits{Memory: 100, Heads: 14})
	if !b.ReserveMessage(8) {
		t.Fatal("a message was refused")
	}
	if tier, _ := b.Place(Class{MaxSize: 100, MaxInMemory: 100}, 100); tier == Memory {
		t.Error("a body was placed in memory that is kept for heads")
	}
	if tier, _ := b.Place(Class{MaxSize: 100, MaxInMemory: 100}, 99); tier != Memory {
		t.Error("a body that fits was not placed in memory")
	}
	if !b.ReserveHead(7) {
		t.Error("a head within half of Heads was refused")
	}
}

func sum(sizes []int64) (total int64) {
	for _, size := range sizes {
		total += size
	}
	return total
}

// releaseLast releases the last of sizes, if there is one, and returns the others.
func releaseLast(sizes []int64, release func(int64)) []int64 {
	if len(sizes) == 0 {
		return sizes
	}
	last := len(sizes) - 1
	release(sizes[last])
	return sizes[:last]
}
