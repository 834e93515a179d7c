package admission

import (
	"testing"
	"time"
)

func TestPressureSheds(t *testing.T) {
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
	p.Observe(at, time.Second) // a single late request
	if s := p.Shed(at, 1, 2); s != 0 {
		t.Errorf("one late request sheds %.2f of the highest class", s)
	}
	feed(10*ms, 300)
	feed(120*ms, 300) // a quarter of the way from shedFromWait to shedAllWait
	if a, b := p.Shed(at, 0, 2), p.Shed(at, 1, 2); a < 0.4 || a > 0.6 || b != 0 {
		t.Errorf("waits of 120ms: sheds %.2f of the lowest class, %.2f of the highest", a, b)
	}
	feed(240*ms, 300)
	if a, b := p.Shed(at, 0, 2), p.Shed(at, 1, 2); a != 1 || b < 0.4 || b > 0.6 {
		t.Errorf("waits of 240ms: sheds %.2f of the lowest class, %.2f of the highest", a, b)
	}
	feed(time.Second, 300)
	if p.Shed(at, 1, 2) != 1 {
		t.Error("waits of one second do not shed all")
	}
	if s := p.Shed(at+2*time.Second, 0, 2); s != 0 {
		t.Errorf("sheds %.2f after two seconds without requests", s)
	}
	feed(0, 200)
	if p.Shed(at, 0, 2) != 0 {
		t.Error("still shedding without waits")
	}
}
