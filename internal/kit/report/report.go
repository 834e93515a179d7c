// Package report summarizes a trace as figures, text, JSON and an HTML page. It reads the same records as package judge but
// checks no rules itself: violations come from the verdict that it is given.
package report

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"time"

	"craneglade/internal/kit/judge"
	"craneglade/internal/kit/trace"
)

// Weights of the terms of Report.Figure: the whole run, the worst 10 s, the worst-served class and the worst-served tenant
// within its quota.
const (
	weightWhole, weightWindow, weightClass, weightTenant = 0.6, 0.1, 0.2, 0.1
	windowSeconds                                        = 10 // seconds
)

// Report is the summary of a trace. Shares are fractions of 1; times are in milliseconds unless named otherwise.
type Report struct {
	Scenario  string                  `json:"scenario"`
	Seed      uint64                  `json:"seed"`
	Started   string                  `json:"started_at"`
	Begin     int64                   `json:"begin_us"` // when the traffic started, in the trace's time
	Seconds   float64                 `json:"seconds"`
	Whole     Service                 `json:"whole"`
	Figure    float64                 `json:"figure"` // the weighted share of utility, before prices
	Classes   []Service               `json:"classes"`
	Tenants   []Service               `json:"tenants"`
	Windows   []Service               `json:"windows"`
	PerSecond []Second                `json:"per_second"`
	Backends  []Backend               `json:"boxes"`
	Nodes     []Node                  `json:"nodes"`
	Events    []Event                 `json:"events"`
	Bad       []InvalidClientOutcomes `json:"bad_clients,omitempty"`
	Attempts  Attempts                `json:"attempts"`
	Broken    []Group                 `json:"broken"`
	Verdict   *judge.Verdict          `json:"verdict"`
	Kit       any                     `json:"kit,omitempty"` // resources that the kit itself used
}

// Service summarizes how a group of logical requests was served.
type Service struct {
	Name      string  `json:"name"`
	Asked     int     `json:"asked"`
	InTime    int     `json:"in_time"`
	Late      int     `json:"late"`
	Refused   int     `json:"refused"`
	Failed    int     `json:"failed"`
	Unreached int     `json:"unreached"`
	Left      int     `json:"left"`
	Share     float64 `json:"worth_in_time"` // utility of the requests answered within their latency target, as a fraction of the utility requested
	P50       float64 `json:"p50_ms"`
	P90       float64 `json:"p90_ms"`
	P99       float64 `json:"p99_ms"`

	utility, earnedUtility float64
	latencies              []float64
}

// Second summarizes the requests of one second of the run.
type Second struct {
	Asked, InTime, Late, Refused, Failed int
	P50, P95                             float64
	latencies                            []float64
}

// Backend is the history of one backend.
type Backend struct {
	ID       string  `json:"id"`
	Site     string  `json:"site"`
	Kind     string  `json:"kind"`
	Spans    []Span  `json:"spans"`
	Load     []Point `json:"load"`
	Attempts int     `json:"attempts"`
	Served   int     `json:"served"`
	Rejected int     `json:"turned_away"`
	Failed   int     `json:"failed_spoilt_or_reset"`
}

// Span is a time span in one state; times are in seconds since the traffic started.
type Span struct {
	State string  `json:"state"`
	From  float64 `json:"from"`
	To    float64 `json:"to"`
}

// Point is the number of requests at a backend at one time.
type Point struct {
	At       float64 `json:"at"`
	InFlight int     `json:"held"`
}

// Node summarizes one node.
type Node struct {
	Name      string  `json:"name"`
	Site      string  `json:"site"`
	Answers   int     `json:"answers"`
	Attempts  int     `json:"attempts"`
	PeakMB    float64 `json:"peak_memory_mb"`
	PeakFiles int     `json:"peak_descriptors"`
	Crossing  int     `json:"attempts_across_sites"`
	NewConns  int     `json:"new_connections_from_clients"`
	Lives     int     `json:"lives"`
}

// Event is an event of the scenario or a change of a node's process.
type Event struct {
	At   float64 `json:"at"`
	Text string  `json:"text"`
}

// InvalidClientOutcomes counts the outcomes of one kind of invalid client.
type InvalidClientOutcomes struct {
	Kind   string `json:"kind"`
	Error  int    `json:"error"`
	Closed int    `json:"closed"`
	None   int    `json:"neither"`
	Served int    `json:"served"`
	Asked  int    `json:"answered"` // health checks
}

// Group is the violations of one name at one backend, or at one node if they name no backend.
type Group struct {
	First judge.Violation `json:"first"`
	Last  int64           `json:"last_us"`
	Count int             `json:"count"`
}

// groupViolations groups violations, which are in time order.
func groupViolations(all []judge.Violation) []Group {
	type key struct{ name, at string }
	index := map[key]int{}
	var out []Group
	for _, v := range all {
		k := key{v.Name, cmp.Or(v.Box, v.Node)}
		i, ok := index[k]
		if !ok {
			i = len(out)
			index[k] = i
			out = append(out, Group{First: v})
		}
		out[i].Last = v.At
		out[i].Count++
	}
	return out
}

// Attempts counts the attempts at all backends.
type Attempts struct {
	All    int     `json:"all"`
	Per    float64 `json:"for_each_request"`
	Turned int     `json:"turned_away"`
	Reset  int     `json:"reset"`
	Spoilt int     `json:"spoilt"`
	Failed int     `json:"failed"`
}

// Collector builds a Report from the records of a trace.
type Collector struct {
	report         Report
	head           trace.Head
	classes        map[string]*trace.Class
	pending        map[string]trace.Record
	byClass        map[string]*Service
	byTenant       map[string]*Service
	byWindow       map[int]*Service
	perSecond      map[int]*Second
	backends       map[string]*backendHistory
	backendOrder   []string
	nodes          map[string]*Node
	invalidClients map[string]*InvalidClientOutcomes
	trafficStart   int64
	lastRecord     int64
	sends          int
}

type backendHistory struct {
	Backend
	states     map[string]bool
	shownSince float64
	shown      string
}

// New returns a collector for a trace with this head.
func New(h trace.Head) *Collector {
	c := &Collector{head: h, classes: map[string]*trace.Class{}, pending: map[string]trace.Record{}, byClass: map[string]*Service{},
		byTenant: map[string]*Service{}, byWindow: map[int]*Service{}, perSecond: map[int]*Second{}, backends: map[string]*backendHistory{},
		nodes: map[string]*Node{}, invalidClients: map[string]*InvalidClientOutcomes{}, trafficStart: -1}
	c.report = Report{Scenario: h.Scenario, Seed: h.Seed, Started: h.Started, Whole: Service{Name: "all"}}
	for i := range h.Classes {
		c.classes[h.Classes[i].Name] = &h.Classes[i]
	}
	for _, n := range h.Nodes {
		c.nodes[n.Name] = &Node{Name: n.Name, Site: n.Site}
	}
	return c
}

// seconds converts a record's time to seconds since the traffic started.
func (c *Collector) seconds(t int64) float64 { return float64(t-max(c.trafficStart, 0)) / 1e6 }

// Add processes one record.
func (c *Collector) Add(r trace.Record) {
	if r.Kind != trace.Notified { // these may carry a time in the future
		c.lastRecord = max(c.lastRecord, r.T)
	}
	switch r.Kind {
	case trace.Event:
		if r.How == trace.Begin {
			c.trafficStart, c.report.Begin = r.T, r.T
			return
		}
		c.report.Events = append(c.report.Events, Event{c.seconds(r.T), r.Text})
	case trace.Planned:
		c.pending[r.ID] = r
	case trace.Done:
		c.requestDone(r)
	case trace.Sent:
		c.sends++
		if n := c.nodes[r.Node]; n != nil && !r.Reused {
			n.NewConns++
		}
	case trace.Got:
		if n := c.nodes[r.Node]; n != nil {
			n.Answers++
		}
	case trace.Received:
		c.attemptReceived(r)
	case trace.Reply:
		c.backendReplied(r)
	case trace.Backend:
		c.backendChanged(r)
	case trace.Load:
		if b := c.backends[r.Backend]; b != nil && c.seconds(r.T) >= 0 {
			b.Load = append(b.Load, Point{c.seconds(r.T), r.InFlight})
		}
	case trace.Process:
		n := c.nodes[r.Node]
		if n == nil {
			return
		}
		switch r.State {
		case trace.Started:
			n.Lives++
		case trace.Kill, trace.Term, trace.Hup, trace.Crashed, trace.NodeReady:
			if c.trafficStart >= 0 && r.T < c.trafficStart+c.head.Length { // the shutdown of all nodes is not an event
				c.report.Events = append(c.report.Events, Event{c.seconds(r.T), r.Node + " " + r.State})
			}
		}
	case trace.Usage:
		if n := c.nodes[r.Node]; n != nil {
			n.PeakMB, n.PeakFiles = max(n.PeakMB, float64(r.Bytes)/(1<<20)), max(n.PeakFiles, r.Conns)
		}
	case trace.InvalidClient:
		b := c.invalidClients[r.Why]
		if b == nil {
			b = &InvalidClientOutcomes{Kind: r.Why}
			c.invalidClients[r.Why] = b
		}
		switch r.How {
		case "error":
			b.Error++
		case "closed":
			b.Closed++
		case "served":
			b.Served++
		case "answered":
			b.Asked++
		default:
			b.None++
		}
	}
}

func getOrCreate[K comparable, V any](m map[K]*V, k K, create func() *V) *V {
	v := m[k]
	if v == nil {
		v = create()
		m[k] = v
	}
	return v
}

func (c *Collector) requestDone(r trace.Record) {
	w, ok := c.pending[r.ID]
	if !ok {
		return
	}
	delete(c.pending, r.ID)
	class := c.classes[w.Class]
	if class == nil {
		return
	}
	utility := class.Utility
	if w.OverQuota {
		utility *= c.head.OverQuotaUtility
	}
	second := int(c.seconds(w.T))
	sec := getOrCreate(c.perSecond, second, func() *Second { return &Second{} })
	sec.Asked++
	latency := float64(r.Took) / 1e3
	inTime := r.How == "served" && r.Took <= class.LatencyTarget
	switch {
	case inTime:
		sec.InTime++
	case r.How == "served":
		sec.Late++
	case r.How == "refused":
		sec.Refused++
	default:
		sec.Failed++
	}
	if r.How == "served" {
		sec.latencies = append(sec.latencies, latency)
	}
	services := []*Service{&c.report.Whole, getOrCreate(c.byClass, w.Class, func() *Service { return &Service{Name: w.Class} }),
		getOrCreate(c.byWindow, second/windowSeconds, func() *Service { return &Service{Name: fmt.Sprintf("%d s", second/windowSeconds*windowSeconds)} })}
	tenant := getOrCreate(c.byTenant, w.Tenant, func() *Service { return &Service{Name: w.Tenant} })
	for _, s := range append(services, tenant) {
		s.Asked++
		value := utility
		if s == tenant && w.OverQuota { // a tenant is rated only within its quota
			value = 0
		}
		s.utility += value
		switch {
		case inTime:
			s.InTime++
			s.earnedUtility += value
		case r.How == "served":
			s.Late++
		case r.How == "refused":
			s.Refused++
		case r.How == "unreachable":
			s.Unreached++
		case r.How == "left":
			s.Left++
		default:
			s.Failed++
		}
		if r.How == "served" {
			s.latencies = append(s.latencies, latency)
		}
	}
}

func (c *Collector) attemptReceived(r trace.Record) {
	c.report.Attempts.All++
	n := c.nodes[r.Node]
	if n != nil {
		n.Attempts++
	}
	if b := c.backends[r.Backend]; b != nil {
		b.Attempts++
		if n != nil && b.Site != n.Site {
			n.Crossing++
		}
	}
}

func (c *Collector) backendReplied(r trace.Record) {
	a, b := &c.report.Attempts, c.backends[r.Backend]
	if b == nil {
		b = &backendHistory{}
	}
	switch r.How {
	case trace.Served:
		b.Served++
	case trace.Rejected:
		a.Turned++
		b.Rejected++
	case trace.Reset:
		a.Reset++
		b.Failed++
	case trace.Malformed:
		a.Spoilt++
		b.Failed++
	case trace.Failed:
		a.Failed++
		b.Failed++
	}
}

// statePriority lists the states of a backend; the first one that applies is shown.
var statePriority = []string{trace.Removed, trace.Collapsed, trace.Unresponsive, trace.Terminating, trace.Slow, "cold"}

func (c *Collector) backendChanged(r trace.Record) {
	b := c.backends[r.Backend]
	at := max(c.seconds(r.T), 0)
	if c.trafficStart < 0 {
		at = 0
	}
	if b == nil {
		b = &backendHistory{Backend: Backend{ID: r.Backend, Site: r.Site, Kind: r.MachineKind}, states: map[string]bool{}, shown: trace.Removed, shownSince: at}
		c.backends[r.Backend] = b
		c.backendOrder = append(c.backendOrder, r.Backend)
	}
	switch r.State {
	case trace.Ready:
		b.states = map[string]bool{"cold": r.Cores < r.FullCores*0.999}
	case trace.Warm:
		b.states["cold"] = false
	case trace.Normal:
		b.states[trace.Slow] = false
	case trace.Responsive:
		b.states[trace.Unresponsive] = false
	default:
		b.states[r.State] = true
	}
	b.updateShown(at)
}

func (b *backendHistory) updateShown(at float64) {
	state := "normal"
	for _, s := range statePriority {
		if b.states[s] {
			state = s
			break
		}
	}
	if state == b.shown {
		return
	}
	b.closeSpan(at)
	b.shown, b.shownSince = state, at
}

func (b *backendHistory) closeSpan(at float64) {
	if b.shown != trace.Removed && at > b.shownSince {
		b.Spans = append(b.Spans, Span{State: b.shown, From: b.shownSince, To: at})
	}
}

// Finish returns the report. Add must not be called after it.
func (c *Collector) Finish(v *judge.Verdict) *Report {
	rep := &c.report
	rep.Verdict, rep.Broken = v, groupViolations(v.Violations)
	rep.Seconds = float64(c.head.Length) / 1e6
	rep.Whole.finish()
	for _, s := range c.byClass {
		rep.Classes = append(rep.Classes, s.finish())
	}
	for _, s := range c.byTenant {
		rep.Tenants = append(rep.Tenants, s.finish())
	}
	byName := func(a, b Service) int { return cmp.Compare(a.Name, b.Name) }
	slices.SortFunc(rep.Classes, byName)
	slices.SortFunc(rep.Tenants, byName)
	for _, k := range sortedKeys(c.byWindow) {
		rep.Windows = append(rep.Windows, c.byWindow[k].finish())
	}
	worstShare := func(list []Service, minAsked int) float64 {
		w := 1.0
		for _, s := range list {
			if s.utility > 0 && s.Asked >= minAsked {
				w = min(w, s.Share)
			}
		}
		return w
	}
	// Windows with few requests are ignored: the last one may be incomplete.
	minRequests := int(float64(rep.Whole.Asked) * min(1, windowSeconds/max(rep.Seconds, 1)) / 3)
	rep.Figure = weightWhole*rep.Whole.Share + weightWindow*worstShare(rep.Windows, minRequests) + weightClass*worstShare(rep.Classes, 1) + weightTenant*worstShare(rep.Tenants, 1)
	end := 0
	for k := range c.perSecond {
		end = max(end, k+1)
	}
	rep.PerSecond = make([]Second, end)
	for k, s := range c.perSecond {
		if k >= 0 {
			s.P50, s.P95 = quantile(s.latencies, 0.5), quantile(s.latencies, 0.95)
			rep.PerSecond[k] = *s
		}
	}
	stop := c.seconds(c.lastRecord)
	for _, id := range c.backendOrder {
		b := c.backends[id]
		b.closeSpan(stop)
		rep.Backends = append(rep.Backends, b.Backend)
	}
	slices.SortStableFunc(rep.Backends, func(a, b Backend) int {
		return cmp.Or(cmp.Compare(firstSeen(a), firstSeen(b)), cmp.Compare(a.Site, b.Site), cmp.Compare(a.ID, b.ID))
	})
	for _, n := range c.head.Nodes {
		rep.Nodes = append(rep.Nodes, *c.nodes[n.Name])
	}
	for _, k := range sortedKeys(c.invalidClients) {
		rep.Bad = append(rep.Bad, *c.invalidClients[k])
	}
	slices.SortStableFunc(rep.Events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	if c.sends > 0 {
		rep.Attempts.Per = float64(rep.Attempts.All) / float64(c.sends)
	}
	return rep
}

func firstSeen(b Backend) float64 {
	if len(b.Spans) == 0 {
		return math.Inf(1)
	}
	return b.Spans[0].From
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	var out []K
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

func (s *Service) finish() Service {
	if s.utility > 0 {
		s.Share = s.earnedUtility / s.utility
	}
	s.P50, s.P90, s.P99 = quantile(s.latencies, 0.5), quantile(s.latencies, 0.9), quantile(s.latencies, 0.99)
	return *s
}

// quantile returns a quantile by nearest rank. It sorts its argument.
func quantile(v []float64, p float64) float64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[min(len(v)-1, int(math.Ceil(p*float64(len(v))))-1)]
}

// Read reads a trace, checks it and returns its report.
func Read(r io.Reader) (*Report, error) {
	in, err := trace.NewReader(r)
	if err != nil {
		return nil, err
	}
	c, j := New(in.Head), judge.New(in.Head)
	var rec trace.Record
	for {
		switch err := in.Next(&rec); err {
		case nil:
			c.Add(rec)
			j.Add(in.Line(), rec)
		case io.EOF:
			return c.Finish(j.Finish()), nil
		default:
			return nil, err
		}
	}
}

// JSON writes the report as a JSON document.
func (r *Report) JSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", " ")
	return enc.Encode(r)
}

const maxListed = 20 // entries of each list in the text

// Text writes the report for a terminal.
func (r *Report) Text(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "%s, seed %d: %d requests in %.0f s\n\n", r.Scenario, r.Seed, r.Whole.Asked, r.Seconds)
	fmt.Fprintf(&b, "  %-18s %7s %8s %6s %8s %7s %9s %6s %7s %7s %7s\n", "", "asked", "in time", "late", "refused", "failed", "unreached", "left",
		"p50 ms", "p90 ms", "p99 ms")
	for _, s := range append([]Service{r.Whole}, r.Classes...) {
		fmt.Fprintf(&b, "  %-18s %7d %7.1f%% %6d %8d %7d %9d %6d %7.0f %7.0f %7.0f\n", s.Name, s.Asked, 100*s.Share, s.Late, s.Refused, s.Failed,
			s.Unreached, s.Left, s.P50, s.P90, s.P99)
	}
	worst := slices.MinFunc(append([]Service{{Name: "-", Share: 2}}, r.Windows...), func(a, b Service) int { return cmp.Compare(a.Share, b.Share) })
	if len(r.Windows) > 0 {
		fmt.Fprintf(&b, "  worst 10 s from %s: %.1f%% of the worth in time; weighted figure %.3f\n", worst.Name, 100*worst.Share, r.Figure)
	}
	fmt.Fprintf(&b, "  %.2f attempts a request; %d turned away, %d reset, %d spoilt, %d failed\n", r.Attempts.Per, r.Attempts.Turned,
		r.Attempts.Reset, r.Attempts.Spoilt, r.Attempts.Failed)
	for _, n := range r.Nodes {
		fmt.Fprintf(&b, "  node %s (%s): %d answers, %d attempts, peak %.0f MB and %d descriptors\n", n.Name, n.Site, n.Answers, n.Attempts,
			n.PeakMB, n.PeakFiles)
	}
	for _, x := range r.Bad {
		if x.Asked > 0 {
			fmt.Fprintf(&b, "  %s: %d answered, %d not\n", x.Kind, x.Asked, x.Closed+x.None+x.Error)
			continue
		}
		fmt.Fprintf(&b, "  bad clients, %s: %d got an error, %d a close, %d neither, %d were served\n", x.Kind, x.Error, x.Closed, x.None, x.Served)
	}
	v := r.Verdict
	fmt.Fprintf(&b, "  the kit's own lateness: p50 %v, p99 %v; held up %.2f%% of the time\n\n", duration(v.LateP50), duration(v.LateP99), 100*v.LagShare)
	for _, rule := range v.Rules() {
		word := "kept"
		switch {
		case v.Broken(rule):
			word = "BROKEN"
		case !v.Kept(rule):
			word = "undecided"
		}
		fmt.Fprintf(&b, "  rule %d, %-26s %s\n", int(rule), rule.String()+":", word)
	}
	for i, g := range r.Broken {
		if i == maxListed {
			fmt.Fprintf(&b, "  ... and %d more; --json lists them\n", len(r.Broken)-maxListed)
			break
		}
		fmt.Fprintf(&b, "  %s\n", r.Line(g.First))
		if g.Count > 1 {
			fmt.Fprintf(&b, "    and %d more like it until %.3f s\n", g.Count-1, r.seconds(g.Last))
		}
	}
	if v.Unlisted > 0 {
		fmt.Fprintf(&b, "  %d violations past the first %d are not listed\n", v.Unlisted, len(v.Violations))
	}
	for i, x := range v.Undecided {
		if i == maxListed {
			fmt.Fprintf(&b, "  ... and %d more undecided\n", len(v.Undecided)-maxListed)
			break
		}
		fmt.Fprintf(&b, "  undecided: %s\n", r.Line(x))
	}
	if !v.Whole {
		b.WriteString("  the trace is cut short: nothing can be said to be kept\n")
	}
	if v.Void != "" {
		fmt.Fprintf(&b, "  VOID: %s\n", v.Void)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func duration(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

// Line formats a violation on one line, with its time since the traffic started.
func (r *Report) Line(x judge.Violation) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%.3f s: rule %d, %s", r.seconds(x.At), int(x.Rule), x.Name)
	for _, p := range []struct{ name, v string }{{"node", x.Node}, {"request", x.Request}, {"box", x.Box}} {
		if p.v != "" {
			fmt.Fprintf(&b, ", %s %s", p.name, p.v)
		}
	}
	fmt.Fprintf(&b, ": %s (trace lines %s)", x.Text, joinNumbers(x.Lines, 6))
	return b.String()
}

func joinNumbers(n []int, limit int) string {
	var out []string
	for i, x := range n {
		if i == limit {
			out = append(out, fmt.Sprintf("and %d more", len(n)-limit))
			break
		}
		out = append(out, fmt.Sprint(x))
	}
	return strings.Join(out, ", ")
}
