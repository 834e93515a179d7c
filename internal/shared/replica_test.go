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

const quotaPerSecond = 100.0

var long = flag.Bool("long", false, "measure in large fleets too")

// fleet is a set of replicas and a simulated network between them.
type fleet struct {
	t            testing.TB
	now          time.Duration
	nodes        []*Replica
	incarnations []uint64
	rng          *rand.Rand
	loss         float64
	partitioned  func(from, to int) bool
	bytes        int
}

func config(i, n int, incarnation uint64) Config {
	return Config{Name: fmt.Sprintf("n%d", i), Self: escrow.Node{Number: i, Incarnation: incarnation}, Nodes: n, Site: []string{"north", "south"}[i%2],
		Quotas: map[string]float64{"a": quotaPerSecond, "none": 0}, Terms: escrow.DefaultTerms(), Limits: judgement.DefaultLimits(), Features: Features{Escrow: true, Ejections: true}, BytesPerSecond: 64 << 10, MaxDatagramBytes: 1400}
}

func newFleet(t testing.TB, n int) *fleet {
	f := &fleet{t: t, now: time.Hour, rng: rand.New(rand.NewPCG(1, 2)), partitioned: func(int, int) bool { return false },
		nodes: make([]*Replica, n), incarnations: make([]uint64, n)}
	for i := range n {
		f.incarnations[i] = 1
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

// restart starts a node's next incarnation.
func (f *fleet) restart(i int) {
	f.incarnations[i]++
	f.nodes[i] = New(config(i, len(f.nodes), f.incarnations[i]), f.now)
	f.nodes[i].SetBackends(backends())
	for j, o := range f.nodes {
		if j != i && o != nil && !f.partitioned(i, j) {
			f.introduce(i, j)
			f.introduce(j, i)
		}
	}
}

func (f *fleet) introduce(i, j int) {
	if err := f.nodes[i].MemberJoined(f.now, f.nodes[j].cfg.Name, f.nodes[j].Meta()); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) carry(from, to int, b []byte) {
	f.bytes += len(b)
	if f.partitioned(from, to) || f.rng.Float64() < f.loss {
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

// run advances the time. In each step load, if not nil, adds requests and outcomes at each node.
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

func (f *fleet) spendablePerSecond() (sum float64, each []float64) {
	for _, r := range f.nodes {
		q := quotaPerSecond * r.Report(f.now).Budgets[0].Spendable
		sum, each = sum+q, append(each, q)
	}
	return sum, each
}

// A tenant whose requests all arrive at one node gets its whole quota there, but for what the other nodes never lend.
func TestSharesFollowDemand(t *testing.T) {
	f := newFleet(t, 6)
	f.run(15*time.Second, func(i int, r *Replica) {
		if i == 2 {
			for range 5 {
				r.CountRequest(f.now, "a")
			}
		}
		r.CountRequest(f.now, "none")
		r.CountRequest(f.now, "of no share")
	})
	sum, each := f.spendablePerSecond()
	if sum > quotaPerSecond*(1+1e-6) || each[2] < 0.7*quotaPerSecond {
		t.Errorf("%.1f in all, by node %.1f, want node 2 to have most of %.0f", sum, each, quotaPerSecond)
	}
	if _, ok := f.nodes[0].table.Get("quota/none", 1); ok {
		t.Error("a tenant without a quota is counted")
	}
}

// With quotas enforced by counts the fraction of requests within a quota is the same at every node, and an isolated node
// limits itself to its own fraction of the quota.
func TestQuotaFractionByCounts(t *testing.T) {
	f := newFleet(t, 6)
	for _, r := range f.nodes {
		r.cfg.Features = Features{Quotas: true}
	}
	f.run(15*time.Second, func(i int, r *Replica) { // 420 requests per second, and the quota is 100
		for range 1 + i {
			r.CountRequest(f.now, "a")
		}
	})
	total := 0.0
	for i, r := range f.nodes {
		total += r.localCounts["quota/a"].Rate()
		if got := r.View(f.now).QuotaFractions["a"]; got < 0.22 || got > 0.27 {
			t.Errorf("node %d: %.3f of its requests are within the quota, want 100 of %d", i, got, 20*21)
		}
	}
	if total < 410 || total > 430 {
		t.Fatalf("the test sends %.0f requests per second, want 420", total)
	}
	alone := New(f.nodes[5].cfg, f.now)
	for range 100 {
		f.now += 50 * time.Millisecond
		for range 6 {
			alone.CountRequest(f.now, "a")
		}
		alone.Step(f.now)
	}
	if got, want := alone.View(f.now).QuotaFractions["a"], quotaPerSecond/6/120; got < 0.9*want || got > 1.1*want {
		t.Errorf("isolated node: %.3f, want a sixth of the quota: %.3f", got, want)
	}
}

// The nodes together never have more than a quota, through message loss, partitions and restarts.
func TestQuotaIsNeverExceeded(t *testing.T) {
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
				f.partitioned = func(from, to int) bool { return side>>from&1 != side>>to&1 }
			case 2:
				f.restart(rapid.IntRange(0, n-1).Draw(t, "node"))
			case 3:
				hot = rapid.IntRange(0, n-1).Draw(t, "hot")
			case 4:
				f.partitioned = func(int, int) bool { return false }
			}
			f.run(time.Duration(rapid.IntRange(100, 3000).Draw(t, "ms"))*time.Millisecond, func(i int, r *Replica) {
				if i == hot || f.rng.IntN(10) == 0 {
					r.CountRequest(f.now, "a")
				}
				sum, each := f.spendablePerSecond()
				if sum > quotaPerSecond*(1+1e-6) {
					t.Fatalf("%v of %v: %v", sum, quotaPerSecond, each)
				}
				if each[i] > quotaPerSecond/float64(n)+1 {
					moved++
				}
			})
		}
	})
	if moved == 0 {
		t.Error("no node ever borrowed: the scripts test nothing")
	}
}

func TestUnhealthyBackendIsEjectedOnAllNodes(t *testing.T) {
	f := newFleet(t, 6)
	key := Key("3", 0)
	f.run(4*time.Second, func(i int, r *Replica) {
		for _, b := range backends() {
			if i < 3 && f.now%(500*time.Millisecond) == 0 { // half of the nodes send requests to it; the others learn from them
				r.RecordOutcome(f.now, b.Key, b.Key == key)
			}
		}
	})
	for i, r := range f.nodes {
		v := r.View(f.now)
		if len(v.Ejected) != 1 || v.Ejected[0] != key {
			t.Errorf("node %d: %v ejected, want the failing backend", i, v.Ejected)
		}
		ev := v.Event(func(k judgement.Key) (uint32, bool) { return 7, k == key })
		if ev.Kind != policy.EvShared || len(ev.Shared.Ejected) != 1 || ev.Shared.Ejected[0] != 7 {
			t.Errorf("as an event: %+v", ev.Shared)
		}
	}
	text := ""
	for _, n := range f.nodes[5].Notes() {
		text += n.Text + "\n"
	}
	if !strings.Contains(text, "backend ejected") || !strings.Contains(text, "member joined") {
		t.Errorf("the notes lack an ejection or a join:\n%s", text)
	}
}

// A node whose earlier process had a later incarnation, from a clock that ran ahead, takes the next one, so that its own
// entries count and not those of the earlier process.
func TestEarlierIncarnationFromAClockThatRanAhead(t *testing.T) {
	f := newFleet(t, 2)
	f.incarnations[1] = 1000
	f.restart(1)
	f.nodes[1].CountRequest(f.now, "a")
	f.run(5*time.Second, func(_ int, r *Replica) { r.CountRequest(f.now, "a") })
	f.incarnations[1] = 10
	f.restart(1)
	if f.nodes[1].cfg.Self.Incarnation != 11 {
		t.Fatal("the test starts with another incarnation")
	}
	f.carry(0, 1, f.nodes[0].State(f.now))
	if got := f.nodes[1].cfg.Self.Incarnation; got != 1002 || !f.nodes[1].TakeRenewed() || f.nodes[1].TakeRenewed() {
		t.Errorf("incarnation %d, want 1002, reported exactly once", got)
	}
	f.introduce(0, 1)
	f.run(5*time.Second, func(_ int, r *Replica) { r.CountRequest(f.now, "a") })
	if w, ok := f.nodes[0].table.Get("quota/a", 1); !ok || w.Incarnation != 1002 {
		t.Errorf("the other node knows incarnation %d, want 1002", w.Incarnation)
	}
}

// The share of lost sites' load moves to the nodes that have such load, and all shares never add up to more than one.
func TestOverflowSharesFollowTheDemand(t *testing.T) {
	f := newFleet(t, 6)
	for i := range f.nodes {
		c := config(i, 6, 9)
		c.Features, c.OverflowSites = Features{Crossing: true}, []string{"east", "west"}
		f.incarnations[i] = 9
		f.nodes[i] = New(c, f.now)
	}
	for i := range f.nodes {
		for j := range f.nodes {
			if i != j {
				f.introduce(i, j)
			}
		}
	}
	for range 10 {
		f.run(time.Second, func(i int, r *Replica) {
			if i < 2 {
				r.CountOverflow(f.now, "east")
			}
		})
		sum := 0.0
		for _, r := range f.nodes {
			sum += r.View(f.now).OverflowShares["east"]
		}
		if sum > 1.0001 {
			t.Fatalf("the shares add up to %.3f", sum)
		}
	}
	if has := f.nodes[0].View(f.now).OverflowShares["east"] + f.nodes[1].View(f.now).OverflowShares["east"]; has < 0.7 {
		t.Errorf("the two nodes with demand have %.2f", has)
	}
	if has := f.nodes[0].View(f.now).OverflowShares["west"]; has < 0.16 || has > 0.17 {
		t.Errorf("a node has %.2f of a budget without demand, want the sixth that it owns", has)
	}
	if f.nodes[0].isBudget("cross/north") || !f.nodes[0].isBudget("cross/west") {
		t.Error("a site that can't take lost sites' load has a budget, or one that can has none")
	}
}

// A node's request rate stays right when its clock is set back.
func TestCountsWhenTheClockIsSetBack(t *testing.T) {
	f := newFleet(t, 1)
	r := f.nodes[0]
	for i := range 300 {
		f.now += 100 * time.Millisecond
		if i == 60 {
			f.now -= 10 * time.Second
		}
		r.CountRequest(f.now, "a")
		r.Step(f.now)
		if rate := r.localCounts[quotaPrefix+"a"].Rate(); i > 10 && (rate < 9 || rate > 11) {
			t.Fatalf("request %d, one per 100 ms: rate %.1f, want 10", i, rate)
		}
	}
}

func TestUnknownAndStaleInputIsIgnored(t *testing.T) {
	f := newFleet(t, 3)
	if _, err := f.nodes[0].Receive(f.now, []byte("GET / HTTP/1.1")); err == nil {
		t.Error("a malformed frame is accepted")
	}
	if err := f.nodes[0].MemberJoined(f.now, "x", []byte{1, 2, 3}); err == nil {
		t.Error("a member with a malformed Meta is accepted")
	}
	// A request for a loan of an unknown budget, and entries of an earlier incarnation, get no reply.
	request := packet.Entry{Kind: packet.LoanRequest, Node: escrow.Node{Number: 1, Incarnation: 2}, Key: "quota/none", Nonce: 1, Grains: 5}
	old := packet.Entry{Kind: packet.LoanRequest, Node: escrow.Node{Number: 1, Incarnation: 1}, Key: "quota/a", Nonce: 1, Grains: 5}
	window := packet.Entry{Kind: packet.Window, Node: escrow.Node{Number: 1, Incarnation: 1}, Key: "quota/a", Window: counts.Window{Incarnation: 1, Epoch: 3}}
	if out, err := f.nodes[0].Receive(f.now, packet.Frame(request, old, window)); err != nil || len(out) > 0 {
		t.Errorf("%d replies, %v", len(out), err)
	}
	if r := f.nodes[0].Report(f.now); r.Stats.Stale != 2 || r.Stats.Bad != 2 || len(r.Members) != 2 {
		t.Errorf("%+v", r.Stats)
	}
	f.nodes[0].MemberDown(f.now, f.nodes[1].Meta(), roster.Dead)
	if r := f.nodes[0].Report(f.now); r.Count.Lower != 2 || r.Count.Upper != 3 || r.Members[0].State != "dead" {
		t.Errorf("%+v %+v", r.Count, r.Members)
	}
}

// The bytes that a node sends stay within its limit when the fleet grows.
func TestBytesSentStayWithinLimit(t *testing.T) {
	for _, n := range []int{3, 30} {
		f := newFleet(t, n)
		load := func(i int, r *Replica) {
			for _, b := range backends() {
				if f.rng.IntN(20) == 0 {
					r.RecordOutcome(f.now, b.Key, false)
				}
			}
			r.CountRequest(f.now, "a")
		}
		f.run(5*time.Second, load) // the burst at the start
		f.bytes = 0
		f.run(5*time.Second, load)
		each := float64(f.bytes) / 5 / float64(n)
		t.Logf("%d nodes: %.0f bytes/s per node", n, each)
		if each > 64<<10 {
			t.Errorf("%d nodes: %.0f bytes/s per node, and its limit is %d", n, each, 64<<10)
		}
	}
}

// The time from the last vote that a quorum needs until a backend is ejected on the other nodes, in virtual time.
func TestEjectionDelayAcrossFleet(t *testing.T) {
	sizes, rounds := []int{12}, 3
	if *long {
		sizes, rounds = []int{12, 60}, 12
	}
	for _, n := range sizes {
		for _, loss := range []float64{0, 0.1, 0.3} {
			f := newFleet(t, n)
			f.loss = loss
			f.run(3*time.Second, nil)
			key := Key("3", 0)
			var delays []float64
			for round := range rounds {
				from := f.now
				at := make([]time.Duration, n)
				first, second := f.rng.IntN(n/2), n/2+f.rng.IntN(n/2)
				f.run(4*time.Second, func(i int, r *Replica) {
					if f.now == from && (i == first || i == second) {
						for range 4 {
							r.RecordOutcome(f.now, key, true)
						}
					}
					if at[i] == 0 && len(r.View(f.now).Ejected) > 0 {
						at[i] = f.now - from
					}
				})
				for i := range at {
					if at[i] == 0 {
						t.Errorf("%d nodes, %.0f%% lost, round %d: not ejected on node %d within 4 s", n, 100*loss, round, i)
					}
					delays = append(delays, at[i].Seconds())
				}
				f.run(20*time.Second, nil) // until the ejection has ended
			}
			slices.Sort(delays)
			t.Logf("%d nodes, %.0f%% lost: p50 %.2f s, p99 %.2f s", n, 100*loss, delays[len(delays)/2], delays[len(delays)*99/100])
		}
	}
}

func BenchmarkReceive(b *testing.B) {
	f := newFleet(b, 30)
	f.run(2*time.Second, func(i int, r *Replica) { r.RecordOutcome(f.now, backends()[i%8].Key, false) })
	var frames [][]byte
	for i := range uint64(1000) {
		frames = append(frames, packet.Frame(packet.Entry{Kind: packet.Observation, Node: escrow.Node{Number: 1 + int(i%29), Incarnation: 2}, Backend: Key("3", 0),
			Observation: judgement.Observation{Seq: 1000 + i, Attempts: 3, Failures: 1}}))
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
				r.CountRequest(f.now, "a")
				r.RecordOutcome(f.now, backends()[i%8].Key, false)
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
