// Command 6 checks that a keyed request that may have run is sent again only within the cell whose boxes drop its repeats, when
// the machine that had it vanishes and another box takes over its address.
package main

import (
	"fmt"
	"sync"
	"time"

	"craneglade/review/stage"
)

const (
	rounds      = 8
	window      = 5 * time.Second        // the settings' repeat_window_s
	atSame      = 700 * time.Millisecond // when the list has the new box
	listedAfter = 300 * time.Millisecond // its start
	resetAt     = 900 * time.Millisecond
)

// cellMemory is what the boxes of one cell remember together: the keys that they ran, and when.
type cellMemory struct {
	mu  sync.Mutex
	ran map[string]time.Time
}

// run reports whether a key's effect happens now, and not a repeat is dropped.
func (m *cellMemory) run(key string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if t, ok := m.ran[key]; ok && time.Since(t) < window {
		return false
	}
	m.ran[key] = time.Now()
	return true
}

type received struct {
	box  string
	cell int
	at   time.Time
}

func main() {
	s := stage.Open(100 * time.Second)
	cells := map[int]*cellMemory{0: {ran: map[string]time.Time{}}, 1: {ran: map[string]time.Time{}}}
	var mu sync.Mutex
	got := map[string][]received{}
	effects := map[string]int{}
	victim := ""                             // the key of the request whose box vanishes
	var vanished = make(chan *stage.Call, 1) // the request that the box had

	handle := func(c *stage.Call) (int, bool) {
		mu.Lock()
		defer mu.Unlock()
		e := c.Backend.Entry
		got[c.Key] = append(got[c.Key], received{e.ID, e.Cell, c.At})
		effect := cells[e.Cell].run(c.Key)
		if effect {
			effects[c.Key]++
		}
		s.Logf("box %s in cell %d has %s with key %s, runs %v", e.ID, e.Cell, c.ID, c.Key, effect)
		// The box that vanishes is one of cell 1: the first that gets the request.
		if s.Trouble && c.Key == victim && e.Cell == 1 && len(got[c.Key]) == 1 {
			c.Backend.StopListening()
			vanished <- c
			return 0, true
		}
		mu.Unlock()
		time.Sleep(25 * time.Millisecond)
		mu.Lock()
		return 200, false
	}

	var entries []stage.Entry
	boxes := map[string]*stage.Backend{}
	for i := range 8 {
		e := stage.Entry{ID: fmt.Sprintf("s-%d", i), Addr: s.FreeAddr(), Zone: "tacoma", Kind: "gen-a", Cell: i % 2, State: "Ready", Weight: 1}
		boxes[e.ID] = s.NewBackend(e, handle)
		entries = append(entries, e)
	}
	d := s.NewDiscovery(entries...)
	settings := stage.Settings(1, []string{"tacoma"},
		stage.Class{Name: "save-config", Effect: "guarded", Group: "cell", Aim: 1.5, Deadline: 5, Gain: 10, RepeatWindow: window.Seconds()})
	node := s.StartNode(stage.NodeConfig{Name: "n0", Listen: s.FreeAddr(), Discovery: d.Addr, Known: d.Full(), Settings: settings})
	client := &stage.Client{Addr: node.Listen}
	n := 0
	next := len(entries)
	save := func() (key string, a stage.Answer) {
		n++
		id, key := fmt.Sprintf("r-%d", n), fmt.Sprintf("k-%d", n)
		a = client.Do(stage.Request{ID: id, Class: "save-config", Tenant: "cascade-lumber", Key: key, Deadline: 5 * time.Second})
		s.Logf("client: %s answered %d after %.3f s %v", id, a.Status, a.Took.Seconds(), a.Err)
		return key, a
	}
	for range rounds {
		for range 20 { // usual traffic
			save()
			time.Sleep(20 * time.Millisecond)
		}
		mu.Lock()
		victim = fmt.Sprintf("k-%d", n+1)
		mu.Unlock()
		done := make(chan struct{})
		go func() {
			defer close(done)
			select {
			case c := <-vanished:
				old := c.Backend
				s.Logf("the machine of box %s vanishes with %s", old.Entry.ID, c.ID)
				time.Sleep(atSame - listedAfter)
				e := old.Entry
				e.ID, e.StartedMS = fmt.Sprintf("s-%d", next), time.Now().UnixMilli()
				next++
				mu.Lock()
				boxes[e.ID] = s.NewBackend(e, handle)
				mu.Unlock()
				time.Sleep(listedAfter)
				d.Change(e) // a new box is listed before the end of the silent one is noticed
				time.Sleep(resetAt - atSame)
				s.Logf("the address of box %s resets the connections of before", old.Entry.ID)
				old.Reset()
				time.Sleep(4100 * time.Millisecond)
				gone := old.Entry
				gone.State = "Gone"
				d.Change(gone)
			case <-time.After(6 * time.Second):
			}
		}()
		key, _ := save()
		mu.Lock()
		first := len(got[key]) > 0 && got[key][0].cell == 1
		victim = ""
		mu.Unlock()
		if s.Trouble && first {
			<-done
		}
	}
	time.Sleep(500 * time.Millisecond)
	mu.Lock()
	for key, all := range got {
		for _, r := range all[1:] {
			if r.cell != all[0].cell {
				s.Break("%s ran at %s in cell %d, and was sent %.2f s later to %s in cell %d; its effect happened %d times",
					key, all[0].box, all[0].cell, r.at.Sub(all[0].at).Seconds(), r.box, r.cell, effects[key])
			}
		}
	}
	mu.Unlock()
	for _, line := range node.Log("level=ERROR") {
		s.Logf("node: %s", line)
	}
	s.Finish()
}
