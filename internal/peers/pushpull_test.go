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

// pushPullType is memberlist's type of the message that starts a full exchange (push/pull).
const pushPullType = 6

// The MessagePack encodings that memberlist's own messages need.

func packMap(b []byte, fields byte) []byte { return append(b, 0x80|fields) }

func packBytes(b []byte, s string) []byte {
	b = append(b, 0xda, 0, 0)
	binary.BigEndian.PutUint16(b[len(b)-2:], uint16(len(s)))
	return append(b, s...)
}

func packUint(b []byte, n uint32) []byte {
	return binary.BigEndian.AppendUint32(append(b, 0xce), n)
}

// pushPullMessage returns the full state of a member that knows n others, as memberlist sends it.
func pushPullMessage(n int) []byte {
	b := packMap([]byte{pushPullType}, 3)
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

// The bytes that a member sends in a full exchange, without the shared state, grow linearly with the members that it knows.
// They do not count against the node's byte budget, which is for datagrams.
func TestPushPullBytes(t *testing.T) {
	var bytesPerMember []float64
	for _, n := range []int{300, 1500, 5900} {
		wire, err := newTransport("127.0.0.1:0", 8<<10, nil)
		if err != nil {
			t.Fatal(err)
		}
		c := memberlist.DefaultLANConfig()
		c.Name, c.Transport = "measured", wire
		c.ProbeInterval, c.GossipInterval, c.PushPullInterval = 0, 0, 0 // nothing is sent to the members, which do not exist
		c.TCPTimeout, c.EnableCompression = testTimeout, false          // compression as in Start
		c.Logger = log.New(io.Discard, "", 0)
		list, err := memberlist.Create(c)
		if err != nil {
			t.Fatal(err)
		}
		conn, err := net.Dial("tcp", wire.tcp.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(testTimeout))
		if _, err := conn.Write(pushPullMessage(n)); err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, conn); err != nil {
			t.Fatal(err)
		}
		conn.Close()
		waitFor(t, fmt.Sprint(n, " members"), func() bool { return list.NumMembers() == n+1 })
		if conn, err = net.Dial("tcp", wire.tcp.Addr().String()); err != nil {
			t.Fatal(err)
		}
		conn.SetDeadline(time.Now().Add(testTimeout))
		if _, err := conn.Write(pushPullMessage(1)); err != nil {
			t.Fatal(err)
		}
		replyBytes, err := io.Copy(io.Discard, conn)
		if err != nil {
			t.Fatal(err)
		}
		conn.Close()
		bytesPerMember = append(bytesPerMember, float64(replyBytes)/float64(n+1))
		t.Logf("%d members: %d bytes, %.1f per member; with an exchange every %v, and one answered: %.0f bytes/s sent",
			n, replyBytes, bytesPerMember[len(bytesPerMember)-1], scaledPushPullInterval(n), 2*float64(replyBytes)/scaledPushPullInterval(n).Seconds())
		if sent := wire.traffic().SentBytes; sent != 0 {
			t.Errorf("%d bytes of streams count against the byte budget", sent)
		}
		if err := list.Shutdown(); err != nil && !strings.Contains(err.Error(), "closed") {
			t.Fatal(err)
		}
	}
	if first, last := bytesPerMember[0], bytesPerMember[len(bytesPerMember)-1]; math.Abs(last-first) > first/10 {
		t.Errorf("bytes per member vary by more than 10%%: %v", bytesPerMember)
	}
}

// scaledPushPullInterval returns the interval at which a member starts full exchanges: memberlist increases it above 32
// members.
func scaledPushPullInterval(members int) time.Duration {
	if members <= 32 {
		return pushPullInterval
	}
	return time.Duration(math.Ceil(math.Log2(float64(members))-5)+1) * pushPullInterval
}
