// Package report makes figures, text and a page of a trace. It reads the same records as the judge and holds no
// opinion: what broke a rule is in the verdict that it is given.
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

// Weights of the parts of Figure, as the service counts: the whole run, the worst 10 s, the worst-served class and the
// worst-served tenant within its share.
const (
	wWhole, wWindow, wClass, wTenant = 0.6, 0.1, 0.2, 0.1
	windowFor                        = 10 // seconds
)

// Report is what a trace shows in figures. Shares are parts of 1, times milliseconds unless named otherwise.
type Report struct {
	Scenario  string         `json:"scenario"`
	Seed      uint64         `json:"seed"`
	Started   string         `json:"started_at"`
	Begin     int64          `json:"begin_us"` // when the traffic began, in the trace's time
	Seconds   float64        `json:"seconds"`
	Whole     Service        `json:"whole"`
	Figure    float64        `json:"figure"` // the weighted share, before prices
	Classes   []Service      `json:"classes"`
	Tenants   []Service      `json:"tenants"`
	Windows   []Service      `json:"windows"`
	PerSecond []Second       `json:"per_second"`
	Backends  []Backend      `json:"boxes"`
	Nodes     []Node         `json:"nodes"`
	Events    []Event        `json:"events"`
	Bad       []Bad          `json:"bad_clients,omitempty"`
	Attempts  Attempts       `json:"attempts"`
	Broken    []Group        `json:"broken"`
	Verdict   *judge.Verdict `json:"verdict"`
	Kit       any            `json:"kit,omitempty"` // what the kit used itself
}

// Service is how some of the needs were served.
type Service struct {
	Name      string  `json:"name"`
	Asked     int     `json:"asked"`
	InTime    int     `json:"in_time"`
	Late      int     `json:"late"`
	Refused   int     `json:"refused"`
	Failed    int     `json:"failed"`
	Unreached int     `json:"unreached"`
	Left      int     `json:"left"`
	Share     float64 `json:"worth_in_time"` // worth answered within its aim over worth asked for
	P50       float64 `json:"p50_ms"`
	P90       float64 `json:"p90_ms"`
	P99       float64 `json:"p99_ms"`

	worth, earned float64
	took          []float64
}

// Second is one second of the run.
type Second struct {
	Asked, InTime, Late, Refused, Failed int
	P50, P95                             float64
	took                                 []float64
}

// Backend is one box's lane.
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

// Span is a time in one state; times are seconds since the traffic began.
type Span struct {
	State string  `json:"state"`
	From  float64 `json:"from"`
	To    float64 `json:"to"`
}

// Point is what a box holds at one moment.
type Point struct {
	At       float64 `json:"at"`
	InFlight int     `json:"held"`
}

// Node is one node.
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

// Event is something that happened.
type Event struct {
	At   float64 `json:"at"`
	Text string  `json:"text"`
}

// Bad is how one kind of bad client fared.
type Bad struct {
	Kind   string `json:"kind"`
	Error  int    `json:"error"`
	Closed int    `json:"closed"`
	None   int    `json:"neither"`
	Served int    `json:"served"`
	Asked  int    `json:"answered"` // health checks
}

// Group is all that broke one rule in the same way at one box, or without a box at one node.
type Group struct {
	First judge.Violation `json:"first"`
	Last  int64           `json:"last_us"`
	Count int             `json:"count"`
}

// groups gathers violations, which are in the order of their moments.
func groups(all []judge.Violation) []Group {
	type key struct{ name, at string }
	place := map[key]int{}
	var out []Group
	for _, v := range all {
		k := key{v.Name, cmp.Or(v.Box, v.Node)}
		i, ok := place[k]
		if !ok {
			i = len(out)
			place[k] = i
			out = append(out, Group{First: v})
		}
		out[i].Last = v.At
		out[i].Count++
	}
	return out
}

// Attempts are sends to boxes.
type Attempts struct {
	All    int     `json:"all"`
	Per    float64 `json:"for_each_request"`
	Turned int     `json:"turned_away"`
	Reset  int     `json:"reset"`
	Spoilt int     `json:"spoilt"`
	Failed int     `json:"failed"`
}

// Collector takes in a trace.
type Collector struct {
	rep     Report
	head    trace.Head
	classes map[string]*trace.Class
	wants   map[string]trace.Record
	class   map[string]*Service
	tenant  map[string]*Service
	window  map[int]*Service
	perS    map[int]*Second
	boxes   map[string]*lane
	order   []string
	nodes   map[string]*Node
	bad     map[string]*Bad
	begin   int64
	last    int64
	sent    int
}

type lane struct {
	Backend
	state map[string]bool
	since float64
	now   string
}

// New returns a collector for a trace with this head.
func New(h trace.Head) *Collector {
	c := &Collector{head: h, classes: map[string]*trace.Class{}, wants: map[string]trace.Record{}, class: map[string]*Service{},
		tenant: map[string]*Service{}, window: map[int]*Service{}, perS: map[int]*Second{}, boxes: map[string]*lane{},
		nodes: map[string]*Node{}, bad: map[string]*Bad{}, begin: -1}
	c.rep = Report{Scenario: h.Scenario, Seed: h.Seed, Started: h.Started, Whole: Service{Name: "all"}}
	for i := range h.Classes {
		c.classes[h.Classes[i].Name] = &h.Classes[i]
	}
	for _, n := range h.Nodes {
		c.nodes[n.Name] = &Node{Name: n.Name, Site: n.Site}
	}
	return c
}

// s is a record's time in seconds since the traffic began.
func (c *Collector) s(t int64) float64 { return float64(t-max(c.begin, 0)) / 1e6 }

// Add takes in one record.
func (c *Collector) Add(r trace.Record) {
	if r.Kind != trace.Notified { // a told record may lie ahead
		c.last = max(c.last, r.T)
	}
	switch r.Kind {
	case trace.Event:
		if r.How == trace.Begin {
			c.begin, c.rep.Begin = r.T, r.T
			return
		}
		c.rep.Events = append(c.rep.Events, Event{c.s(r.T), r.Text})
	case trace.Planned:
		c.wants[r.ID] = r
	case trace.Done:
		c.done(r)
	case trace.Sent:
		c.sent++
		if n := c.nodes[r.Node]; n != nil && !r.Reused {
			n.NewConns++
		}
	case trace.Got:
		if n := c.nodes[r.Node]; n != nil {
			n.Answers++
		}
	case trace.Received:
		c.recv(r)
	case trace.Reply:
		c.reply(r)
	case trace.Backend:
		c.box(r)
	case trace.Load:
		if b := c.boxes[r.Backend]; b != nil && c.s(r.T) >= 0 {
			b.Load = append(b.Load, Point{c.s(r.T), r.InFlight})
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
			if c.begin >= 0 && r.T < c.begin+c.head.Length { // the end of all nodes is none
				c.rep.Events = append(c.rep.Events, Event{c.s(r.T), r.Node + " " + r.State})
			}
		}
	case trace.Usage:
		if n := c.nodes[r.Node]; n != nil {
			n.PeakMB, n.PeakFiles = max(n.PeakMB, float64(r.Bytes)/(1<<20)), max(n.PeakFiles, r.Conns)
		}
	case trace.InvalidClient:
		b := c.bad[r.Why]
		if b == nil {
			b = &Bad{Kind: r.Why}
			c.bad[r.Why] = b
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

func get[K comparable, V any](m map[K]*V, k K, fresh func() *V) *V {
	v := m[k]
	if v == nil {
		v = fresh()
		m[k] = v
	}
	return v
}

func (c *Collector) done(r trace.Record) {
	w, ok := c.wants[r.ID]
	if !ok {
		return
	}
	delete(c.wants, r.ID)
	class := c.classes[w.Class]
	if class == nil {
		return
	}
	worth := class.Utility
	if w.OverQuota {
		worth *= c.head.OverQuotaUtility
	}
	second := int(c.s(w.T))
	sec := get(c.perS, second, func() *Second { return &Second{} })
	sec.Asked++
	took := float64(r.Took) / 1e3
	in := r.How == "served" && r.Took <= class.LatencyTarget
	switch {
	case in:
		sec.InTime++
	case r.How == "served":
		sec.Late++
	case r.How == "refused":
		sec.Refused++
	default:
		sec.Failed++
	}
	if r.How == "served" {
		sec.took = append(sec.took, took)
	}
	parts := []*Service{&c.rep.Whole, get(c.class, w.Class, func() *Service { return &Service{Name: w.Class} }),
		get(c.window, second/windowFor, func() *Service { return &Service{Name: fmt.Sprintf("%d s", second/windowFor*windowFor)} })}
	tenant := get(c.tenant, w.Tenant, func() *Service { return &Service{Name: w.Tenant} })
	for _, s := range append(parts, tenant) {
		s.Asked++
		value := worth
		if s == tenant && w.OverQuota { // a tenant is judged within its share
			value = 0
		}
		s.worth += value
		switch {
		case in:
			s.InTime++
			s.earned += value
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
			s.took = append(s.took, took)
		}
	}
}

func (c *Collector) recv(r trace.Record) {
	c.rep.Attempts.All++
	n := c.nodes[r.Node]
	if n != nil {
		n.Attempts++
	}
	if b := c.boxes[r.Backend]; b != nil {
		b.Attempts++
		if n != nil && b.Site != n.Site {
			n.Crossing++
		}
	}
}

func (c *Collector) reply(r trace.Record) {
	a, b := &c.rep.Attempts, c.boxes[r.Backend]
	if b == nil {
		b = &lane{}
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

// shown are the states of a lane, the one that goes before all others first.
var shown = []string{trace.Removed, trace.Collapsed, trace.Unresponsive, trace.Terminating, trace.Slow, "cold"}

func (c *Collector) box(r trace.Record) {
	b := c.boxes[r.Backend]
	at := max(c.s(r.T), 0)
	if c.begin < 0 {
		at = 0
	}
	if b == nil {
		b = &lane{Backend: Backend{ID: r.Backend, Site: r.Site, Kind: r.MachineKind}, state: map[string]bool{}, now: trace.Removed, since: at}
		c.boxes[r.Backend] = b
		c.order = append(c.order, r.Backend)
	}
	switch r.State {
	case trace.Ready:
		b.state = map[string]bool{"cold": r.Cores < r.FullCores*0.999}
	case trace.Warm:
		b.state["cold"] = false
	case trace.Normal:
		b.state[trace.Slow] = false
	case trace.Responsive:
		b.state[trace.Unresponsive] = false
	default:
		b.state[r.State] = true
	}
	b.turn(at)
}

func (b *lane) turn(at float64) {
	now := "normal"
	for _, s := range shown {
		if b.state[s] {
			now = s
			break
		}
	}
	if now == b.now {
		return
	}
	b.span(at)
	b.now, b.since = now, at
}

func (b *lane) span(at float64) {
	if b.now != trace.Removed && at > b.since {
		b.Spans = append(b.Spans, Span{State: b.now, From: b.since, To: at})
	}
}

// Finish returns the report. Nothing may be added after it.
func (c *Collector) Finish(v *judge.Verdict) *Report {
	rep := &c.rep
	rep.Verdict, rep.Broken = v, groups(v.Violations)
	rep.Seconds = float64(c.head.Length) / 1e6
	rep.Whole.close()
	for _, s := range c.class {
		rep.Classes = append(rep.Classes, s.close())
	}
	for _, s := range c.tenant {
		rep.Tenants = append(rep.Tenants, s.close())
	}
	byName := func(a, b Service) int { return cmp.Compare(a.Name, b.Name) }
	slices.SortFunc(rep.Classes, byName)
	slices.SortFunc(rep.Tenants, byName)
	for _, k := range keys(c.window) {
		rep.Windows = append(rep.Windows, c.window[k].close())
	}
	worst := func(list []Service, least int) float64 {
		w := 1.0
		for _, s := range list {
			if s.worth > 0 && s.Asked >= least {
				w = min(w, s.Share)
			}
		}
		return w
	}
	// A window in which next to nothing was asked says nothing: the last one may be cut short.
	full := int(float64(rep.Whole.Asked) * min(1, windowFor/max(rep.Seconds, 1)) / 3)
	rep.Figure = wWhole*rep.Whole.Share + wWindow*worst(rep.Windows, full) + wClass*worst(rep.Classes, 1) + wTenant*worst(rep.Tenants, 1)
	end := 0
	for k := range c.perS {
		end = max(end, k+1)
	}
	rep.PerSecond = make([]Second, end)
	for k, s := range c.perS {
		if k >= 0 {
			s.P50, s.P95 = quantile(s.took, 0.5), quantile(s.took, 0.95)
			rep.PerSecond[k] = *s
		}
	}
	stop := c.s(c.last)
	for _, id := range c.order {
		b := c.boxes[id]
		b.span(stop)
		rep.Backends = append(rep.Backends, b.Backend)
	}
	slices.SortStableFunc(rep.Backends, func(a, b Backend) int {
		return cmp.Or(cmp.Compare(first(a), first(b)), cmp.Compare(a.Site, b.Site), cmp.Compare(a.ID, b.ID))
	})
	for _, n := range c.head.Nodes {
		rep.Nodes = append(rep.Nodes, *c.nodes[n.Name])
	}
	for _, k := range keys(c.bad) {
		rep.Bad = append(rep.Bad, *c.bad[k])
	}
	slices.SortStableFunc(rep.Events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	if c.sent > 0 {
		rep.Attempts.Per = float64(rep.Attempts.All) / float64(c.sent)
	}
	return rep
}

func first(b Backend) float64 {
	if len(b.Spans) == 0 {
		return math.Inf(1)
	}
	return b.Spans[0].From
}

func keys[K cmp.Ordered, V any](m map[K]V) []K {
	var out []K
	for k := range m {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

func (s *Service) close() Service {
	if s.worth > 0 {
		s.Share = s.earned / s.worth
	}
	s.P50, s.P90, s.P99 = quantile(s.took, 0.5), quantile(s.took, 0.9), quantile(s.took, 0.99)
	return *s
}

// quantile is the nearest rank; it sorts what it is given.
func quantile(v []float64, p float64) float64 {
	if len(v) == 0 {
		return 0
	}
	slices.Sort(v)
	return v[min(len(v)-1, int(math.Ceil(p*float64(len(v))))-1)]
}

// Read reads a trace and returns its report with the judge's verdict.
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

// JSON writes the report as one JSON document.
func (r *Report) JSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", " ")
	return enc.Encode(r)
}

const most = 20 // violations that the text lists

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
	fmt.Fprintf(&b, "  the kit's own lateness: p50 %v, p99 %v; held up %.2f%% of the time\n\n", ms(v.LateP50), ms(v.LateP99), 100*v.LagShare)
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
		if i == most {
			fmt.Fprintf(&b, "  ... and %d more; --json lists them\n", len(r.Broken)-most)
			break
		}
		fmt.Fprintf(&b, "  %s\n", r.Line(g.First))
		if g.Count > 1 {
			fmt.Fprintf(&b, "    and %d more like it until %.3f s\n", g.Count-1, r.sec(g.Last))
		}
	}
	if v.Unlisted > 0 {
		fmt.Fprintf(&b, "  %d violations past the first %d are not listed\n", v.Unlisted, len(v.Violations))
	}
	for i, x := range v.Undecided {
		if i == most {
			fmt.Fprintf(&b, "  ... and %d more undecided\n", len(v.Undecided)-most)
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

func ms(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

// Line is a violation on one line; its moment is since the traffic began.
func (r *Report) Line(x judge.Violation) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%.3f s: rule %d, %s", r.sec(x.At), int(x.Rule), x.Name)
	for _, p := range []struct{ name, v string }{{"node", x.Node}, {"request", x.Request}, {"box", x.Box}} {
		if p.v != "" {
			fmt.Fprintf(&b, ", %s %s", p.name, p.v)
		}
	}
	fmt.Fprintf(&b, ": %s (trace lines %s)", x.Text, list(x.Lines, 6))
	return b.String()
}

func list(n []int, most int) string {
	var out []string
	for i, x := range n {
		if i == most {
			out = append(out, fmt.Sprintf("and %d more", len(n)-most))
			break
		}
		out = append(out, fmt.Sprint(x))
	}
	return strings.Join(out, ", ")
}
