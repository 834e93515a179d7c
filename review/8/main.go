// Command 8 checks that a keyed request that may have run is sent again only within the cell whose boxes drop its repeats, when a
// whole list has a new box at the address of one whose end it does not know yet.
package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"craneglade/review/stage"
)

const (
	rounds  = 5
	window  = 5 * time.Second // the settings' repeat_window_s
	errorIn = 400             // one request in so many is answered 500 after it ran
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
	s := stage.Open(115 * time.Second)
	cells := map[int]*cellMemory{}
	for c := range 3 {
		cells[c] = &cellMemory{ran: map[string]time.Time{}}
	}
	var mu sync.Mutex
	got := map[string][]received{}
	effects := map[string]int{}
	byBox := map[string]int{}
	var count atomic.Int64
	handle := func(c *stage.Call) (int, bool) {
		e := c.Backend.Entry
		effect := cells[e.Cell].run(c.Key)
		mu.Lock()
		got[c.Key] = append(got[c.Key], received{e.ID, e.Cell, c.At})
		byBox[e.ID]++
		if effect {
			effects[c.Key]++
		}
		mu.Unlock()
		s.Logf("box %s in cell %d has %s with key %s, runs %v", e.ID, e.Cell, c.ID, c.Key, effect)
		time.Sleep(25 * time.Millisecond)
		if effect && count.Add(1)%errorIn == 0 {
			s.Logf("box %s answers %s with an error", e.ID, c.ID)
			return 500, false
		}
		return 200, false
	}
	var entries []stage.Entry
	boxes := map[string]*stage.Backend{}
	for i := range 9 {
		e := stage.Entry{ID: fmt.Sprintf("s-%d", i), Addr: s.FreeAddr(), Zone: "tacoma", Kind: "gen-a", Cell: i % 3, State: "Ready", Weight: 1}
		boxes[e.ID] = s.NewBackend(e, handle)
		entries = append(entries, e)
	}
	d := s.NewDiscovery(entries...)
	d.Trouble = func() string {
		return "whole"
	}
	node := s.StartNode(stage.NodeConfig{Name: "n0", Listen: s.FreeAddr(), Discovery: d.Addr, Known: d.Full(),
		Settings: stage.Settings(1, []string{"tacoma"},
			stage.Class{Name: "save-config", Effect: "guarded", Group: "cell", Aim: 0.4, Deadline: 1, Gain: 10, RepeatWindow: window.Seconds()})})
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range 12 {
		clients.Go(func() {
			c := &stage.Client{Addr: node.Listen}
			defer c.Close()
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(15 * time.Millisecond):
				}
				id := fmt.Sprintf("r-%d-%d", i, n)
				a := c.Do(stage.Request{ID: id, Class: "save-config", Tenant: "cascade-lumber", Key: "k" + id, Deadline: time.Second})
				s.Logf("client: %s answered %d after %.3f s %v", id, a.Status, a.Took.Seconds(), a.Err)
			}
		})
	}
	time.Sleep(3 * time.Second)
	for round := range rounds {
		// The machine of a box of cell 1 vanishes. Its address goes to a new box, of cell 0. The end of the silent one is noticed
		// 12 s after it vanished; until then the list has both.
		old := boxes[fmt.Sprintf("s-%d", 3*(round%3)+1)]
		s.Logf("the machine of box %s vanishes", old.Entry.ID)
		old.Vanish()
		time.Sleep(600 * time.Millisecond)
		fresh := old.Entry
		fresh.ID, fresh.StartedMS = fmt.Sprintf("s-%d", 9+round), time.Now().UnixMilli()
		if s.Trouble {
			fresh.Cell = 0
		} else {
			fresh.Addr, fresh.Cell = s.FreeAddr(), 0
		}
		started := s.NewBackend(fresh, handle)
		time.Sleep(400 * time.Millisecond)
		d.Change(fresh)
		old.Reset()
		time.Sleep(11 * time.Second)
		gone := old.Entry
		gone.State = "Gone"
		d.Change(gone)
		time.Sleep(3 * time.Second)
		// The box is switched on again elsewhere, for the next round.
		gone.State = "Gone"
		last := fresh
		last.State = "Gone"
		d.Change(last)
		time.Sleep(3 * time.Second)
		started.Die()
		again := old.Entry
		again.ID, again.Addr, again.StartedMS = fmt.Sprintf("%s-%d", old.Entry.ID, round), s.FreeAddr(), time.Now().UnixMilli()
		boxes[fmt.Sprintf("s-%d", 3*(round%3)+1)] = s.NewBackend(again, handle)
		d.Change(again)
	}
	close(stop)
	clients.Wait()
	mu.Lock()
	for key, all := range got {
		for _, r := range all[1:] {
			if r.cell != all[0].cell {
				s.Break("%s ran at %s in cell %d, and was sent %.3f s later to %s in cell %d; its effect happened %d times",
					key, all[0].box, all[0].cell, r.at.Sub(all[0].at).Seconds(), r.box, r.cell, effects[key])
			}
		}
	}
	s.Logf("requests by box: %v", byBox)
	mu.Unlock()
	s.Finish()
}
