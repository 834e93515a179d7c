package message

import (
	"testing"

	"craneglade/internal/bodies"
	"craneglade/internal/engine"
)

// Heads, bodies and answers share one total: what one of them holds the others do not get, and all is given back, once.
func TestOneTotal(t *testing.T) {
	s, err := NewStore(0, nil, engine.NewClock())
	if err != nil {
		t.Fatal(err)
	}
	s.SetLimits(bodies.Limits{Memory: 2 * RequestOverheadBytes, Heads: RequestOverheadBytes})
	defer s.Stop()
	var a, b, c Request
	if !s.Admit(&a) || !s.Admit(&b) {
		t.Fatal("no room for two of three")
	}
	p := &Reply{}
	if !s.Reserve(RequestOverheadBytes) {
		t.Fatal("no room for an answer")
	}
	p.AttachReservation(s, RequestOverheadBytes)
	if s.Admit(&c) {
		t.Error("a fourth is let in")
	}
	p.Release()
	p.Release()
	if !s.Admit(&c) || s.Reserve(1) {
		t.Error("the answer's room did not come back once")
	}
	for _, r := range []*Request{&a, &b, &c} {
		r.Release()
		r.Release()
	}
	if tier, _ := s.place(s.usual, RequestOverheadBytes); tier != bodies.Memory {
		t.Errorf("a body goes to %v", tier)
	}
	if tier, _ := s.place(s.usual, 2*RequestOverheadBytes); tier != bodies.TooLarge || !s.Reserve(RequestOverheadBytes) {
		t.Errorf("a body of what heads are sure of goes to %v", tier)
	}
	s.Release(RequestOverheadBytes)
	if n := s.Reserved(); n != 0 {
		t.Errorf("%d bytes are held by nobody", n)
	}
	var none *Reply
	none.Release()
}
