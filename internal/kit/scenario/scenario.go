// Package scenario reads the files that describe a rehearsal: the fleet, the traffic, the list and the events. Files are
// TOML v1.0.0. What a file omits has the value of Default, which is the opening of a season at a service like
// configurator-nw.
//
// A file is validated completely before anything is started. An error is one line: file, line, key, what is wrong and
// what is expected.
package scenario

import (
	"embed"
	"errors"
	"fmt"
	"io/fs"
	"math"
	"os"
	"path"
	"slices"
	"strings"
	"time"

	"craneglade/internal/settings"
	"craneglade/internal/tomlfile"
)

// Duration is a duration as files write it.
type Duration = tomlfile.Duration

// Scenario describes one rehearsal.
type Scenario struct {
	Title  string   `toml:"title"`  // one line, for --list
	Length Duration `toml:"length"` // from the first planned request to the last
	Seed   uint64   `toml:"seed"`   // used if the command line sets none; 0 draws one at random

	Nodes      Nodes      `toml:"nodes"`
	Traffic    Traffic    `toml:"traffic"`
	Net        Net        `toml:"net"`
	List       List       `toml:"list"`
	SRV        SRV        `toml:"names"`
	Clients    Clients    `toml:"clients"`
	Rules      Rules      `toml:"rules"`
	Report     Report     `toml:"report"`
	Congestion Congestion `toml:"choke"`
	Conn       Conn       `toml:"connections"`
	Prices     Prices     `toml:"prices"`

	Sites        []Site        `toml:"site"`
	MachineKinds []MachineKind `toml:"kind"`
	Fleet        []Fleet       `toml:"fleet"`
	Classes      []Class       `toml:"class"`
	Tenants      []Tenant      `toml:"tenant"`
	Events       []Event       `toml:"event"`

	keys *tomlfile.Keys // that the file sets
}

// Nodes describes the load balancer nodes under test.
type Nodes struct {
	Count    int     `toml:"count"`
	Cores    float64 `toml:"cores"`
	MemoryMB int     `toml:"memory_mb"`
	Sockets  int     `toml:"sockets"` // maximum number of a node's descriptors
	Settings string  `toml:"own"`     // the node's settings file, as serve --config reads it; {dir} is a folder, {rpc} a local address, {dns} its DNS server; {peer}, {advertise}, {seeds}, {key} and {audit} are for [fleet]
}

// Traffic describes the load. Rates are first tries per second, over all sites.
type Traffic struct {
	Rate             float64  `toml:"rate"`
	Shape            string   `toml:"shape"` // steady, ramp (from Rate to Rate x Peak), wave (about Rate by Swing), bursty
	Peak             float64  `toml:"peak"`
	Swing            float64  `toml:"swing"`
	Period           Duration `toml:"period"`
	OverQuotaUtility float64  `toml:"over_share_worth"` // utility of a request over its tenant's quota, as a fraction of its normal utility
	QuotaFactor      float64  `toml:"quota_of_rate"`    // sum of all tenants' quotas, as a multiple of Rate
}

// Net holds one-way network delays.
type Net struct {
	SameSite  Duration `toml:"same_site"`
	CrossSite Duration `toml:"cross_site"`
	Jitter    float64  `toml:"jitter"` // spread, as a fraction of the delay
}

// List describes how nodes get the list of backends.
type List struct {
	Mode     string   `toml:"mode"`   // push or ask
	Lag      Duration `toml:"lag"`    // from a change to the notification of nodes
	AddLag   Duration `toml:"add"`    // the same for a new backend
	Spread   Duration `toml:"spread"` // between the notification of the first node and the last
	MaxCalls float64  `toml:"calls"`  // ask: maximum number of queries per second; more are rejected. 0: unlimited
}

// SRV describes the SRV records of the sites, _config._tcp.SITE.example.org, for nodes whose settings query {dns}.
type SRV struct {
	TTL Duration `toml:"ttl"` // lifetime of records, whole seconds; 0 for no DNS
	Lag Duration `toml:"lag"` // from a change to its publication
}

// Clients describes the behaviour of clients: showroom terminals and tablets.
type Clients struct {
	Retries          int      `toml:"retries"`
	Backoff          string   `toml:"backoff"` // none, fixed, exponential
	RetryWait        Duration `toml:"wait"`
	HonourRetryAfter float64  `toml:"honour_retry_after"` // fraction of the clients that obey Retry-After
	MaxRetryAfter    Duration `toml:"max_retry_after"`
	TryFraction      float64  `toml:"try_share"` // a try times out after this fraction of the class's deadline
	Impatient        float64  `toml:"impatient"` // fraction that disconnects long before the deadline
	FrontNotice      Duration `toml:"front_notice"`
	SingleUse        float64  `toml:"ask_once"`    // fraction of requests sent on a connection of their own, which then stays open unused
	JSONRPC          float64  `toml:"jsonrpc"`     // fraction of requests sent over JSON-RPC; nodes.own sets how nodes handle them
	Chunked          float64  `toml:"chunked"`     // fraction of bodies sent chunked, in pieces, with extensions and trailers
	MaxConns         int      `toml:"connections"` // maximum number of connections for requests from all clients to a node; 0: unlimited
}

// Rules holds the parameters of the four rules.
type Rules struct {
	DrainGrace       Duration `toml:"drain_grace"`
	OverloadFactor   float64  `toml:"fall_factor"`
	OverloadDuration Duration `toml:"fall_for"`
	Attempts         int      `toml:"attempts"`
}

// Report describes how backends report their load in answers.
type Report struct {
	Interval Duration `toml:"every"`
	Delay    Duration `toml:"late"`
	Noise    float64  `toml:"noise"`
}

// Congestion describes when an overloaded backend slows down, and when it recovers.
type Congestion struct {
	At             float64  `toml:"at"` // a backend slows down when it holds more than cores + At x sqrt(cores) requests, on average over Window; 0: never
	Window         Duration `toml:"over"`
	SlowFactor     float64  `toml:"slower"` // by which it slows down
	Below          float64  `toml:"below"`  // it recovers when its cores were busy for less than this fraction of RecoveryWindow,
	RecoveryWindow Duration `toml:"rest"`
	MaxDuration    Duration `toml:"most"` // or after this time at the latest
}

// Conn describes the connections to backends.
type Conn struct {
	Max            int      `toml:"max"` // that a backend accepts
	HandshakeWork  Duration `toml:"handshake_work"`
	IdleTimeout    Duration `toml:"idle"`    // a backend closes a connection that was idle this long
	ConnectTimeout Duration `toml:"timeout"` // within which a node has to connect
}

// Prices holds the costs that nodes are configured with, as fractions of the mean request's utility. The report ignores them.
type Prices struct {
	CrossSite float64 `toml:"cross_site"` // of an attempt to another site than the node's
}

// Site is a location with nodes, backends and clients.
type Site struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"` // of the traffic
}

// MachineKind is a kind of machine that backends run on.
type MachineKind struct {
	Name          string   `toml:"name"`
	Cores         int      `toml:"cores"`
	Speed         float64  `toml:"speed"`        // of a core; 1 is normal
	Spread        float64  `toml:"speed_spread"` // standard deviation between backends, as a fraction
	Slots         int      `toml:"slots"`
	Queue         int      `toml:"queue"`
	Thrash        float64  `toml:"thrash"`
	ThrashAt      float64  `toml:"thrash_at"`
	ColdFraction  float64  `toml:"cold_from"`
	WarmUp        Duration `toml:"cold"`
	WarmBy        string   `toml:"warm_by"` // time or requests
	PauseEvery    Duration `toml:"pause_every"`
	Pause         Duration `toml:"pause"`
	ErrorFraction float64  `toml:"errors"` // of the requests
	Cancel        string   `toml:"cancel"` // none, queued or all: the requests that a backend drops when their sender disconnects
	DropsExpired  bool     `toml:"drops_expired"`
}

// Fleet is a number of backends of one machine kind, assigned to the sites in turn.
type Fleet struct {
	Kind  string `toml:"kind"`
	Count int    `toml:"count"`
}

// Class is a class of requests.
type Class struct {
	Name          string   `toml:"name"`
	Share         float64  `toml:"share"`
	Work          Duration `toml:"work"`   // mean, on a core of speed 1
	Spread        float64  `toml:"spread"` // coefficient of variation
	AttemptNoise  float64  `toml:"attempt_noise"`
	LatencyTarget Duration `toml:"aim"`
	Deadline      Duration `toml:"deadline"`
	Utility       float64  `toml:"worth"`
	Effect        string   `toml:"effect"` // safe, keyed, unsafe
	Group         string   `toml:"group"`  // keyed: all, site, cell
	Window        Duration `toml:"window"`
	Bytes         int      `toml:"bytes"` // of the body
}

// Tenant is a tenant of the service.
type Tenant struct {
	Name  string  `toml:"name"`
	Share float64 `toml:"share"`
	Usage float64 `toml:"usage"` // as a fraction of its share
}

// Event is one event of the scenario. Action selects its kind; Actions lists the other keys that it uses.
type Event struct {
	Action         string   `toml:"do"`
	At             Duration `toml:"at"`
	Lasts          Duration `toml:"for"`
	Over           Duration `toml:"over"`
	Fraction       float64  `toml:"part"`
	Batch          float64  `toml:"batch"`
	Drain          Duration `toml:"drain"`
	Factor         float64  `toml:"by"` // a factor; for list-stale and late-words, seconds
	TrafficFollows float64  `toml:"traffic_follows"`
	Backends       int      `toml:"boxes"`
	Node           int      `toml:"node"`
	Down           Duration `toml:"down"`
	Rate           float64  `toml:"rate"`
	Kinds          []string `toml:"kinds"`
	SameAddress    bool     `toml:"same_address"`
	Serves         Duration `toml:"serves"` // how long a draining backend goes on accepting new requests
	Class          string   `toml:"class"`
	Site           string   `toml:"site"`
	To             string   `toml:"to"`  // the other site of a cut; all others if empty
	Direction      string   `toml:"way"` // of the traffic that a cut stops: both, out (from what is cut off) or in
}

// Action describes a kind of event, with the keys that it uses besides do and at.
type Action struct {
	Keys     []string
	Required []string
	Text     string
}

// Actions lists the kinds of events by name.
var Actions = map[string]Action{
	"deploy":       {[]string{"over", "part", "batch", "drain", "same_address", "serves"}, []string{"over", "part"}, "replace part of the fleet, a batch at a time, by cold successors"},
	"grow":         {[]string{"over", "by", "traffic_follows"}, []string{"over", "by"}, "add cold boxes until the fleet is by times as large"},
	"slow":         {[]string{"boxes", "by", "for"}, []string{"by", "for"}, "make boxes slower by a factor"},
	"vanish":       {[]string{"boxes", "for"}, []string{"for"}, "cut boxes off: they say nothing and refuse nothing"},
	"crash":        {[]string{"boxes", "down"}, []string{"down"}, "end boxes' processes; they start again, cold, under their names"},
	"reset":        {[]string{"part", "for"}, []string{"part", "for"}, "boxes reset connections under part of the requests that they have read"},
	"lose":         {[]string{"part", "for", "boxes"}, []string{"part", "for"}, "boxes lose part of the requests that they have read: neither run nor answered; without boxes, all of them do"},
	"fail-class":   {[]string{"boxes", "class", "for"}, []string{"boxes", "class", "for"}, "boxes answer every request of a class with an error, and all others as usual"},
	"spoil":        {[]string{"part", "for"}, []string{"part", "for"}, "boxes spoil part of their answers"},
	"kill":         {[]string{"node", "part", "down"}, []string{"down"}, "kill a node, or part of all nodes at once, and start it again"},
	"term":         {[]string{"node", "part", "down"}, []string{"down"}, "SIGTERM a node, or part of all nodes at once, and start it again"},
	"lose-site":    {[]string{"site", "for"}, []string{"site", "for"}, "a site's boxes fall silent together, and start again, cold, under their names"},
	"reload":       {[]string{"node"}, nil, "give a node another discovery and SIGHUP it; node 0 means each"},
	"list-outage":  {[]string{"for", "site"}, []string{"for"}, "the box list says nothing, to anybody or to one site's nodes"},
	"cut-links":    {[]string{"site", "to", "way", "for"}, []string{"for"}, "cut a site off from another, or from all others, or without site each from each: nodes from boxes, and from nodes"},
	"list-stale":   {[]string{"for", "by"}, []string{"for", "by"}, "the box list runs further behind, by so many seconds"},
	"bad-clients":  {[]string{"for", "rate", "kinds"}, []string{"for", "rate"}, "clients that send what is no request"},
	"greedy":       {[]string{"for", "rate"}, []string{"for", "rate"}, "the first tenant asks for so much more a second"},
	"stall":        {[]string{"node", "part", "for"}, []string{"for"}, "stop the process of a node, or of part of all nodes, and let it go on"},
	"cut-nodes":    {[]string{"part", "site", "way", "for"}, []string{"for"}, "cut part of the nodes, or a site's, off from what the others say to them and they say to the others"},
	"drop-words":   {[]string{"part", "for"}, []string{"part", "for"}, "lose part of the datagrams between nodes"},
	"double-words": {[]string{"part", "for"}, []string{"part", "for"}, "deliver part of the datagrams between nodes twice"},
	"spoil-words":  {[]string{"part", "for"}, []string{"part", "for"}, "change a byte of part of the datagrams between nodes"},
	"late-words":   {[]string{"by", "for"}, []string{"by", "for"}, "delay what nodes say to each other by so many seconds to twice that, out of turn"},
	"surge":        {[]string{"for", "by"}, []string{"for", "by"}, "traffic times by"},
}

// PeerLinkEvents lists the events that require nodes that communicate with each other.
var PeerLinkEvents = []string{"cut-nodes", "drop-words", "double-words", "spoil-words", "late-words"}

// LostSiteListDelay is the time after which the list removes the backends of a lost site.
const LostSiteListDelay = time.Second

// InvalidClientKinds lists the kinds of clients that send invalid requests.
var InvalidClientKinds = []string{"garbage", "endless-head", "negative-length", "huge-length", "both-lengths", "no-id", "no-class",
	"bad-deadline", "half", "silent", "open-id"}

// HealthCheck is a further kind of client, which is valid: it queries the node's readiness on a connection of its own and
// keeps that open. It takes part only if an event names it.
const HealthCheck = "health-check"

//go:embed scenarios/*.toml
var shipped embed.FS

// Names returns the names of the embedded scenarios.
func Names() []string {
	entries, err := shipped.ReadDir("scenarios")
	if err != nil {
		return nil // cannot happen: the folder is embedded
	}
	var names []string
	for _, e := range entries {
		names = append(names, strings.TrimSuffix(e.Name(), ".toml"))
	}
	return names
}

// Load reads an embedded scenario by its name, or a file by its path. A name that ends in .toml or contains a slash is a path.
func Load(name string) (*Scenario, error) {
	if strings.HasSuffix(name, ".toml") || strings.ContainsRune(name, '/') {
		text, err := os.ReadFile(name)
		if err != nil {
			return nil, err
		}
		return Parse(name, text)
	}
	text, err := Text(name)
	if err != nil {
		return nil, err
	}
	return Parse(name+".toml", text)
}

// Text returns the source of an embedded scenario.
func Text(name string) ([]byte, error) {
	text, err := shipped.ReadFile(path.Join("scenarios", name+".toml"))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, fmt.Errorf("no scenario %q: shipped are %s; the path of a file ends in .toml", name, strings.Join(Names(), ", "))
	}
	return text, err
}

// Parse parses and validates a scenario. Errors name it by file.
func Parse(file string, text []byte) (*Scenario, error) {
	s := &Scenario{}
	var err error
	if s.keys, err = tomlfile.Decode(file, text, s); err != nil {
		return nil, err
	}
	s.applyDefaults()
	if err := s.validate(); err != nil {
		return nil, err
	}
	return s, nil
}

// validate returns the first error in the scenario.
func (s *Scenario) validate() error {
	type bound struct {
		key      string
		v        float64
		min, max float64
		unit     string
	}
	bounds := []bound{
		{"length", s.Length.S(), 1, 24 * 3600, "s"},
		{"nodes.count", float64(s.Nodes.Count), 1, 1000, ""},
		{"nodes.cores", s.Nodes.Cores, 0.1, 64, ""},
		{"nodes.memory_mb", float64(s.Nodes.MemoryMB), 16, 1 << 20, ""},
		{"nodes.sockets", float64(s.Nodes.Sockets), 64, 1 << 20, ""},
		{"traffic.rate", s.Traffic.Rate, 0.1, 20000, " a second"},
		{"traffic.peak", s.Traffic.Peak, 0.01, 100, ""},
		{"traffic.swing", s.Traffic.Swing, 0, 0.95, ""},
		{"traffic.period", s.Traffic.Period.S(), 0.1, 3600, "s"},
		{"traffic.over_share_worth", s.Traffic.OverQuotaUtility, 0, 1, ""},
		{"traffic.quota_of_rate", s.Traffic.QuotaFactor, 0.01, 100, ""},
		{"net.same_site", s.Net.SameSite.S(), 0, 1, "s"},
		{"net.cross_site", s.Net.CrossSite.S(), 0, 1, "s"},
		{"net.jitter", s.Net.Jitter, 0, 1, ""},
		{"list.lag", s.List.Lag.S(), 0, 60, "s"},
		{"list.add", s.List.AddLag.S(), 0, 60, "s"},
		{"list.spread", s.List.Spread.S(), 0, 10, "s"},
		{"list.calls", s.List.MaxCalls, 0, 1e6, " a second"},
		{"clients.retries", float64(s.Clients.Retries), 0, 10, ""},
		{"clients.wait", s.Clients.RetryWait.S(), 0, 10, "s"},
		{"clients.honour_retry_after", s.Clients.HonourRetryAfter, 0, 1, ""},
		{"clients.max_retry_after", s.Clients.MaxRetryAfter.S(), 0, 60, "s"},
		{"clients.try_share", s.Clients.TryFraction, 0.05, 1, ""},
		{"clients.impatient", s.Clients.Impatient, 0, 1, ""},
		{"clients.ask_once", s.Clients.SingleUse, 0, 1, ""},
		{"clients.jsonrpc", s.Clients.JSONRPC, 0, 1, ""},
		{"clients.chunked", s.Clients.Chunked, 0, 1, ""},
		{"clients.connections", float64(s.Clients.MaxConns), 0, 1 << 20, ""},
		{"clients.front_notice", s.Clients.FrontNotice.S(), 0, 30, "s"},
		{"rules.drain_grace", s.Rules.DrainGrace.S(), 0.1, 60, "s"},
		{"rules.fall_factor", s.Rules.OverloadFactor, 0, 100, ""},
		{"rules.fall_for", s.Rules.OverloadDuration.S(), 0.1, 60, "s"},
		{"rules.attempts", float64(s.Rules.Attempts), 1, 10, ""},
		{"report.every", s.Report.Interval.S(), 0, 60, "s"},
		{"report.late", s.Report.Delay.S(), 0, 60, "s"},
		{"report.noise", s.Report.Noise, 0, 1, ""},
		{"choke.at", s.Congestion.At, 0, 1000, ""},
		{"choke.over", s.Congestion.Window.S(), 0.1, 60, "s"},
		{"choke.slower", s.Congestion.SlowFactor, 1, 100, ""},
		{"choke.below", s.Congestion.Below, 0, 1, ""},
		{"choke.rest", s.Congestion.RecoveryWindow.S(), 0.1, 60, "s"},
		{"choke.most", s.Congestion.MaxDuration.S(), 0.1, 600, "s"},
		{"prices.cross_site", s.Prices.CrossSite, 0, 1, ""},
		{"connections.max", float64(s.Conn.Max), 1, 65535, ""},
		{"connections.handshake_work", s.Conn.HandshakeWork.S(), 0, 1, "s"},
		{"connections.idle", s.Conn.IdleTimeout.S(), 0.1, 3600, "s"},
		{"connections.timeout", s.Conn.ConnectTimeout.S(), 0.01, 60, "s"},
	}
	for i, k := range s.MachineKinds {
		p := fmt.Sprintf("kind[%d].", i)
		bounds = append(bounds, bound{p + "cores", float64(k.Cores), 1, 256, ""}, bound{p + "speed", k.Speed, 0.01, 100, ""},
			bound{p + "speed_spread", k.Spread, 0, 1, ""}, bound{p + "slots", float64(k.Slots), 1, 65536, ""},
			bound{p + "queue", float64(k.Queue), 0, 1 << 20, ""}, bound{p + "thrash", k.Thrash, 0, 0.95, ""},
			bound{p + "thrash_at", k.ThrashAt, 0, 1000, ""}, bound{p + "cold_from", k.ColdFraction, 0.01, 1, ""},
			bound{p + "cold", k.WarmUp.S(), 0, 600, "s"}, bound{p + "pause_every", k.PauseEvery.S(), 0, 3600, "s"},
			bound{p + "pause", k.Pause.S(), 0, 10, "s"}, bound{p + "errors", k.ErrorFraction, 0, 1, ""})
	}
	for i, c := range s.Classes {
		p := fmt.Sprintf("class[%d].", i)
		bounds = append(bounds, bound{p + "share", c.Share, 0.0001, 1e6, ""}, bound{p + "work", c.Work.S(), 1e-6, 60, "s"},
			bound{p + "spread", c.Spread, 0, 5, ""}, bound{p + "attempt_noise", c.AttemptNoise, 0, 2, ""},
			bound{p + "aim", c.LatencyTarget.S(), 0.001, 600, "s"}, bound{p + "deadline", c.Deadline.S(), c.LatencyTarget.S(), 600, "s"},
			bound{p + "worth", c.Utility, 0, 1e6, ""}, bound{p + "bytes", float64(c.Bytes), 0, 16 << 20, ""})
	}
	for i, t := range s.Tenants {
		p := fmt.Sprintf("tenant[%d].", i)
		bounds = append(bounds, bound{p + "share", t.Share, 0.0001, 1e6, ""}, bound{p + "usage", t.Usage, 0, 100, ""})
	}
	for i, t := range s.Sites {
		bounds = append(bounds, bound{fmt.Sprintf("site[%d].share", i), t.Share, 0.0001, 1e6, ""})
	}
	for i, f := range s.Fleet {
		bounds = append(bounds, bound{fmt.Sprintf("fleet[%d].count", i), float64(f.Count), 1, 1000, ""})
	}
	for _, b := range bounds {
		if !(b.v >= b.min && b.v <= b.max) {
			return s.keys.Problem(b.key, "%v%s is outside %v to %v%s", roundMicro(b.v), b.unit, roundMicro(b.min), roundMicro(b.max), b.unit)
		}
	}
	type choice struct {
		key, v string
		of     []string
	}
	choices := []choice{
		{"traffic.shape", s.Traffic.Shape, []string{"steady", "ramp", "wave", "bursty"}},
		{"list.mode", s.List.Mode, []string{"push", "ask"}},
		{"clients.backoff", s.Clients.Backoff, []string{"none", "fixed", "exponential"}},
	}
	for i, k := range s.MachineKinds {
		choices = append(choices, choice{fmt.Sprintf("kind[%d].warm_by", i), k.WarmBy, []string{"time", "requests"}}, choice{fmt.Sprintf("kind[%d].cancel", i), k.Cancel, []string{"none", "queued", "all"}})
	}
	for i, c := range s.Classes {
		choices = append(choices, choice{fmt.Sprintf("class[%d].effect", i), c.Effect, []string{"safe", "keyed", "unsafe"}}, choice{fmt.Sprintf("class[%d].group", i), c.Group, []string{"all", "site", "cell"}})
		if c.Effect == "keyed" && c.Window <= 0 {
			return s.keys.Problem(fmt.Sprintf("class[%d].window", i), "a keyed class needs the time for which repeats are dropped")
		}
	}
	for _, w := range choices {
		if !slices.Contains(w.of, w.v) {
			return s.keys.Problem(w.key, "%q is none of %s", w.v, strings.Join(w.of, ", "))
		}
	}
	if err := s.checkNames(); err != nil {
		return err
	}
	if err := s.checkNodeSettings(); err != nil {
		return s.keys.Problem("nodes.own", "%v", err)
	}
	if strings.Contains(s.Nodes.Settings, "{peer}") && s.Nodes.Count > 200 {
		return s.keys.Problem("nodes.count", "%d: at most 200 nodes can communicate with each other", s.Nodes.Count)
	}
	if ttl := s.SRV.TTL.D(); ttl < 0 || ttl%time.Second != 0 {
		return s.keys.Problem("names.ttl", "%v is not a whole number of seconds", ttl)
	} else if (ttl > 0) != strings.Contains(s.Nodes.Settings, "{dns}") {
		return s.keys.Problem("names.ttl", "it requires dns.servers = [\"{dns}\"] in nodes.own, and vice versa")
	}
	return s.checkEvents()
}

// checkNodeSettings checks the nodes' settings, with valid values for the placeholders that a rehearsal fills in.
func (s *Scenario) checkNodeSettings() error {
	key := ""
	if strings.Contains(s.Nodes.Settings, "{key}") {
		f, err := os.CreateTemp("", "craneglade-key-*")
		if err != nil {
			return err
		}
		defer os.Remove(f.Name())
		key = f.Name()
		_, err = f.WriteString(FleetKey)
		if err = errors.Join(err, f.Close()); err != nil {
			return err
		}
	}
	_, err := settings.Parse("nodes.own", []byte(strings.NewReplacer("{dir}", os.TempDir(), "{rpc}", "127.0.0.1:1", "{dns}", "127.0.0.1:1",
		"{peer}", "127.0.0.1:1", "{advertise}", "127.0.0.1:1", "{seeds}", `["127.0.0.1:1"]`, "{key}", key, "{audit}", "audit").Replace(s.Nodes.Settings)))
	return err
}

// FleetKey is the content of the file {key} in nodes.own. The key of a rehearsal is not secret.
const FleetKey = "000102030405060708090a0b0c0d0e0f\n"

func roundMicro(v float64) float64 { return math.Round(v*1e6) / 1e6 }

// checkNames checks that names are valid and unique, and that machine kinds of the fleet exist.
func (s *Scenario) checkNames() error {
	for table, names := range map[string][]string{"site": namesOf(s.Sites, func(x Site) string { return x.Name }),
		"kind":   namesOf(s.MachineKinds, func(x MachineKind) string { return x.Name }),
		"class":  namesOf(s.Classes, func(x Class) string { return x.Name }),
		"tenant": namesOf(s.Tenants, func(x Tenant) string { return x.Name })} {
		for i, n := range names {
			key := fmt.Sprintf("%s[%d].name", table, i)
			if n == "" || strings.ContainsFunc(n, func(r rune) bool { return r <= ' ' || r > '~' || r == '"' }) {
				return s.keys.Problem(key, "%q is not a valid name: use letters, digits and dashes", n)
			}
			if slices.Index(names, n) != i {
				return s.keys.Problem(key, "%q is defined twice", n)
			}
		}
	}
	for i, f := range s.Fleet {
		if s.MachineKind(f.Kind) == nil {
			return s.keys.Problem(fmt.Sprintf("fleet[%d].kind", i), "%q is not a kind of machine: there are %s", f.Kind,
				strings.Join(namesOf(s.MachineKinds, func(x MachineKind) string { return x.Name }), ", "))
		}
	}
	return nil
}

func namesOf[T any](list []T, name func(T) string) []string {
	var out []string
	for _, x := range list {
		out = append(out, name(x))
	}
	return out
}

// MachineKind returns a machine kind by its name, or nil.
func (s *Scenario) MachineKind(name string) *MachineKind {
	i := slices.IndexFunc(s.MachineKinds, func(k MachineKind) bool { return k.Name == name })
	if i < 0 {
		return nil
	}
	return &s.MachineKinds[i]
}

// Backends returns the number of backends at the start.
func (s *Scenario) Backends() int {
	n := 0
	for _, f := range s.Fleet {
		n += f.Count
	}
	return n
}

// checkEvents validates the events.
func (s *Scenario) checkEvents() error {
	for i, e := range s.Events {
		p := fmt.Sprintf("event[%d].", i)
		act, ok := Actions[e.Action]
		if !ok {
			return s.keys.Problem(p+"do", "%q is none of %s", e.Action, strings.Join(sortedKeys(Actions), ", "))
		}
		given := map[string]bool{"over": e.Over != 0, "part": e.Fraction != 0, "batch": e.Batch != 0, "drain": e.Drain != 0, "by": e.Factor != 0,
			"traffic_follows": e.TrafficFollows != 0, "boxes": e.Backends != 0, "node": e.Node != 0, "down": e.Down != 0, "rate": e.Rate != 0,
			"kinds": len(e.Kinds) > 0, "class": e.Class != "", "same_address": e.SameAddress, "serves": e.Serves != 0, "for": e.Lasts != 0, "site": e.Site != "", "to": e.To != "", "way": e.Direction != ""}
		for _, k := range sortedKeys(given) {
			if given[k] && !slices.Contains(act.Keys, k) {
				return s.keys.Problem(p+k, "%s does not use it: it uses %s", e.Action, strings.Join(act.Keys, ", "))
			}
			if !given[k] && slices.Contains(act.Required, k) {
				return s.keys.Problem(p+k, "%s needs it", e.Action)
			}
		}
		switch {
		case e.At < 0 || e.At > s.Length:
			return s.keys.Problem(p+"at", "%v is outside the length of %v", e.At, s.Length)
		case e.Serves < 0 || e.Serves > e.Drain:
			return s.keys.Problem(p+"serves", "%v is outside 0 to the drain of %v", e.Serves, e.Drain)
		case e.Over < 0 || e.Lasts < 0 || e.Drain < 0 || e.Down < 0:
			return s.keys.Problem(p+"at", "a duration is negative")
		case e.At+e.Over > s.Length:
			return s.keys.Problem(p+"over", "the event ends at %v, after the length of %v", e.At+e.Over, s.Length)
		case e.Fraction < 0 || e.Fraction > 1:
			return s.keys.Problem(p+"part", "%v is outside 0 to 1", e.Fraction)
		case e.Batch < 0 || e.Batch > 1:
			return s.keys.Problem(p+"batch", "%v is outside 0 to 1", e.Batch)
		case e.Action == "grow" && !(e.Factor > 1 && e.Factor <= 10):
			return s.keys.Problem(p+"by", "%v is outside 1 to 10: the fleet grows by that factor", e.Factor)
		case e.Action == "slow" && !(e.Factor > 1 && e.Factor <= 100):
			return s.keys.Problem(p+"by", "%v is outside 1 to 100: boxes are slower by that factor", e.Factor)
		case e.Action == "surge" && !(e.Factor > 0 && e.Factor <= 100):
			return s.keys.Problem(p+"by", "%v is outside 0 to 100: traffic is multiplied by that", e.Factor)
		case e.Action == "list-stale" && !(e.Factor > 0 && e.Factor <= 60):
			return s.keys.Problem(p+"by", "%v is outside 0 to 60 s", e.Factor)
		case e.TrafficFollows < 0 || e.TrafficFollows > 1:
			return s.keys.Problem(p+"traffic_follows", "%v is outside 0 to 1", e.TrafficFollows)
		case e.Node < 0 || e.Node > s.Nodes.Count:
			return s.keys.Problem(p+"node", "%d is not a node: nodes are numbered 1 to %d", e.Node, s.Nodes.Count)
		case e.Backends < 0 || e.Backends > s.Backends():
			return s.keys.Problem(p+"boxes", "%d is more than the fleet has: %d", e.Backends, s.Backends())
		case e.Class != "" && !slices.ContainsFunc(s.Classes, func(c Class) bool { return c.Name == e.Class }):
			return s.keys.Problem(p+"class", "%q is not a class: there are %s", e.Class,
				strings.Join(namesOf(s.Classes, func(c Class) string { return c.Name }), ", "))
		case e.Site != "" && !slices.ContainsFunc(s.Sites, func(x Site) bool { return x.Name == e.Site }):
			return s.keys.Problem(p+"site", "%q is not a site: there are %s", e.Site,
				strings.Join(namesOf(s.Sites, func(x Site) string { return x.Name }), ", "))
		case e.Action == "lose-site" && e.Lasts < 2*Duration(LostSiteListDelay):
			return s.keys.Problem(p+"for", "%v is shorter than %v: the list removes a lost site's boxes after %v", e.Lasts, 2*Duration(LostSiteListDelay), LostSiteListDelay)
		case slices.Contains(PeerLinkEvents, e.Action) && !strings.Contains(s.Nodes.Settings, "{peer}"):
			return s.keys.Problem(p+"do", "%s needs nodes that communicate with each other: set fleet.listen = \"{peer}\" in nodes.own", e.Action)
		case e.Action == "cut-nodes" && (e.Fraction > 0) == (e.Site != ""):
			return s.keys.Problem(p+"do", "cut-nodes needs exactly one of part and site")
		case e.To != "" && !slices.ContainsFunc(s.Sites, func(x Site) bool { return x.Name == e.To }):
			return s.keys.Problem(p+"to", "%q is not a site: there are %s", e.To, strings.Join(namesOf(s.Sites, func(x Site) string { return x.Name }), ", "))
		case e.To != "" && (e.Site == "" || e.To == e.Site):
			return s.keys.Problem(p+"to", "%q needs a different site in the key site", e.To)
		case (e.Action == "cut-nodes" || e.Action == "cut-links") && !slices.Contains([]string{"both", "out", "in"}, e.Direction):
			return s.keys.Problem(p+"way", "%q is none of both, out, in", e.Direction)
		case e.Action == "late-words" && !(e.Factor > 0 && e.Factor <= 10):
			return s.keys.Problem(p+"by", "%v is outside 0 to 10 s", e.Factor)
		case (e.Action == "kill" || e.Action == "term" || e.Action == "stall") && e.Fraction > 0 && e.Node > 0:
			return s.keys.Problem(p+"part", "node already selects one: set only one of the two")
		case e.Rate < 0 || e.Rate > 1000:
			return s.keys.Problem(p+"rate", "%v is outside 0 to 1000 a second", e.Rate)
		}
		for _, k := range e.Kinds {
			if known := append(slices.Clone(InvalidClientKinds), HealthCheck); !slices.Contains(known, k) {
				return s.keys.Problem(p+"kinds", "%q is none of %s", k, strings.Join(known, ", "))
			}
		}
		if e.Action == "deploy" {
			if err := s.checkDeployFits(p, e); err != nil {
				return err
			}
		}
	}
	return nil
}

// checkDeployFits checks that a deploy has time for all of its batches, which start at least 500 ms apart.
func (s *Scenario) checkDeployFits(p string, e Event) error {
	n := s.Backends()
	replace := int(math.Round(e.Fraction * float64(n)))
	if replace < 1 {
		return s.keys.Problem(p+"part", "%v of %d boxes is less than one box", e.Fraction, n)
	}
	batch := max(1, int(math.Round(firstNonZero(e.Batch, 0.15)*float64(n))))
	rounds := (replace + batch - 1) / batch
	if minDuration := time.Duration(rounds-1) * 500 * time.Millisecond; e.Over.D() < minDuration {
		return s.keys.Problem(p+"over", "%d boxes in batches of %d take %d rounds, at least %v: set a longer time or a larger batch",
			replace, batch, rounds, minDuration)
	}
	return nil
}

func firstNonZero(a, b float64) float64 {
	if a != 0 {
		return a
	}
	return b
}

func sortedKeys[V any](m map[string]V) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
