package message

import (
	"testing"

	"craneglade/internal/bodies"
	"craneglade/internal/engine"
)

// Heads, bodies and answers share one memory budget: memory that one of them uses is not available to the others, and each
// reservation is returned exactly once.
func TestMemoryBudgetIsSharedByHeadsBodiesAndAnswers(t *testing.T) {
	s, err := NewStore(0, nil, engine.NewClock())
	if err != nil {
		t.Fatal(err)
	}
	s.SetLimits(bodies.Limits{Memory: 2 * RequestOverheadBytes, Heads: RequestOverheadBytes})
	defer s.Stop()
	var a, b, c Request
	if !s.Admit(&a) || !s.Admit(&b) {
		t.Fatal("two of three requests were not admitted")
	}
	p := &Reply{}
	if !s.Reserve(RequestOverheadBytes) {
		t.Fatal("memory for an answer was not available")
	}
	p.OnRelease(func() { s.Release(RequestOverheadBytes) })
	if s.Admit(&c) {
		t.Error("a request was admitted over the limit")
	}
	p.Release()
	p.Release()
	if !s.Admit(&c) || s.Reserve(1) {
		t.Error("the memory of the answer was not returned exactly once")
	}
	for _, r := range []*Request{&a, &b, &c} {
		r.Release()
		r.Release()
	}
	if tier, _ := s.place(s.defaultClass, RequestOverheadBytes); tier != bodies.Memory {
		t.Errorf("a body is placed in %v, want memory", tier)
	}
	if tier, _ := s.place(s.defaultClass, 2*RequestOverheadBytes); tier != bodies.TooLarge || !s.Reserve(RequestOverheadBytes) {
		t.Errorf("a body that needs the share guaranteed to heads is placed in %v", tier)
	}
	s.Release(RequestOverheadBytes)
	if n := s.Reserved(); n != 0 {
		t.Errorf("%d bytes are still reserved after all was released", n)
	}
	var none *Reply
	none.Release()
}
