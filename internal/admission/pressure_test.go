package admission

import (
	"testing"
	"time"
)

func TestPressure(t *testing.T) {
	var p Pressure
	at := time.Duration(0)
	feed := func(waited time.Duration, n int) {
		for range n {
			at += 4 * ms
			p.Observe(at, waited)
		}
	}
	feed(10*ms, 500)
	if p.Shed(at, 0, 2) != 0 {
		t.Error("sheds with waits of 10ms")
	}
	p.Observe(at, time.Second) // one that was late alone
	if s := p.Shed(at, 1, 2); s != 0 {
		t.Errorf("one late request sheds %.2f of the dearest", s)
	}
	feed(10*ms, 300)
	feed(120*ms, 300) // a quarter of the way
	if a, b := p.Shed(at, 0, 2), p.Shed(at, 1, 2); a < 0.4 || a > 0.6 || b != 0 {
		t.Errorf("waits of 120ms: %.2f of the cheapest, %.2f of the dearest", a, b)
	}
	feed(240*ms, 300)
	if a, b := p.Shed(at, 0, 2), p.Shed(at, 1, 2); a != 1 || b < 0.4 || b > 0.6 {
		t.Errorf("waits of 240ms: %.2f of the cheapest, %.2f of the dearest", a, b)
	}
	feed(time.Second, 300)
	if p.Shed(at, 1, 2) != 1 {
		t.Error("waits of a second shed all")
	}
	if s := p.Shed(at+2*time.Second, 0, 2); s != 0 {
		t.Errorf("two quiet seconds later: %.2f", s)
	}
	feed(0, 200)
	if p.Shed(at, 0, 2) != 0 {
		t.Error("caught up, and still shedding")
	}
}
