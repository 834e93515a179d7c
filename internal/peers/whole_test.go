package peers

import (
	"encoding/binary"
	"fmt"
	"io"
	"log"
	"math"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/memberlist"

	"craneglade/internal/shared/escrow"
	"craneglade/internal/shared/packet"
)

// pushPull is memberlist's number of the message that begins a whole exchange.
const pushPull = 6

// The few forms of MessagePack that memberlist's own messages need.

func packMap(b []byte, fields byte) []byte { return append(b, 0x80|fields) }

func packBytes(b []byte, s string) []byte {
	b = append(b, 0xda, 0, 0)
	binary.BigEndian.PutUint16(b[len(b)-2:], uint16(len(s)))
	return append(b, s...)
}

func packUint(b []byte, n uint32) []byte {
	return binary.BigEndian.AppendUint32(append(b, 0xce), n)
}

// wholeState is the whole state of a member that knows of n others, as memberlist sends it.
func wholeState(n int) []byte {
	b := packMap([]byte{pushPull}, 3)
	b = packUint(packBytes(b, "Nodes"), uint32(n))
	b = packUint(packBytes(b, "UserStateLen"), 0)
	b = append(packBytes(b, "Join"), 0xc3)
	for i := range n {
		meta := packet.Meta{Node: escrow.Node{Number: i + 1, Incarnation: uint64(1764633600000 + i)}, Site: "region-1-zone-1"}.Encode()
		b = packMap(b, 7)
		b = packBytes(packBytes(b, "Name"), fmt.Sprintf("node-%04d.region-1", i))
		b = packBytes(packBytes(b, "Addr"), "\x7f\x00\x00\x01")
		b = packUint(packBytes(b, "Port"), uint32(20000+i))
		b = packBytes(packBytes(b, "Meta"), string(meta))
		b = packUint(packBytes(b, "Incarnation"), 1)
		b = packUint(packBytes(b, "State"), 0)
		b = packBytes(packBytes(b, "Vsn"), "\x01\x05\x02\x00\x00\x00")
	}
	return b
}

// What a member sends in a whole exchange grows by the same for each member that it knows of, without what the nodes
// share; and none of it counts against a node's budget of bytes, which is of datagrams.
func TestBytesOfAWholeExchange(t *testing.T) {
	var each []float64
	for _, n := range []int{300, 1500, 5900} {
		wire, err := newTransport("127.0.0.1:0", 8<<10)
		if err != nil {
			t.Fatal(err)
		}
		c := memberlist.DefaultLANConfig()
		c.Name, c.Transport = "measured", wire
		c.ProbeInterval, c.GossipInterval, c.PushPullInterval = 0, 0, 0 // nothing is sent to members that are not there
		c.TCPTimeout, c.EnableCompression = patience, false             // as Start has it
		c.Logger = log.New(io.Discard, "", 0)
		list, err := memberlist.Create(c)
		if err != nil {
			t.Fatal(err)
		}
		conn, err := net.Dial("tcp", wire.tcp.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(patience))
		if _, err := conn.Write(wholeState(n)); err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, conn); err != nil {
			t.Fatal(err)
		}
		conn.Close()
		wait(t, fmt.Sprint(n, " members"), func() bool { return list.NumMembers() == n+1 })
		if conn, err = net.Dial("tcp", wire.tcp.Addr().String()); err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(patience))
		if _, err := conn.Write(wholeState(1)); err != nil {
			t.Fatal(err)
		}
		answered, err := io.Copy(io.Discard, conn)
		if err != nil {
			t.Fatal(err)
		}
		conn.Close()
		each = append(each, float64(answered)/float64(n+1))
		t.Logf("%d members: %d bytes, %.1f each; with an exchange every %v, twice that both ways: %.0f bytes a second out",
			n, answered, each[len(each)-1], wholeInterval(n), 2*float64(answered)/wholeInterval(n).Seconds())
		if sent := wire.traffic().SentBytes; sent != 0 {
			t.Errorf("%d bytes of a stream count against the budget", sent)
		}
		if err := list.Shutdown(); err != nil && !strings.Contains(err.Error(), "closed") {
			t.Fatal(err)
		}
	}
	if least, most := each[0], each[len(each)-1]; math.Abs(most-least) > least/10 {
		t.Errorf("bytes by member are not one figure: %v", each)
	}
}

// wholeInterval is how often a member begins a whole exchange: memberlist does so less often above 32 members.
func wholeInterval(members int) time.Duration {
	if members <= 32 {
		return wholeEvery
	}
	return time.Duration(math.Ceil(math.Log2(float64(members))-5)+1) * wholeEvery
}
