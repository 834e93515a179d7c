// Command 2 is the second case of the review: batches over JSON-RPC whose answers are long, at a node with a memory limit.
package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"craneglade/review/stand"
)

const (
	memoryMB  = 32
	batch     = 600
	rounds    = 8
	longBytes = 60 << 10 // of an answer; a body holds at most 64 KiB
)

func main() {
	c, err := stand.New("review/2")
	if err != nil {
		fmt.Println(err)
		os.Exit(stand.NotRun)
	}
	long := strings.Repeat("q", longBytes)
	var list []stand.Entry
	for i := range 17 {
		b, err := stand.NewBackend(c, fmt.Sprintf("be-%d", i), 4)
		c.Check(err)
		if c.Trouble {
			b.SetAnswer(func(n int) string {
				if n%2 == 0 {
					return long
				}
				return "done"
			})
		}
		list = append(list, b.Entry([]string{"tacoma", "everett", "olympia"}[i%3]))
	}
	d, err := stand.NewDiscovery(list)
	c.Check(err)
	rpc := stand.FreeAddr()
	n, err := c.StartNode(stand.NodeConfig{Name: "n1", Discovery: d.Addr, Known: list, MemoryMB: memoryMB, Sockets: 256, Classes: stand.ShopClasses(),
		Own: stand.RPCSettings(rpc)})
	c.Check(err)
	memory := n.EnforceMemory(memoryMB)
	call := func(id string) string {
		return fmt.Sprintf(`{"jsonrpc":"2.0","id":%q,"method":"sendQuote","params":{"q":%q}}`, id, id)
	}
	k, err := stand.Dial(c, "tool", rpc)
	c.Check(err)
	for i := range 200 { // single calls first, as on any day
		k.Send(call(fmt.Sprint("w", i)) + "\n")
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	peak, _ := memory.Peak()
	c.Say("after 200 single calls: peak %.1f MB", peak)
	for r := range rounds {
		var all []string
		for i := range batch {
			all = append(all, call(fmt.Sprintf("b%d.%d", r, i)))
		}
		if _, err := k.Send("[" + strings.Join(all, ",") + "]\n"); err != nil {
			break
		}
		c.Log("sent batch %d", r)
		time.Sleep(2 * time.Second)
		served, answered := 0, 0
		for i := range batch {
			if a, ok := k.Answer(fmt.Sprintf("b%d.%d", r, i)); ok {
				answered++
				if a.Code == 0 {
					served++
				}
			}
		}
		peak, killed := memory.Peak()
		c.Say("batch %d of %d calls: %d answered, %d of them served; peak %.1f MB", r, batch, answered, served, peak)
		if killed || n.Ended() {
			c.Exit(stand.Broken)
		}
	}
	c.Exit(stand.Held)
}
