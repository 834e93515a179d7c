// Command 3 is the third case of the review: a tool sends a batch over JSON-RPC and closes its connection before the answer.
package main

import (
	"fmt"
	"os"
	"strings"
	"time"

	"craneglade/review/stand"
)

const (
	batch  = 600
	warm   = 5                      // batches whose answer the tool waits for
	leave  = 4                      // batches during which it closes its connection
	stay   = 150 * time.Millisecond // between the batch and the close
	bound  = 150 * time.Millisecond // an attempt may begin 0.1 s after the close; each limit is 50 ms longer on sockets
	settle = 3 * time.Second        // more than the deadline of the calls
)

func main() {
	c, err := stand.New("review/3")
	if err != nil {
		fmt.Println(err)
		os.Exit(stand.NotRun)
	}
	var list []stand.Entry
	var backends []*stand.Backend
	for i := range 17 {
		b, err := stand.NewBackend(c, fmt.Sprintf("be-%d", i), 4)
		c.Check(err)
		backends = append(backends, b)
		list = append(list, b.Entry([]string{"tacoma", "everett", "olympia"}[i%3]))
	}
	d, err := stand.NewDiscovery(list)
	c.Check(err)
	rpc := stand.FreeAddr()
	_, err = c.StartNode(stand.NodeConfig{Name: "n1", Discovery: d.Addr, Known: list, MemoryMB: 128, Sockets: 1024, Classes: stand.ShopClasses(),
		Own: stand.RPCSettings(rpc)})
	c.Check(err)

	violations := 0
	for r := range warm + leave {
		k, err := stand.Dial(c, fmt.Sprintf("tool-%d", r), rpc)
		c.Check(err)
		var all []string
		for i := range batch {
			id := fmt.Sprintf("b%d.%d", r, i)
			all = append(all, fmt.Sprintf(`{"jsonrpc":"2.0","id":%q,"method":"sendQuote","params":{"quote":%q}}`, id, id))
		}
		_, err = k.Send("[" + strings.Join(all, ",") + "]\n")
		c.Check(err)
		c.Log("sent batch %d", r)
		if r < warm || !c.Trouble {
			for end := time.Now().Add(settle); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				if n, _ := k.Answers(); n == batch {
					break
				}
			}
			n, _ := k.Answers()
			c.Say("batch %d: %d of %d answered", r, n, batch)
			k.Close()
			continue
		}
		time.Sleep(stay)
		closed := k.Close()
		time.Sleep(settle)
		before, after, latest := 0, 0, time.Duration(0)
		for _, b := range backends {
			for _, x := range b.Calls() {
				if q, _ := x.Params["quote"].(string); !strings.HasPrefix(q, fmt.Sprintf("b%d.", r)) {
					continue
				}
				if x.At <= closed+bound {
					before++
					continue
				}
				after++
				latest = max(latest, x.At-closed)
			}
		}
		violations += after
		c.Say("batch %d: %d calls came to backends up to %v after the close, %d later than that, the last one %v after it", r, before, bound, after, latest.Round(time.Millisecond))
	}
	if violations > 0 {
		c.Exit(stand.Broken)
	}
	c.Exit(stand.Held)
}
