// Package plan turns a scenario and a seed into what is to happen: the boxes, every step of the time table down to the
// single box, and every client's need. It has no clock and does nothing itself. The same scenario and seed give the
// same plan, to the byte of Write.
package plan

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"craneglade/internal/kit/boxmodel"
	"craneglade/internal/kit/scenario"
)

// Backend is one box process. Its id stays with it when it restarts; its successor has another.
type Backend struct {
	ID    string
	Site  string
	Kind  string
	Cell  int
	Seed  uint64
	Speed float64
	Spec  boxmodel.Spec
	After string // the id of the box whose address it takes over, where it does
}

// The steps of a time table.
const (
	Start            = "start"    // Box starts, cold
	Drain            = "drain"    // Box is taken off the list and, after By seconds, only finishes what it has
	Exit             = "exit"     // its process ends
	Crash            = "crash"    // its process dies
	Restart          = "restart"  // and starts again under its id, cold
	Slow             = "slow"     // it is slower by By; 1 is normal
	Isolate          = "silence"  // it is cut off
	Reconnect        = "return"   // it is back
	ResetRequests    = "reset"    // part By of all requests are reset; 0 ends it
	DropRequests     = "lose"     // Box loses part By of its requests: read, and neither run nor answered; 0 ends it
	FailClass        = "fail"     // Box answers requests of the class Text with an error; By 0 ends it
	CorruptResponses = "spoil"    // part By of all answers are spoilt; 0 ends it
	Kill             = "kill"     // Node is killed
	Term             = "term"     // Node gets SIGTERM
	Revive           = "revive"   // Node starts again
	Reload           = "reload"   // Node gets another discovery and SIGHUP
	Stall            = "stall"    // a node's process is stopped,
	Resume           = "resume"   // and goes on
	IsolateNode      = "cut-node" // a node is cut off from others, Text: which way; By: which cut
	MessageFault     = "words"    // a trouble of what nodes say, Text: which, By: how much; By 0 ends it
	HealNodes        = "mend"     // a cut is over; By: which
	CutLink          = "dark"     // what goes from one site to another is lost, Text: "from>to"; By 0 ends it
	PauseList        = "hush"     // the list says nothing, Text: to nodes of which site; "" to any
	ResumeList       = "speak"    // the list speaks again
	DelayList        = "lag"      // the list is By seconds later than usual
	BadClient        = "bad"      // one bad client of kind Text comes to Node
	Announce         = "announce" // an event of the scenario begins: Text
)

// Step is one thing that happens.
type Step struct {
	At   time.Duration
	Do   string
	Box  string
	Node int // from 1
	By   float64
	Text string
}

// Operation is what one client wants: a request that it sends, and sends again as the scenario lets it.
type Operation struct {
	N         int
	At        time.Duration
	Class     int // index into the scenario's classes
	Tenant    int
	Site      int
	Work      time.Duration
	Over      bool // past its tenant's share
	Honours   bool // waits as Retry-After says
	Once      bool // asks on a connection of its own, and keeps that
	Impatient time.Duration
	Seed      uint64
}

// Plan is what is to happen.
type Plan struct {
	Scenario     *scenario.Scenario
	Seed         uint64
	Backends     []Backend // all that ever start; the first Initial are there from the beginning, warm
	Initial      int
	Steps        []Step // in the order of their times
	rateFactors  []ratePeriod
	greedyRates  []ratePeriod // requests a second that the first tenant adds
	peakRate     float64
	burstFactors []float64
}

type ratePeriod struct {
	from, to time.Duration
	value    func(t time.Duration) float64
}

// New makes the plan.
func New(s *scenario.Scenario, seed uint64) *Plan {
	p := &Plan{Scenario: s, Seed: seed}
	rng := rand.New(rand.NewPCG(seed, 1))
	for _, f := range s.Fleet {
		for range f.Count {
			p.addBackend(rng, f.Kind, s.Sites[len(p.Backends)%len(s.Sites)].Name)
		}
	}
	// Kinds and sites must not go hand in hand: deal the sites out anew.
	order := rng.Perm(len(p.Backends))
	for i, k := range order {
		p.Backends[k].Site = s.Sites[i%len(s.Sites)].Name
		p.Backends[k].Cell = i % len(s.Sites)
	}
	p.Initial = len(p.Backends)
	p.buildSteps(rng)
	slices.SortStableFunc(p.Steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	if s.Traffic.Shape == "bursty" {
		cells := int(s.Length.D()/(s.Traffic.Period.D()/4)) + 2
		for range cells {
			p.burstFactors = append(p.burstFactors, 1+s.Traffic.Swing*(2*rng.Float64()-1)*1.5)
		}
	}
	for t := time.Duration(0); t <= s.Length.D(); t += 50 * time.Millisecond {
		p.peakRate = max(p.peakRate, p.Rate(t))
	}
	p.peakRate *= 1.05
	return p
}

// addBackend makes a box of a kind.
func (p *Plan) addBackend(rng *rand.Rand, kind, site string) *Backend {
	s := p.Scenario
	k := s.Kind(kind)
	speed := k.Speed * math.Exp(rng.NormFloat64()*k.Spread)
	noise := 0.0
	for _, c := range s.Classes {
		noise = max(noise, c.Noise)
	}
	cell := slices.IndexFunc(s.Sites, func(x scenario.Site) bool { return x.Name == site })
	p.Backends = append(p.Backends, Backend{ID: fmt.Sprintf("s-%08x", rng.Uint32()), Site: site, Kind: kind, Cell: cell, Seed: rng.Uint64(),
		Speed: speed, Spec: boxmodel.Spec{Cores: k.Cores, Speed: speed, Slots: k.Slots, Queue: k.Queue, Thrash: k.Thrash,
			ThrashAt: k.ThrashAt, ColdFrom: k.ColdFrom, Cold: k.Cold.D(), WarmByWork: k.WarmBy == "requests",
			PauseEvery: k.PauseEvery.D(), Pause: k.Pause.D(), ErrorRate: k.Errors, Noise: noise,
			CancelQueued: k.Cancel != "none", CancelRuns: k.Cancel == "all", DropsExpired: k.DropsLate,
			Choke: boxmodel.Choke{At: s.Choke.At, Over: s.Choke.Over.D(), Slower: s.Choke.Slower, Below: s.Choke.Below,
				Rest: s.Choke.Rest.D(), Most: s.Choke.Most.D()},
			Fall: boxmodel.Fall{Factor: s.Rules.FallFactor, For: s.Rules.FallFor.D()}}})
	return &p.Backends[len(p.Backends)-1]
}

// lifetime is when a box is in service, for the choice of boxes that events touch.
type lifetime struct{ from, to time.Duration }

const forever = time.Duration(math.MaxInt64)

// buildSteps turns the scenario's events into steps. Deploys and growth come first, so that what touches single boxes finds
// those that are there.
func (p *Plan) buildSteps(rng *rand.Rand) {
	s := p.Scenario
	lives := map[string]lifetime{}
	for _, b := range p.Backends {
		lives[b.ID] = lifetime{0, forever}
	}
	step := func(st Step) { p.Steps = append(p.Steps, st) }
	// there lists the boxes in service for the whole of a time, in the order of the plan.
	inService := func(from, to time.Duration) []int {
		var out []int
		for i, b := range p.Backends {
			if l := lives[b.ID]; l.from <= from && l.to > to {
				out = append(out, i)
			}
		}
		return out
	}
	choose := func(from, to time.Duration, n int) []int {
		can := inService(from, to)
		if len(can) == 0 { // none lives through all of it: those at its start
			can = inService(from, from)
		}
		rng.Shuffle(len(can), func(a, b int) { can[a], can[b] = can[b], can[a] })
		return can[:min(n, len(can))]
	}
	for _, e := range s.Events {
		at := e.At.D()
		switch e.Do {
		case "deploy":
			step(Step{At: at, Do: Announce, Text: fmt.Sprintf("deploy of %.0f%% over %v", 100*e.Part, e.Over)})
			old := inService(at, at)
			rng.Shuffle(len(old), func(a, b int) { old[a], old[b] = old[b], old[a] })
			old = old[:min(len(old), int(math.Round(e.Part*float64(len(old)))))]
			batch := max(1, int(math.Round(e.Batch*float64(s.Boxes()))))
			rounds := (len(old) + batch - 1) / batch
			gap := time.Duration(0)
			if rounds > 1 {
				gap = e.Over.D() / time.Duration(rounds-1)
			}
			for i, k := range old {
				t := at + time.Duration(i/batch)*gap
				id, kind, site := p.Backends[k].ID, p.Backends[k].Kind, p.Backends[k].Site
				n := p.addBackend(rng, kind, site)
				exit := t + e.Drain.D()
				begin := t
				if e.Reuse && i%2 == 0 { // the successor needs the address
					n.After, begin = id, exit+20*time.Millisecond
				}
				lives[id] = lifetime{lives[id].from, t}
				lives[n.ID] = lifetime{begin, forever}
				step(Step{At: t, Do: Drain, Box: id, By: e.Serves.S()})
				step(Step{At: exit, Do: Exit, Box: id})
				step(Step{At: begin, Do: Start, Box: n.ID})
			}
		case "grow":
			step(Step{At: at, Do: Announce, Text: fmt.Sprintf("the fleet grows %.1f times over %v", e.By, e.Over)})
			now := inService(at, at)
			more := int(math.Round((e.By - 1) * float64(len(now))))
			for i := range more {
				like := p.Backends[now[i%len(now)]]
				n := p.addBackend(rng, like.Kind, s.Sites[i%len(s.Sites)].Name)
				t := at + time.Duration(float64(e.Over.D())*float64(i+1)/float64(more))
				lives[n.ID] = lifetime{t, forever}
				step(Step{At: t, Do: Start, Box: n.ID})
			}
			grown := (e.By - 1) * e.Follow
			p.rateFactors = append(p.rateFactors, ratePeriod{at, forever, func(t time.Duration) float64 {
				return 1 + grown*min(1, (t-at).Seconds()/e.Over.S())
			}})
		}
	}
	chooseNodes := func(p float64) []int { // so many nodes, from 1
		nodes := rng.Perm(s.Nodes.Count)[:max(1, int(math.Round(p*float64(s.Nodes.Count))))]
		slices.Sort(nodes)
		for i := range nodes {
			nodes[i]++
		}
		return nodes
	}
	cuts := 0.0
	lost := map[string][]lifetime{} // by site, when it is lost
	for _, e := range s.Events {
		at, end := e.At.D(), e.At.D()+e.For.D()
		announce := func(format string, args ...any) {
			step(Step{At: at, Do: Announce, Text: fmt.Sprintf(format, args...)})
		}
		switch e.Do {
		case "slow":
			announce("%d boxes %.1f times slower for %v", e.Boxes, e.By, e.For)
			for _, i := range choose(at, end, e.Boxes) {
				step(Step{At: at, Do: Slow, Box: p.Backends[i].ID, By: e.By})
				step(Step{At: end, Do: Slow, Box: p.Backends[i].ID, By: 1})
			}
		case "vanish":
			announce("%d boxes cut off for %v", e.Boxes, e.For)
			for _, i := range choose(at, end, e.Boxes) {
				step(Step{At: at, Do: Isolate, Box: p.Backends[i].ID})
				step(Step{At: end, Do: Reconnect, Box: p.Backends[i].ID})
			}
		case "crash":
			announce("%d boxes crash", e.Boxes)
			for _, i := range choose(at, at+e.Down.D(), e.Boxes) {
				step(Step{At: at, Do: Crash, Box: p.Backends[i].ID})
				step(Step{At: at + e.Down.D(), Do: Restart, Box: p.Backends[i].ID})
			}
		case "lose":
			n := cmp.Or(e.Boxes, len(p.Backends))
			announce("boxes lose %.0f%% of their requests for %v", 100*e.Part, e.For)
			for _, i := range choose(at, end, n) {
				step(Step{At: at, Do: DropRequests, Box: p.Backends[i].ID, By: e.Part})
				step(Step{At: end, Do: DropRequests, Box: p.Backends[i].ID})
			}
		case "fail-class":
			announce("%d boxes fail %s for %v", e.Boxes, e.Class, e.For)
			for _, i := range choose(at, end, e.Boxes) {
				step(Step{At: at, Do: FailClass, Box: p.Backends[i].ID, Text: e.Class, By: 1})
				step(Step{At: end, Do: FailClass, Box: p.Backends[i].ID, Text: e.Class})
			}
		case "reset", "spoil":
			do := map[string]string{"reset": ResetRequests, "spoil": CorruptResponses}[e.Do]
			announce("boxes %s %.0f%% for %v", e.Do, 100*e.Part, e.For)
			step(Step{At: at, Do: do, By: e.Part})
			step(Step{At: end, Do: do})
		case "kill", "term", "stall":
			do := map[string]string{"kill": Kill, "term": Term, "stall": Stall}[e.Do]
			nodes := []int{e.Node}
			if e.Part > 0 {
				nodes = chooseNodes(e.Part)
				announce("%s %d nodes", e.Do, len(nodes))
			} else {
				announce("%s node %d", e.Do, e.Node)
			}
			for _, n := range nodes {
				step(Step{At: at, Do: do, Node: n})
				if do == Stall {
					step(Step{At: end, Do: Resume, Node: n})
				} else {
					step(Step{At: at + e.Down.D(), Do: Revive, Node: n})
				}
			}
		case "cut-nodes":
			var nodes []int
			if e.Site == "" {
				nodes = chooseNodes(e.Part)
			}
			for n := range s.Nodes.Count {
				if e.Site != "" && s.Sites[n%len(s.Sites)].Name == e.Site {
					nodes = append(nodes, n+1)
				}
			}
			announce("%d nodes are cut off from the others, %s, for %v", len(nodes), e.Way, e.For)
			cuts++
			for _, n := range nodes {
				step(Step{At: at, Do: IsolateNode, Node: n, Text: e.Way, By: cuts})
			}
			step(Step{At: end, Do: HealNodes, By: cuts})
		case "drop-words", "double-words", "spoil-words", "late-words":
			announce("%s, %v, for %v", e.Do, cmp.Or(e.Part, e.By), e.For)
			step(Step{At: at, Do: MessageFault, Text: e.Do, By: cmp.Or(e.Part, e.By)})
			step(Step{At: end, Do: MessageFault, Text: e.Do})
		case "lose-site":
			announce("site %s is lost for %v", e.Site, e.For)
			lost[e.Site] = append(lost[e.Site], lifetime{at, end})
			for _, i := range inService(at, at) {
				if id := p.Backends[i].ID; p.Backends[i].Site == e.Site {
					step(Step{At: at, Do: Isolate, Box: id})
					step(Step{At: at + scenario.LostKnown, Do: Crash, Box: id})
					step(Step{At: end, Do: Restart, Box: id})
				}
			}
			for _, b := range p.Backends { // what starts there meanwhile is not heard of either
				if from := lives[b.ID].from; b.Site == e.Site && from > at && from < end {
					step(Step{At: from, Do: Isolate, Box: b.ID})
					step(Step{At: end, Do: Reconnect, Box: b.ID})
				}
			}
		case "reload":
			announce("another discovery and SIGHUP")
			for n := 1; n <= s.Nodes.Count; n++ {
				if e.Node == 0 || e.Node == n {
					step(Step{At: at, Do: Reload, Node: n})
				}
			}
		case "list-outage":
			announce("the list is silent for %v, to %s", e.For, cmp.Or(e.Site, "all"))
			step(Step{At: at, Do: PauseList, Text: e.Site})
			step(Step{At: end, Do: ResumeList, Text: e.Site})
		case "cut-links":
			announce("links of %s to %s are cut, %s, for %v", cmp.Or(e.Site, "each site"), cmp.Or(e.To, "all others"), e.Way, e.For)
			for _, way := range p.linksToCut(e) {
				step(Step{At: at, Do: CutLink, Text: way, By: 1})
				step(Step{At: end, Do: CutLink, Text: way})
			}
		case "list-stale":
			announce("the list is %.1f s further behind for %v", e.By, e.For)
			step(Step{At: at, Do: DelayList, By: e.By})
			step(Step{At: end, Do: DelayList})
		case "surge":
			announce("traffic times %.1f for %v", e.By, e.For)
			p.rateFactors = append(p.rateFactors, ratePeriod{at, end, func(time.Duration) float64 { return e.By }})
		case "greedy":
			announce("the first tenant asks for %.0f more a second, for %v", e.Rate, e.For)
			p.greedyRates = append(p.greedyRates, ratePeriod{at, end, func(time.Duration) float64 { return e.Rate }})
		case "bad-clients":
			announce("%.0f bad clients a second for %v", e.Rate, e.For)
			kinds := e.Kinds
			if len(kinds) == 0 {
				kinds = scenario.BadKinds
			}
			for t := at; ; {
				t += time.Duration(rng.ExpFloat64() / e.Rate * 1e9)
				if t >= end {
					break
				}
				step(Step{At: t, Do: BadClient, Node: 1 + rng.IntN(s.Nodes.Count), Text: kinds[rng.IntN(len(kinds))]})
			}
		}
	}
	site := map[string]string{}
	for _, b := range p.Backends {
		site[b.ID] = b.Site
	}
	p.Steps = slices.DeleteFunc(p.Steps, func(st Step) bool { // what crashed there starts again with its site
		return st.Do == Restart && slices.ContainsFunc(lost[site[st.Box]], func(l lifetime) bool { return st.At >= l.from && st.At < l.to })
	})
}

// linksToCut lists the ways between sites that an event cuts, each as "from>to".
func (p *Plan) linksToCut(e scenario.Event) (ways []string) {
	for _, a := range p.Scenario.Sites {
		for _, b := range p.Scenario.Sites {
			out := (e.Site == "" || a.Name == e.Site) && (e.To == "" || b.Name == e.To)
			in := (e.Site == "" || b.Name == e.Site) && (e.To == "" || a.Name == e.To)
			if a.Name != b.Name && (out && e.Way != "in" || in && e.Way != "out") {
				ways = append(ways, a.Name+">"+b.Name)
			}
		}
	}
	return ways
}

// Rate is the number of first tries planned for a second about t.
func (p *Plan) Rate(t time.Duration) float64 {
	tr := p.Scenario.Traffic
	r := tr.Rate
	switch tr.Shape {
	case "ramp":
		r *= 1 + (tr.Peak-1)*min(1, t.Seconds()/p.Scenario.Length.S())
	case "wave":
		r *= 1 + tr.Swing*math.Sin(2*math.Pi*t.Seconds()/tr.Period.S())
	case "bursty":
		r *= max(0.05, p.burstFactors[min(int(t/(tr.Period.D()/4)), len(p.burstFactors)-1)])
	}
	for _, l := range p.rateFactors {
		if t >= l.from && t < l.to {
			r *= l.value(t)
		}
	}
	return r + p.GreedyRate(t)
}

// GreedyRate is the part of Rate that the first tenant adds.
func (p *Plan) GreedyRate(t time.Duration) float64 {
	r := 0.0
	for _, l := range p.greedyRates {
		if t >= l.from && t < l.to {
			r += l.value(t)
		}
	}
	return r
}

// Operations is the stream of needs, in the order of their times. It holds no more than one at a time.
type Operations struct {
	p             *Plan
	rng           *rand.Rand
	now           time.Duration
	count         int
	classWeights  []float64
	tenantWeights []float64
	siteWeights   []float64
	credits       []float64 // of each tenant, in requests; a second's worth at most
	creditedAt    time.Duration
}

// Operations returns the stream from its start. Each call gives the same.
func (p *Plan) Operations() *Operations {
	s := p.Scenario
	n := &Operations{p: p, rng: rand.New(rand.NewPCG(p.Seed, 2))}
	for _, c := range s.Classes {
		n.classWeights = append(n.classWeights, c.Share)
	}
	for _, t := range s.Tenants {
		n.tenantWeights = append(n.tenantWeights, t.Share*t.Usage)
		n.credits = append(n.credits, p.Quota(len(n.credits)))
	}
	for _, x := range s.Sites {
		n.siteWeights = append(n.siteWeights, x.Share)
	}
	return n
}

// Quota is a tenant's share in requests a second.
func (p *Plan) Quota(tenant int) float64 {
	s := p.Scenario
	sum := 0.0
	for _, t := range s.Tenants {
		sum += t.Share
	}
	return s.Traffic.Rate * s.Traffic.QuotaShare * s.Tenants[tenant].Share / sum
}

// Next returns the next need; false after the last.
func (n *Operations) Next() (Operation, bool) {
	s := n.p.Scenario
	for {
		n.now += time.Duration(n.rng.ExpFloat64() / n.p.peakRate * 1e9)
		if n.now >= s.Length.D() {
			return Operation{}, false
		}
		if n.rng.Float64()*n.p.peakRate < n.p.Rate(n.now) {
			break
		}
	}
	class := pickWeighted(n.rng, n.classWeights)
	c := s.Classes[class]
	work := c.Work.S()
	if c.Spread > 0 {
		s2 := math.Log(1 + c.Spread*c.Spread)
		work *= math.Exp(n.rng.NormFloat64()*math.Sqrt(s2) - s2/2)
	}
	d := Operation{N: n.count, At: n.now, Class: class, Tenant: pickWeighted(n.rng, n.tenantWeights), Site: pickWeighted(n.rng, n.siteWeights),
		Work: time.Duration(work * 1e9).Round(time.Microsecond), Honours: n.rng.Float64() < s.Clients.Honour, Seed: n.rng.Uint64()}
	if n.rng.Float64() < s.Clients.Impatient {
		d.Impatient = time.Duration(n.rng.Float64() * 0.3 * float64(c.Deadline.D()))
	}
	for i := range n.credits {
		q := n.p.Quota(i)
		n.credits[i] = min(q, n.credits[i]+q*(n.now-n.creditedAt).Seconds())
	}
	n.creditedAt = n.now
	if g := n.p.GreedyRate(n.now); g > 0 && n.rng.Float64()*n.p.Rate(n.now) < g {
		d.Tenant = 0
	}
	d.Once = n.rng.Float64() < s.Clients.Once
	if n.credits[d.Tenant] >= 1 {
		n.credits[d.Tenant]--
	} else {
		d.Over = true
	}
	n.count++
	return d, true
}

// Ends of one try, as its client sees them.
const (
	Served      = "served"
	Refused     = "refused"     // 429 or 503
	Failed      = "failed"      // any other answer, or none
	Unreachable = "unreachable" // no connection to a node
	Abandoned   = "left"        // its client lost patience
)

// TryTimeout is how long a client waits for the answer to a try that it begins now; 0 where it begins none any more.
// now is on the clock that Need.At is on.
func (p *Plan) TryTimeout(n *Operation, now time.Duration) time.Duration {
	deadline := p.Scenario.Classes[n.Class].Deadline.D()
	wait := min(time.Duration(float64(deadline)*p.Scenario.Clients.TryShare), n.At+deadline-now)
	if wait < 5*time.Millisecond {
		return 0
	}
	return wait
}

// Retry tells whether a client tries again after its try number try, from 0, ended so, and after which pause.
// retryAfter is what a refusal asked for; 0 for nothing.
func (p *Plan) Retry(n *Operation, try int, how string, retryAfter time.Duration) (pause time.Duration, again bool) {
	c := &p.Scenario.Clients
	if how == Served || how == Abandoned || try >= c.Retries ||
		how == Failed && p.Scenario.Classes[n.Class].Effect != "safe" {
		return 0, false
	}
	switch c.Backoff {
	case "fixed":
		pause = c.Wait.D()
	case "exponential":
		pause = c.Wait.D() << try
	}
	if n.Honours && retryAfter > 0 {
		pause = min(retryAfter, c.MaxWait.D())
	}
	return pause, true
}

func pickWeighted(rng *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	x := rng.Float64() * sum
	for i, w := range weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// Write writes all of the plan as text.
func (p *Plan) Write(w io.Writer) error {
	for i, b := range p.Backends {
		if _, err := fmt.Fprintf(w, "box %d %+v\n", i, b); err != nil {
			return err
		}
	}
	for _, s := range p.Steps {
		if _, err := fmt.Fprintf(w, "step %+v\n", s); err != nil {
			return err
		}
	}
	for n := p.Operations(); ; {
		d, ok := n.Next()
		if !ok {
			return nil
		}
		if _, err := fmt.Fprintf(w, "need %+v\n", d); err != nil {
			return err
		}
	}
}
