// Package plan derives a rehearsal from a scenario and a seed: the backends, the schedule of every event down to the
// single backend, and every client's operation. It has no clock and carries nothing out. The same scenario and seed give
// the same plan, and the same bytes from Write.
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

// Backend is one backend process. It keeps its id when it restarts; the backend that replaces it in a deploy has
// another. Write prints the field names.
type Backend struct {
	ID    string
	Site  string
	Kind  string
	Cell  int
	Seed  uint64
	Speed float64
	Spec  boxmodel.Spec
	After string // id of the backend whose address it takes over; "" for none
}

// The values of Step.Do. Write prints them and rehearsals report errors with them.
const (
	Start            = "start"    // Box starts, cold
	Drain            = "drain"    // Box is marked as draining in the list and rejects new requests after By seconds
	Exit             = "exit"     // the process of Box ends
	Crash            = "crash"    // the process of Box crashes
	Restart          = "restart"  // Box starts again under its id, cold
	Slow             = "slow"     // Box is slower by the factor By; 1 is normal
	Isolate          = "silence"  // Box is cut off from all nodes
	Reconnect        = "return"   // Box is reachable again
	ResetRequests    = "reset"    // the fraction By of all requests is reset; 0 ends it
	DropRequests     = "lose"     // Box reads the fraction By of its requests without running or answering them; 0 ends it
	FailClass        = "fail"     // Box answers requests of the class Text with an error; By 0 ends it
	CorruptResponses = "spoil"    // the fraction By of all responses is corrupted; 0 ends it
	Kill             = "kill"     // Node gets SIGKILL
	Term             = "term"     // Node gets SIGTERM
	Revive           = "revive"   // Node starts again
	Reload           = "reload"   // Node gets another discovery address and SIGHUP
	Stall            = "stall"    // the process of Node is suspended
	Resume           = "resume"   // the process of Node continues
	IsolateNode      = "cut-node" // Node is cut off from the other nodes; Text: in which direction, By: number of the cut
	MessageFault     = "words"    // messages between nodes are faulty; Text: the fault, By: how much, 0 ends it
	HealNodes        = "mend"     // a cut between nodes ends; By: number of the cut
	CutLink          = "dark"     // traffic from one site to another is lost; Text: "from>to", By: 0 ends it
	PauseList        = "hush"     // the list does not answer the nodes of site Text; "" for all nodes
	ResumeList       = "speak"    // the list answers again
	DelayList        = "lag"      // the list is By seconds later than normal
	BadClient        = "bad"      // a bad client of kind Text connects to Node
	Announce         = "announce" // an event of the scenario starts; Text describes it
)

// Step is one scheduled event. Write prints the field names.
type Step struct {
	At   time.Duration
	Do   string
	Box  string
	Node int // from 1
	By   float64
	Text string
}

// Operation is one request of a client with all its tries. Write prints the field names.
type Operation struct {
	N         int
	At        time.Duration
	Class     int // index into the scenario's classes
	Tenant    int
	Site      int
	Work      time.Duration
	Over      bool          // over its tenant's quota
	Honours   bool          // honours Retry-After
	Once      bool          // uses a new connection, which then stays open unused
	Impatient time.Duration // disconnects after this during its first try; 0: never
	Seed      uint64
}

// Plan is everything that happens in a rehearsal.
type Plan struct {
	Scenario     *scenario.Scenario
	Seed         uint64
	Backends     []Backend // all that ever start; the first Initial run from the beginning, warm
	Initial      int
	Steps        []Step // in the order of their times
	rateFactors  []ratePeriod
	greedyRates  []ratePeriod // requests per second that the first tenant adds
	peakRate     float64
	burstFactors []float64
}

type ratePeriod struct {
	from, to time.Duration
	value    func(t time.Duration) float64
}

// New derives the plan of a scenario and a seed.
func New(s *scenario.Scenario, seed uint64) *Plan {
	p := &Plan{Scenario: s, Seed: seed}
	rng := rand.New(rand.NewPCG(seed, 1))
	for _, f := range s.Fleet {
		for range f.Count {
			p.addBackend(rng, f.Kind, s.Sites[len(p.Backends)%len(s.Sites)].Name)
		}
	}
	// The kind of a backend must not be tied to its site: reassign the sites at random.
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

// addBackend adds a backend of a kind to the plan.
func (p *Plan) addBackend(rng *rand.Rand, kind, site string) *Backend {
	s := p.Scenario
	k := s.MachineKind(kind)
	speed := k.Speed * math.Exp(rng.NormFloat64()*k.Spread)
	noise := 0.0
	for _, c := range s.Classes {
		noise = max(noise, c.AttemptNoise)
	}
	cell := slices.IndexFunc(s.Sites, func(x scenario.Site) bool { return x.Name == site })
	p.Backends = append(p.Backends, Backend{ID: fmt.Sprintf("s-%08x", rng.Uint32()), Site: site, Kind: kind, Cell: cell, Seed: rng.Uint64(),
		Speed: speed, Spec: boxmodel.Spec{Cores: k.Cores, Speed: speed, Slots: k.Slots, Queue: k.Queue, Thrash: k.Thrash,
			ThrashAt: k.ThrashAt, ColdFrom: k.ColdFraction, Cold: k.WarmUp.D(), WarmByWork: k.WarmBy == "requests",
			PauseEvery: k.PauseEvery.D(), Pause: k.Pause.D(), ErrorRate: k.ErrorFraction, Noise: noise,
			CancelQueued: k.Cancel != "none", CancelRuns: k.Cancel == "all", DropsExpired: k.DropsExpired,
			Choke: boxmodel.Choke{At: s.Congestion.At, Over: s.Congestion.Window.D(), Slower: s.Congestion.SlowFactor, Below: s.Congestion.Below,
				Rest: s.Congestion.RecoveryWindow.D(), Most: s.Congestion.MaxDuration.D()},
			Fall: boxmodel.Fall{Factor: s.Rules.OverloadFactor, For: s.Rules.OverloadDuration.D()}}})
	return &p.Backends[len(p.Backends)-1]
}

// lifetime is the time in which a backend is in service and events may choose it.
type lifetime struct{ from, to time.Duration }

const forever = time.Duration(math.MaxInt64)

// buildSteps turns the scenario's events into steps. Deploys and growth come first, so that events that choose single
// backends know which are in service.
func (p *Plan) buildSteps(rng *rand.Rand) {
	s := p.Scenario
	lives := map[string]lifetime{}
	for _, b := range p.Backends {
		lives[b.ID] = lifetime{0, forever}
	}
	step := func(st Step) { p.Steps = append(p.Steps, st) }
	// inService lists the backends that are in service from a time to another, in the order of the plan.
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
		candidates := inService(from, to)
		if len(candidates) == 0 { // none is in service for all of it: those at its start
			candidates = inService(from, from)
		}
		rng.Shuffle(len(candidates), func(a, b int) { candidates[a], candidates[b] = candidates[b], candidates[a] })
		return candidates[:min(n, len(candidates))]
	}
	for _, e := range s.Events {
		at := e.At.D()
		switch e.Action {
		case "deploy":
			step(Step{At: at, Do: Announce, Text: fmt.Sprintf("deploy of %.0f%% over %v", 100*e.Fraction, e.Over)})
			old := inService(at, at)
			rng.Shuffle(len(old), func(a, b int) { old[a], old[b] = old[b], old[a] })
			old = old[:min(len(old), int(math.Round(e.Fraction*float64(len(old)))))]
			batch := max(1, int(math.Round(e.Batch*float64(s.Backends()))))
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
				startAt := t
				if e.SameAddress && i%2 == 0 { // the successor waits for the address
					n.After, startAt = id, exit+20*time.Millisecond
				}
				lives[id] = lifetime{lives[id].from, t}
				lives[n.ID] = lifetime{startAt, forever}
				step(Step{At: t, Do: Drain, Box: id, By: e.Serves.S()})
				step(Step{At: exit, Do: Exit, Box: id})
				step(Step{At: startAt, Do: Start, Box: n.ID})
			}
		case "grow":
			step(Step{At: at, Do: Announce, Text: fmt.Sprintf("the fleet grows %.1f times over %v", e.Factor, e.Over)})
			current := inService(at, at)
			more := int(math.Round((e.Factor - 1) * float64(len(current))))
			for i := range more {
				like := p.Backends[current[i%len(current)]]
				n := p.addBackend(rng, like.Kind, s.Sites[i%len(s.Sites)].Name)
				t := at + time.Duration(float64(e.Over.D())*float64(i+1)/float64(more))
				lives[n.ID] = lifetime{t, forever}
				step(Step{At: t, Do: Start, Box: n.ID})
			}
			grown := (e.Factor - 1) * e.TrafficFollows
			p.rateFactors = append(p.rateFactors, ratePeriod{at, forever, func(t time.Duration) float64 {
				return 1 + grown*min(1, (t-at).Seconds()/e.Over.S())
			}})
		}
	}
	chooseNodes := func(p float64) []int { // draws a fraction of the nodes, at least one, numbered from 1
		nodes := rng.Perm(s.Nodes.Count)[:max(1, int(math.Round(p*float64(s.Nodes.Count))))]
		slices.Sort(nodes)
		for i := range nodes {
			nodes[i]++
		}
		return nodes
	}
	cuts := 0.0
	lost := map[string][]lifetime{} // by site, the times in which it is lost
	for _, e := range s.Events {
		at, end := e.At.D(), e.At.D()+e.Lasts.D()
		announce := func(format string, args ...any) {
			step(Step{At: at, Do: Announce, Text: fmt.Sprintf(format, args...)})
		}
		switch e.Action {
		case "slow":
			announce("%d boxes %.1f times slower for %v", e.Backends, e.Factor, e.Lasts)
			for _, i := range choose(at, end, e.Backends) {
				step(Step{At: at, Do: Slow, Box: p.Backends[i].ID, By: e.Factor})
				step(Step{At: end, Do: Slow, Box: p.Backends[i].ID, By: 1})
			}
		case "vanish":
			announce("%d boxes cut off for %v", e.Backends, e.Lasts)
			for _, i := range choose(at, end, e.Backends) {
				step(Step{At: at, Do: Isolate, Box: p.Backends[i].ID})
				step(Step{At: end, Do: Reconnect, Box: p.Backends[i].ID})
			}
		case "crash":
			announce("%d boxes crash", e.Backends)
			for _, i := range choose(at, at+e.Down.D(), e.Backends) {
				step(Step{At: at, Do: Crash, Box: p.Backends[i].ID})
				step(Step{At: at + e.Down.D(), Do: Restart, Box: p.Backends[i].ID})
			}
		case "lose":
			n := cmp.Or(e.Backends, len(p.Backends))
			announce("boxes lose %.0f%% of their requests for %v", 100*e.Fraction, e.Lasts)
			for _, i := range choose(at, end, n) {
				step(Step{At: at, Do: DropRequests, Box: p.Backends[i].ID, By: e.Fraction})
				step(Step{At: end, Do: DropRequests, Box: p.Backends[i].ID})
			}
		case "fail-class":
			announce("%d boxes fail %s for %v", e.Backends, e.Class, e.Lasts)
			for _, i := range choose(at, end, e.Backends) {
				step(Step{At: at, Do: FailClass, Box: p.Backends[i].ID, Text: e.Class, By: 1})
				step(Step{At: end, Do: FailClass, Box: p.Backends[i].ID, Text: e.Class})
			}
		case "reset", "spoil":
			do := map[string]string{"reset": ResetRequests, "spoil": CorruptResponses}[e.Action]
			announce("boxes %s %.0f%% for %v", e.Action, 100*e.Fraction, e.Lasts)
			step(Step{At: at, Do: do, By: e.Fraction})
			step(Step{At: end, Do: do})
		case "kill", "term", "stall":
			do := map[string]string{"kill": Kill, "term": Term, "stall": Stall}[e.Action]
			nodes := []int{e.Node}
			if e.Fraction > 0 {
				nodes = chooseNodes(e.Fraction)
				announce("%s %d nodes", e.Action, len(nodes))
			} else {
				announce("%s node %d", e.Action, e.Node)
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
				nodes = chooseNodes(e.Fraction)
			}
			for n := range s.Nodes.Count {
				if e.Site != "" && s.Sites[n%len(s.Sites)].Name == e.Site {
					nodes = append(nodes, n+1)
				}
			}
			announce("%d nodes are cut off from the others, %s, for %v", len(nodes), e.Direction, e.Lasts)
			cuts++
			for _, n := range nodes {
				step(Step{At: at, Do: IsolateNode, Node: n, Text: e.Direction, By: cuts})
			}
			step(Step{At: end, Do: HealNodes, By: cuts})
		case "drop-words", "double-words", "spoil-words", "late-words":
			announce("%s, %v, for %v", e.Action, cmp.Or(e.Fraction, e.Factor), e.Lasts)
			step(Step{At: at, Do: MessageFault, Text: e.Action, By: cmp.Or(e.Fraction, e.Factor)})
			step(Step{At: end, Do: MessageFault, Text: e.Action})
		case "lose-site":
			announce("site %s is lost for %v", e.Site, e.Lasts)
			lost[e.Site] = append(lost[e.Site], lifetime{at, end})
			for _, i := range inService(at, at) {
				if id := p.Backends[i].ID; p.Backends[i].Site == e.Site {
					step(Step{At: at, Do: Isolate, Box: id})
					step(Step{At: at + scenario.LostSiteListDelay, Do: Crash, Box: id})
					step(Step{At: end, Do: Restart, Box: id})
				}
			}
			for _, b := range p.Backends { // backends that start there meanwhile are isolated too
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
			announce("the list is silent for %v, to %s", e.Lasts, cmp.Or(e.Site, "all"))
			step(Step{At: at, Do: PauseList, Text: e.Site})
			step(Step{At: end, Do: ResumeList, Text: e.Site})
		case "cut-links":
			announce("links of %s to %s are cut, %s, for %v", cmp.Or(e.Site, "each site"), cmp.Or(e.To, "all others"), e.Direction, e.Lasts)
			for _, way := range p.linksToCut(e) {
				step(Step{At: at, Do: CutLink, Text: way, By: 1})
				step(Step{At: end, Do: CutLink, Text: way})
			}
		case "list-stale":
			announce("the list is %.1f s further behind for %v", e.Factor, e.Lasts)
			step(Step{At: at, Do: DelayList, By: e.Factor})
			step(Step{At: end, Do: DelayList})
		case "surge":
			announce("traffic times %.1f for %v", e.Factor, e.Lasts)
			p.rateFactors = append(p.rateFactors, ratePeriod{at, end, func(time.Duration) float64 { return e.Factor }})
		case "greedy":
			announce("the first tenant asks for %.0f more a second, for %v", e.Rate, e.Lasts)
			p.greedyRates = append(p.greedyRates, ratePeriod{at, end, func(time.Duration) float64 { return e.Rate }})
		case "bad-clients":
			announce("%.0f bad clients a second for %v", e.Rate, e.Lasts)
			kinds := e.Kinds
			if len(kinds) == 0 {
				kinds = scenario.InvalidClientKinds
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
	p.Steps = slices.DeleteFunc(p.Steps, func(st Step) bool { // backends that had crashed in a lost site restart with the site
		return st.Do == Restart && slices.ContainsFunc(lost[site[st.Box]], func(l lifetime) bool { return st.At >= l.from && st.At < l.to })
	})
}

// linksToCut lists the directions between sites that an event cuts, each as "from>to".
func (p *Plan) linksToCut(e scenario.Event) (ways []string) {
	for _, a := range p.Scenario.Sites {
		for _, b := range p.Scenario.Sites {
			out := (e.Site == "" || a.Name == e.Site) && (e.To == "" || b.Name == e.To)
			in := (e.Site == "" || b.Name == e.Site) && (e.To == "" || a.Name == e.To)
			if a.Name != b.Name && (out && e.Direction != "in" || in && e.Direction != "out") {
				ways = append(ways, a.Name+">"+b.Name)
			}
		}
	}
	return ways
}

// Rate is the planned rate of new operations at t, per second.
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

// GreedyRate is the share of Rate that "greedy" events add for the first tenant.
func (p *Plan) GreedyRate(t time.Duration) float64 {
	r := 0.0
	for _, l := range p.greedyRates {
		if t >= l.from && t < l.to {
			r += l.value(t)
		}
	}
	return r
}

// Operations generates the operations of a plan one at a time, in the order of their times.
type Operations struct {
	p             *Plan
	rng           *rand.Rand
	now           time.Duration
	count         int
	classWeights  []float64
	tenantWeights []float64
	siteWeights   []float64
	credits       []float64 // by tenant: unused quota in requests, at most that of one second
	creditedAt    time.Duration
}

// Operations returns the stream of operations from its start. Each call gives the same stream.
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

// Quota is a tenant's quota in requests per second.
func (p *Plan) Quota(tenant int) float64 {
	s := p.Scenario
	sum := 0.0
	for _, t := range s.Tenants {
		sum += t.Share
	}
	return s.Traffic.Rate * s.Traffic.QuotaFactor * s.Tenants[tenant].Share / sum
}

// Next returns the next operation; false after the last.
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
		Work: time.Duration(work * 1e9).Round(time.Microsecond), Honours: n.rng.Float64() < s.Clients.HonourRetryAfter, Seed: n.rng.Uint64()}
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
	d.Once = n.rng.Float64() < s.Clients.SingleUse
	if n.credits[d.Tenant] >= 1 {
		n.credits[d.Tenant]--
	} else {
		d.Over = true
	}
	n.count++
	return d, true
}

// How a try ends for its client.
const (
	Served      = "served"
	Refused     = "refused"     // 429 or 503
	Failed      = "failed"      // any other response, or none
	Unreachable = "unreachable" // no connection to a node
	Abandoned   = "left"        // the client disconnected early
)

// TryTimeout is how long a client waits for the response to a try that starts now; 0 if too little time is left for
// another try. now is on the same clock as Operation.At.
func (p *Plan) TryTimeout(n *Operation, now time.Duration) time.Duration {
	deadline := p.Scenario.Classes[n.Class].Deadline.D()
	wait := min(time.Duration(float64(deadline)*p.Scenario.Clients.TryFraction), n.At+deadline-now)
	if wait < 5*time.Millisecond {
		return 0
	}
	return wait
}

// Retry reports whether a client tries again after try number try (from 0) has ended as how, and after which pause.
// retryAfter is the wait that a refusal asked for; 0 for none.
func (p *Plan) Retry(n *Operation, try int, how string, retryAfter time.Duration) (pause time.Duration, again bool) {
	c := &p.Scenario.Clients
	if how == Served || how == Abandoned || try >= c.Retries ||
		how == Failed && p.Scenario.Classes[n.Class].Effect != "safe" {
		return 0, false
	}
	switch c.Backoff {
	case "fixed":
		pause = c.RetryWait.D()
	case "exponential":
		pause = c.RetryWait.D() << try
	}
	if n.Honours && retryAfter > 0 {
		pause = min(retryAfter, c.MaxRetryAfter.D())
	}
	return pause, true
}

// pickWeighted draws an index with a probability proportional to its weight.
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

// Write writes the whole plan as text, for comparison and for people to read.
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
