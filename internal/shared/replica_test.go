package shared

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"craneglade/internal/shared/counts"
	"craneglade/internal/shared/escrow"
	"craneglade/internal/shared/judgement"
	"craneglade/internal/shared/packet"
	"craneglade/internal/shared/roster"
	"craneglade/policy"
)

const quotaPS = 100.0

var long = flag.Bool("long", false, "measure in large fleets too")

// fleet is some replicas and what carries between them.
type fleet struct {
	t     testing.TB
	now   time.Duration
	nodes []*Replica
	lives []uint64
	rng   *rand.Rand
	loss  float64
	cut   func(from, to int) bool
	bytes int
}

func config(i, n int, life uint64) Config {
	return Config{Name: fmt.Sprintf("n%d", i), Self: escrow.Node{Number: i, Incarnation: life}, Nodes: n, Site: []string{"north", "south"}[i%2],
		Quotas: map[string]float64{"a": quotaPS, "none": 0}, Terms: escrow.Usual(), Limits: judgement.Usual(), Use: Use{Escrow: true, Ejections: true}, BytesPS: 64 << 10, Datagram: 1400}
}

func newFleet(t testing.TB, n int) *fleet {
	f := &fleet{t: t, now: time.Hour, rng: rand.New(rand.NewPCG(1, 2)), cut: func(int, int) bool { return false },
		nodes: make([]*Replica, n), lives: make([]uint64, n)}
	for i := range n {
		f.lives[i] = 1
		f.restart(i)
	}
	return f
}

func backends() (all []judgement.Backend) {
	for i := range 8 {
		all = append(all, judgement.Backend{Key: Key(fmt.Sprint(i), 0), Name: fmt.Sprint(i), Site: []string{"north", "south"}[i%2]})
	}
	return all
}

// restart begins a node's next life.
func (f *fleet) restart(i int) {
	f.lives[i]++
	f.nodes[i] = New(config(i, len(f.nodes), f.lives[i]), f.now)
	f.nodes[i].Listed(backends())
	for j, o := range f.nodes {
		if j != i && o != nil && !f.cut(i, j) {
			f.meet(i, j)
			f.meet(j, i)
		}
	}
}

func (f *fleet) meet(i, j int) {
	if err := f.nodes[i].Joined(f.now, f.nodes[j].cfg.Name, f.nodes[j].Meta()); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) carry(from, to int, b []byte) {
	f.bytes += len(b)
	if f.cut(from, to) || f.rng.Float64() < f.loss {
		return
	}
	out, err := f.nodes[to].Receive(f.now, b)
	if err != nil {
		f.t.Fatal(err)
	}
	f.send(to, out)
}

func (f *fleet) send(from int, out []Message) {
	for _, m := range out {
		if m.To >= 0 && m.To < len(f.nodes) && m.To != from {
			f.carry(from, m.To, m.Payload)
		}
	}
}

// run lets time pass, with requests and outcomes of the nodes' own by load, which may be nil.
func (f *fleet) run(d time.Duration, load func(i int, r *Replica)) {
	for end := f.now + d; f.now < end; f.now += 50 * time.Millisecond {
		for i, r := range f.nodes {
			if load != nil {
				load(i, r)
			}
			if f.now%(250*time.Millisecond) == 0 {
				f.send(i, r.Step(f.now))
			}
			if f.now%(200*time.Millisecond) == 0 {
				for range 3 {
					if j := f.rng.IntN(len(f.nodes)); j != i {
						for _, b := range r.Broadcasts(f.now, 2, 1400) {
							f.carry(i, j, b)
						}
					}
				}
			}
		}
	}
}

func (f *fleet) sum() (sum float64, each []float64) {
	for _, r := range f.nodes {
		q := quotaPS * r.Report(f.now).Parts[0].Spendable
		sum, each = sum+q, append(each, q)
	}
	return sum, each
}

// A tenant that asks at one node alone gets its whole share there but for what the others never lend.
func TestPartsFollowTheDemand(t *testing.T) {
	f := newFleet(t, 6)
	f.run(15*time.Second, func(i int, r *Replica) {
		if i == 2 {
			for range 5 {
				r.Request(f.now, "a")
			}
		}
		r.Request(f.now, "none")
		r.Request(f.now, "of no share")
	})
	sum, each := f.sum()
	if sum > quotaPS*(1+1e-6) || each[2] < 0.7*quotaPS {
		t.Errorf("%.1f in all, each %.1f, want node 2 to have most of %.0f", sum, each, quotaPS)
	}
	if _, ok := f.nodes[0].table.Of("quota/none", 1); ok {
		t.Error("what has no share is counted")
	}
}

// By counts alone the part that lies within a share is the same at every node, and a node that hears nobody keeps to its own.
func TestWithinAShareByCounts(t *testing.T) {
	f := newFleet(t, 6)
	for _, r := range f.nodes {
		r.cfg.Use = Use{Quotas: true}
	}
	f.run(15*time.Second, func(i int, r *Replica) { // 420 a second, and 100 are the share
		for range 1 + i {
			r.Request(f.now, "a")
		}
	})
	whole := 0.0
	for i, r := range f.nodes {
		whole += r.localCounts["quota/a"].Rate()
		if got := r.View(f.now).Within["a"]; got < 0.22 || got > 0.27 {
			t.Errorf("node %d: %.3f of its requests lie within, want 100 of %d", i, got, 20*21)
		}
	}
	if whole < 410 || whole > 430 {
		t.Fatalf("the test asks for %.0f a second", whole)
	}
	alone := New(f.nodes[5].cfg, f.now)
	for range 100 {
		f.now += 50 * time.Millisecond
		for range 6 {
			alone.Request(f.now, "a")
		}
		alone.Step(f.now)
	}
	if got, want := alone.View(f.now).Within["a"], quotaPS/6/120; got < 0.9*want || got > 1.1*want {
		t.Errorf("alone %.3f, want its sixth of the share: %.3f", got, want)
	}
}

// Whatever is lost, cut off or started again between them, nodes together never have more than a share.
func TestTheShareHolds(t *testing.T) {
	moved := 0
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 5).Draw(t, "nodes")
		f := newFleet(nil, n)
		f.rng = rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		hot := 0
		for range rapid.IntRange(1, 12).Draw(t, "spans") {
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				f.loss = rapid.Float64Range(0, 0.9).Draw(t, "loss")
			case 1:
				side := rapid.IntRange(0, 1<<n-1).Draw(t, "side")
				f.cut = func(from, to int) bool { return side>>from&1 != side>>to&1 }
			case 2:
				f.restart(rapid.IntRange(0, n-1).Draw(t, "node"))
			case 3:
				hot = rapid.IntRange(0, n-1).Draw(t, "hot")
			case 4:
				f.cut = func(int, int) bool { return false }
			}
			f.run(time.Duration(rapid.IntRange(100, 3000).Draw(t, "ms"))*time.Millisecond, func(i int, r *Replica) {
				if i == hot || f.rng.IntN(10) == 0 {
					r.Request(f.now, "a")
				}
				sum, each := f.sum()
				if sum > quotaPS*(1+1e-6) {
					t.Fatalf("%v of %v: %v", sum, quotaPS, each)
				}
				if each[i] > quotaPS/float64(n)+1 {
					moved++
				}
			})
		}
	})
	if moved == 0 {
		t.Error("no part ever moved: the scripts test nothing")
	}
}

func TestABrokenBackendIsOutForAll(t *testing.T) {
	f := newFleet(t, 6)
	bad := Key("3", 0)
	f.run(4*time.Second, func(i int, r *Replica) {
		for _, b := range backends() {
			if i < 3 && f.now%(500*time.Millisecond) == 0 { // half of the nodes use it, the others will not have to
				r.Outcome(f.now, b.Key, b.Key == bad)
			}
		}
	})
	for i, r := range f.nodes {
		v := r.View(f.now)
		if len(v.Out) != 1 || v.Out[0] != bad {
			t.Errorf("node %d leaves out %v, want the one that fails", i, v.Out)
		}
		ev := v.Event(func(k judgement.Key) (uint32, bool) { return 7, k == bad })
		if ev.Kind != policy.EvShared || len(ev.Shared.Ejected) != 1 || ev.Shared.Ejected[0] != 7 {
			t.Errorf("as an event: %+v", ev.Shared)
		}
	}
	said := ""
	for _, n := range f.nodes[5].Notes() {
		said += n.Text + "\n"
	}
	if !strings.Contains(said, "out by hearsay") || !strings.Contains(said, "a member is here") {
		t.Errorf("an operator is told:\n%s", said)
	}
}

// One that was here before, by a clock that ran ahead, is outlived: what it says counts nothing, and this one's word does.
func TestALifeBeforeByAClockThatRanAhead(t *testing.T) {
	f := newFleet(t, 2)
	f.lives[1] = 1000
	f.restart(1)
	f.nodes[1].Request(f.now, "a")
	f.run(5*time.Second, func(_ int, r *Replica) { r.Request(f.now, "a") })
	f.lives[1] = 10
	f.restart(1)
	if f.nodes[1].cfg.Self.Incarnation != 11 {
		t.Fatal("the test has another life in mind")
	}
	f.carry(0, 1, f.nodes[0].State(f.now))
	if got := f.nodes[1].cfg.Self.Incarnation; got != 1002 || !f.nodes[1].Renewed() || f.nodes[1].Renewed() {
		t.Errorf("it goes on as life %d, want 1002, and tells so once", got)
	}
	f.meet(0, 1)
	f.run(5*time.Second, func(_ int, r *Replica) { r.Request(f.now, "a") })
	if w, ok := f.nodes[0].table.Of("quota/a", 1); !ok || w.Incarnation != 1002 {
		t.Errorf("the other knows of life %d", w.Incarnation)
	}
}

// What lost sites' load may bring to another goes to the nodes that have such load, and stays one whole.
func TestCrossingFollowsTheDemand(t *testing.T) {
	f := newFleet(t, 6)
	for i := range f.nodes {
		c := config(i, 6, 9)
		c.Use, c.Sites = Use{Crossing: true}, []string{"east", "west"}
		f.lives[i] = 9
		f.nodes[i] = New(c, f.now)
	}
	for i := range f.nodes {
		for j := range f.nodes {
			if i != j {
				f.meet(i, j)
			}
		}
	}
	for range 10 {
		f.run(time.Second, func(i int, r *Replica) {
			if i < 2 {
				r.Crossed(f.now, "east")
			}
		})
		sum := 0.0
		for _, r := range f.nodes {
			sum += r.View(f.now).Cross["east"]
		}
		if sum > 1.0001 {
			t.Fatalf("%.3f of the whole can be brought there", sum)
		}
	}
	if has := f.nodes[0].View(f.now).Cross["east"] + f.nodes[1].View(f.now).Cross["east"]; has < 0.7 {
		t.Errorf("the two nodes that need it have %.2f", has)
	}
	if has := f.nodes[0].View(f.now).Cross["west"]; has < 0.16 || has > 0.17 {
		t.Errorf("of what nobody needs one has %.2f, and owns a sixth", has)
	}
	if f.nodes[0].isBudget("cross/north") || !f.nodes[0].isBudget("cross/west") {
		t.Error("a site that is in no plan has a budget, or one that is has none")
	}
}

// What a node counts a second stays what it is when its clock is set back.
func TestCountsWhenTheClockIsSetBack(t *testing.T) {
	f := newFleet(t, 1)
	r := f.nodes[0]
	for i := range 300 {
		f.now += 100 * time.Millisecond
		if i == 60 {
			f.now -= 10 * time.Second
		}
		r.Request(f.now, "a")
		r.Step(f.now)
		if rate := r.localCounts[quotaPrefix+"a"].Rate(); i > 10 && (rate < 9 || rate > 11) {
			t.Fatalf("request %d, one each 100 ms: a rate of %.1f", i, rate)
		}
	}
}

func TestWhatComesFromNobodyKnown(t *testing.T) {
	f := newFleet(t, 3)
	if _, err := f.nodes[0].Receive(f.now, []byte("GET / HTTP/1.1")); err == nil {
		t.Error("what is no frame is taken")
	}
	if err := f.nodes[0].Joined(f.now, "x", []byte{1, 2, 3}); err == nil {
		t.Error("a member that says nonsense of itself is taken")
	}
	// An ask for a budget that there is not, and words of a life that is over, get no answer.
	ask := packet.Entry{Kind: packet.Ask, Node: escrow.Node{Number: 1, Incarnation: 2}, Key: "quota/none", Nonce: 1, Grains: 5}
	old := packet.Entry{Kind: packet.Ask, Node: escrow.Node{Number: 1, Incarnation: 1}, Key: "quota/a", Nonce: 1, Grains: 5}
	window := packet.Entry{Kind: packet.Window, Node: escrow.Node{Number: 1, Incarnation: 1}, Key: "quota/a", Window: counts.Window{Incarnation: 1, Epoch: 3}}
	if out, err := f.nodes[0].Receive(f.now, packet.Frame(ask, old, window)); err != nil || len(out) > 0 {
		t.Errorf("%d answers, %v", len(out), err)
	}
	if r := f.nodes[0].Report(f.now); r.Stats.Stale != 2 || r.Stats.Bad != 2 || len(r.Members) != 2 {
		t.Errorf("%+v", r.Stats)
	}
	f.nodes[0].Gone(f.now, f.nodes[1].Meta(), roster.Dead)
	if r := f.nodes[0].Report(f.now); r.Count.Lower != 2 || r.Count.Upper != 3 || r.Members[0].State != "dead" {
		t.Errorf("%+v %+v", r.Count, r.Members)
	}
}

// The bytes that a node sends grow with what there is to tell, and stay within its budget when the fleet grows.
func TestBytesStayWithinTheBudget(t *testing.T) {
	for _, n := range []int{3, 30} {
		f := newFleet(t, n)
		load := func(i int, r *Replica) {
			for _, b := range backends() {
				if f.rng.IntN(20) == 0 {
					r.Outcome(f.now, b.Key, false)
				}
			}
			r.Request(f.now, "a")
		}
		f.run(5*time.Second, load) // the burst of a start
		f.bytes = 0
		f.run(5*time.Second, load)
		each := float64(f.bytes) / 5 / float64(n)
		t.Logf("%d nodes: %.0f bytes a node a second", n, each)
		if each > 64<<10 {
			t.Errorf("%d nodes: %.0f bytes a node a second, and %d are its budget", n, each, 64<<10)
		}
	}
}

// How long after the last vote that a quorum needs a backend is out at the other nodes, in virtual time.
func TestHowSoonAVerdictIsKnown(t *testing.T) {
	sizes, rounds := []int{12}, 3
	if *long {
		sizes, rounds = []int{12, 60}, 12
	}
	for _, n := range sizes {
		for _, loss := range []float64{0, 0.1, 0.3} {
			f := newFleet(t, n)
			f.loss = loss
			f.run(3*time.Second, nil)
			bad := Key("3", 0)
			var took []float64
			for round := range rounds {
				from := f.now
				at := make([]time.Duration, n)
				first, second := f.rng.IntN(n/2), n/2+f.rng.IntN(n/2)
				f.run(4*time.Second, func(i int, r *Replica) {
					if f.now == from && (i == first || i == second) {
						for range 4 {
							r.Outcome(f.now, bad, true)
						}
					}
					if at[i] == 0 && len(r.View(f.now).Out) > 0 {
						at[i] = f.now - from
					}
				})
				for i := range at {
					if at[i] == 0 {
						t.Errorf("%d nodes, %.0f%% lost, round %d: node %d does not know within 4 s", n, 100*loss, round, i)
					}
					took = append(took, at[i].Seconds())
				}
				f.run(20*time.Second, nil) // until it is forgotten
			}
			slices.Sort(took)
			t.Logf("%d nodes, %.0f%% lost: p50 %.2f s, p99 %.2f s", n, 100*loss, took[len(took)/2], took[len(took)*99/100])
		}
	}
}

func BenchmarkReceive(b *testing.B) {
	f := newFleet(b, 30)
	f.run(2*time.Second, func(i int, r *Replica) { r.Outcome(f.now, backends()[i%8].Key, false) })
	var frames [][]byte
	for i := range uint64(1000) {
		frames = append(frames, packet.Frame(packet.Entry{Kind: packet.Sight, Node: escrow.Node{Number: 1 + int(i%29), Incarnation: 2}, Backend: Key("3", 0),
			Sight: judgement.Sight{Seq: 1000 + i, Tried: 3, Failed: 1}}))
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		if _, err := f.nodes[0].Receive(f.now, frames[i%len(frames)]); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkStep(b *testing.B) {
	for _, n := range []int{3, 30, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFleet(b, n)
			f.run(2*time.Second, func(i int, r *Replica) {
				r.Request(f.now, "a")
				r.Outcome(f.now, backends()[i%8].Key, false)
			})
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				f.now += 250 * time.Millisecond
				f.nodes[0].Step(f.now)
			}
		})
	}
}
