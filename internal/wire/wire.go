// Package wire reads and writes the line protocol between the simulator and the policy. It turns lines into
// policy events, and policy actions into lines.
package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/valyala/fastjson"

	"craneglade/internal/subset"
	"craneglade/policy"
)

// Kind is the kind of a message.
type Kind uint8

const (
	BatchStart Kind = iota // a batch starts: Now and Batch
	BatchEnd               // the batch ends
	Create                 // an instance starts: Instance, Seed and Settings
	PowerOff               // an instance was killed: Instance
	Event                  // something happened at an instance: Instance and Event
)

// Message is one decoded line. Its Decoder reuses it.
type Message struct {
	Kind     Kind
	Now      time.Duration
	Batch    int64
	Instance int64
	Seed     uint64
	Settings policy.Settings
	Event    policy.Event
}

// Decoder decodes lines. It reuses its memory and is not safe for concurrent use.
type Decoder struct {
	parser  fastjson.Parser
	msg     Message
	args    []*fastjson.Value
	name    string
	err     error
	entries []policy.Entry
	names   map[string]string
}

// Decode reads one line. The message is valid until the next call.
func (d *Decoder) Decode(line []byte) (*Message, error) {
	v, err := d.parser.ParseBytes(line)
	if err != nil {
		return nil, fmt.Errorf("not JSON: %v", err)
	}
	row, err := v.Array()
	if err != nil || len(row) == 0 {
		return nil, errors.New("a message must be an array that starts with its name")
	}
	name, err := row[0].StringBytes()
	if err != nil {
		return nil, errors.New("a message must start with its name")
	}
	d.args, d.err, d.name = row[1:], nil, d.intern(name)
	m := &d.msg
	m.Event = policy.Event{}
	switch d.name {
	case "round":
		m.Kind, m.Now, m.Batch = BatchStart, d.seconds(0, "clock_s", true), d.integer(1, "round")
	case "your_turn":
		m.Kind = BatchEnd
	case "create":
		m.Kind, m.Instance = Create, d.integer(0, "who")
		m.Seed = d.seed(1, "salt")
		d.decodeSettings(2)
	case "power_off":
		m.Kind, m.Instance = PowerOff, d.integer(0, "who")
	default:
		m.Kind = Event
		if !d.decodeEvent(&m.Event) {
			return nil, fmt.Errorf("unknown message %q", d.name)
		}
		m.Instance = d.integer(0, "who")
	}
	if d.err != nil {
		return nil, d.err
	}
	return m, nil
}

func (d *Decoder) decodeEvent(ev *policy.Event) bool {
	switch d.name {
	case "demand":
		ev.Kind, ev.ID = policy.EvRequest, d.text(1, "corr", true)
		ev.Class = d.text(2, "service", true)
		if d.has(3) && d.args[3].Type() == fastjson.TypeString { // 0 stands for none
			ev.Tenant = d.text(3, "client_group", false)
		}
		ev.Remaining = d.seconds(5, "grace_s", true)
		if d.has(7) {
			ev.ClientRetry = d.boolean(7, "repeat")
		}
	case "ended":
		ev.Kind, ev.ID = policy.EvOutcome, d.text(1, "corr", true)
		ev.Attempt, ev.Backend = int(d.integer(2, "seq_no")), d.backendID(3)
		ev.Took, ev.Finished = d.seconds(4, "wait_time_s", true), d.boolean(5, "last")
		ev.Outcome = d.decodeOutcome(6)
		ev.Load = d.decodeLoad(7)
	case "abandoned":
		ev.Kind, ev.ID = policy.EvDisconnected, d.text(1, "corr", true)
	case "targets":
		ev.Kind = policy.EvList
		d.decodeList(ev)
	case "tick_due":
		ev.Kind, ev.Token = policy.EvTimer, d.text(1, "nonce", true)
	case "flowing":
		ev.Kind, ev.ID, ev.Attempt = policy.EvResponseStarted, d.text(1, "corr", true), int(d.integer(4, "seq_no"))
	case "checked", "memo":
		ev.Kind = policy.EvOther
	default:
		return false
	}
	return true
}

func (d *Decoder) fail(field, problem string) {
	if d.err == nil {
		d.err = fmt.Errorf("%s: %s: %s", d.name, field, problem)
	}
}

func (d *Decoder) has(i int) bool {
	return i < len(d.args) && d.args[i].Type() != fastjson.TypeNull
}

// intern returns b as a string, and shares the strings of names that recur.
func (d *Decoder) intern(b []byte) string {
	if s, ok := d.names[string(b)]; ok {
		return s
	}
	if d.names == nil || len(d.names) > 1000 {
		d.names = map[string]string{}
	}
	s := string(b)
	d.names[s] = s
	return s
}

func (d *Decoder) text(i int, field string, required bool) string {
	if !d.has(i) {
		if required {
			d.fail(field, "missing")
		}
		return ""
	}
	b, err := d.args[i].StringBytes()
	if err != nil {
		d.fail(field, "must be text")
	}
	if field == "corr" {
		return string(b)
	}
	return d.intern(b)
}

func (d *Decoder) number(i int, field string, required bool) float64 {
	if !d.has(i) {
		if required {
			d.fail(field, "missing")
		}
		return 0
	}
	f, err := d.args[i].Float64()
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		d.fail(field, "must be a number")
		return 0
	}
	return f
}

func (d *Decoder) seconds(i int, field string, required bool) time.Duration {
	f := d.number(i, field, required)
	if math.Abs(f) > 9e9 {
		d.fail(field, "is out of range")
		return 0
	}
	return seconds(f)
}

// seconds turns a number of seconds into a duration, rounded to the wire's microsecond.
func seconds(f float64) time.Duration {
	return time.Duration(math.Round(f*1e6)) * time.Microsecond
}

func (d *Decoder) integer(i int, field string) int64 {
	if !d.has(i) {
		d.fail(field, "missing")
		return 0
	}
	n, err := d.args[i].Int64()
	if err != nil {
		d.fail(field, "must be a whole number")
	}
	return n
}

func (d *Decoder) seed(i int, field string) uint64 {
	if !d.has(i) {
		d.fail(field, "missing")
		return 0
	}
	if n, err := d.args[i].Uint64(); err == nil {
		return n
	}
	return uint64(d.integer(i, field))
}

func (d *Decoder) boolean(i int, field string) bool {
	if !d.has(i) {
		d.fail(field, "missing")
		return false
	}
	v, err := d.args[i].Bool()
	if err != nil {
		d.fail(field, "must be true or false")
	}
	return v
}

func (d *Decoder) backendID(i int) uint32 {
	n := d.integer(i, "backend")
	if n < 0 || n > math.MaxUint32 {
		d.fail("backend", "is out of range")
	}
	return uint32(n)
}

func (d *Decoder) decodeOutcome(i int) policy.Outcome {
	name := d.text(i, "outcome", true)
	switch name {
	case "Ok":
		return policy.OK
	case "Failed":
		return policy.Failed
	case "QueueFull":
		return policy.Full
	case "TimedOut":
		return policy.TimedOut
	case "ConnectError":
		return policy.ConnectFailed
	case "ResetByPeer":
		return policy.Reset
	case "Canceled":
		return policy.Canceled
	case "Ignored":
		return policy.NeverSent
	}
	d.fail("outcome", "unknown value "+strconv.Quote(name))
	return policy.OK
}

func (d *Decoder) decodeLoad(i int) policy.Load {
	if !d.has(i) {
		return policy.Load{}
	}
	o, err := d.args[i].Object()
	if err != nil {
		d.fail("load", "must be an object")
		return policy.Load{}
	}
	figure := func(name string) float64 {
		v := o.Get(name)
		if v == nil || v.Type() == fastjson.TypeNull {
			return -1
		}
		f, err := v.Float64()
		if err != nil {
			d.fail("load", name+" must be a number")
		}
		return f
	}
	l := policy.Load{Queue: figure("depth"), Occupancy: figure("concurrent"), ServiceSeconds: max(figure("mean_ms"), 0) / 1e3}
	l.Known = l.Queue >= 0 || l.Occupancy >= 0
	return l
}

func (d *Decoder) decodeList(ev *policy.Event) {
	switch kind := d.text(1, "how", true); kind {
	case "incr":
		ev.List = policy.ListDelta
	case "total":
		ev.List = policy.ListFull
	case "warm_copy":
		ev.List = policy.ListCached
	case "lost":
		ev.List = policy.ListFailed
	default:
		d.fail("how", "unknown value "+strconv.Quote(kind))
	}
	d.entries = d.entries[:0]
	if !d.has(3) {
		if ev.List != policy.ListFailed {
			d.fail("items", "missing")
		}
		return
	}
	items, err := d.args[3].Array()
	if err != nil {
		d.fail("items", "must be an array")
		return
	}
	outer := d.args
	for _, item := range items {
		row, err := item.Array()
		if err != nil {
			d.fail("items", "an entry must be an array")
			return
		}
		d.args = row
		e := policy.Entry{Zone: d.text(1, "az", false), Kind: d.text(3, "shape", false),
			Launched: d.seconds(4, "launched_s", false), ID: d.backendID(6)}
		e.Hash = ringPosition(e.ID)
		if d.has(2) {
			e.Cell = d.integer(2, "unit_group")
		}
		switch s := d.text(5, "availability", true); s {
		case "active":
			e.State = policy.Active
		case "leaving":
			e.State = policy.Draining
		case "left":
			e.State = policy.Removed
		default:
			d.fail("availability", "unknown value "+strconv.Quote(s))
		}
		d.entries = append(d.entries, e)
	}
	d.args = outer
	ev.Entries = d.entries
}

// ringPosition returns the position of a backend on the ring of package subset. It is the same at every instance, as its
// number is.
func ringPosition(id uint32) uint64 { return subset.Hash(strconv.FormatUint(uint64(id), 10)) }

// Settings is the settings object: the settings of the policy, and those of the node that carries out its actions.
type Settings struct {
	Policy             policy.Settings
	BackendIdleTimeout time.Duration // backends close connections that are idle for this long; 0 if unset
	ConnectTimeout     time.Duration // limit for establishing a connection; 0 if unset
	AcceptLoadReports  bool          // responses may have load reports
}

// settingsObject is the settings object of a create message; other keys are ignored.
type settingsObject struct {
	Balancers *int   `json:"balancers"`
	Ordinal   int    `json:"ordinal"`
	Zone      string `json:"zone"`
	Tariffs   struct {
		CrossZone float64 `json:"cross_zone"`
	} `json:"tariffs"`
	Discovery string  `json:"discovery"`
	OverShare float64 `json:"over_share_worth"`
	Grades    []struct {
		Name      string  `json:"name"`
		Aim       float64 `json:"aim_s"`
		Deadline  float64 `json:"deadline_s"`
		Gain      float64 `json:"gain"`
		LateWorth float64 `json:"late_worth"`
		Effect    string  `json:"effect"`
		Group     string  `json:"group"`
		Window    float64 `json:"repeat_window_s"`
	} `json:"grades"`
	Projects []struct {
		Name  string  `json:"name"`
		Quota float64 `json:"quota_per_s"`
	} `json:"projects"`
	Limits struct {
		Cancel        bool    `json:"cancel"`
		ParallelTries bool    `json:"parallel_tries"`
		RetryAfter    *bool   `json:"retry_after"`
		MaxRetry      float64 `json:"max_retry_after_s"`
		MaxAttempts   *int    `json:"max_attempts"`

		ConnIdle       float64 `json:"conn_idle_s"`
		ConnectTimeout float64 `json:"connect_timeout_s"`
	} `json:"policy_limits"`
	Report struct {
		How   string   `json:"how"`
		Names []string `json:"names"`
	} `json:"report"`
	Rules struct {
		ColdFor        float64 `json:"cold_s"`
		ColdShare      float64 `json:"cold_share"`
		DrainGrace     float64 `json:"drain_grace_s"`
		FallFor        float64 `json:"fall_s"`
		OverloadFactor float64 `json:"overload_factor"`
		MustAskIn      float64 `json:"must_ask_in_s"`
	} `json:"invariants"`
}

func (d *Decoder) decodeSettings(i int) {
	if !d.has(i) {
		d.fail("info", "missing")
		return
	}
	s, err := DecodeSettings(d.args[i].MarshalTo(nil))
	if err != nil {
		d.fail("info", err.Error())
		return
	}
	d.msg.Settings = s.Policy
}

// DecodeSettings reads the settings object, which is the same in a create message and in a node's configuration.
func DecodeSettings(text []byte) (Settings, error) {
	var in settingsObject
	if err := json.Unmarshal(text, &in); err != nil {
		return Settings{}, err
	}
	s := policy.Settings{Zone: in.Zone, CrossPrice: in.Tariffs.CrossZone, OverShare: in.OverShare, Nodes: 1, Number: max(0, in.Ordinal), MaxAttempts: 1,
		Cancel: in.Limits.Cancel, Copies: in.Limits.ParallelTries, MustAskIn: seconds(in.Rules.MustAskIn),
		QueueOnly: in.Report.How == "piggyback" && slices.Contains(in.Report.Names, "depth") &&
			!slices.Contains(in.Report.Names, "concurrent"),
		NoReports:  in.Report.How != "piggyback",
		DrainGrace: seconds(in.Rules.DrainGrace),
		ColdShare:  in.Rules.ColdShare, ColdFor: seconds(in.Rules.ColdFor),
		FallFactor: in.Rules.OverloadFactor, FallFor: seconds(in.Rules.FallFor)}
	if in.Balancers != nil {
		s.Nodes = *in.Balancers
	}
	if in.Limits.MaxAttempts != nil {
		s.MaxAttempts = *in.Limits.MaxAttempts
	}
	if in.Limits.RetryAfter == nil || *in.Limits.RetryAfter {
		s.RetryAfter = seconds(in.Limits.MaxRetry)
	}
	switch in.Discovery {
	case "ask":
		s.MustAsk = true
	case "push", "":
	default:
		return Settings{}, fmt.Errorf("discovery: unknown value %q", in.Discovery)
	}
	effects := map[string]policy.Effect{"free": policy.Safe, "guarded": policy.Keyed, "single_shot": policy.Unsafe}
	groups := map[string]policy.Group{"": policy.GroupAll, "all": policy.GroupAll, "zone": policy.GroupZone, "cell": policy.GroupCell}
	for _, g := range in.Grades {
		effect, ok := effects[g.Effect]
		group, ok2 := groups[g.Group]
		if !ok || !ok2 {
			return Settings{}, fmt.Errorf("grades: %s: unknown effect %q or group %q", g.Name, g.Effect, g.Group)
		}
		s.Classes = append(s.Classes, policy.Class{Name: g.Name, Aim: seconds(g.Aim), Deadline: seconds(g.Deadline),
			Worth: g.Gain, LateWorth: g.LateWorth, Effect: effect, Group: group, Window: seconds(g.Window)})
	}
	for _, t := range in.Projects {
		s.Tenants = append(s.Tenants, policy.Tenant{Name: t.Name, QuotaPerS: t.Quota})
	}
	return Settings{Policy: s, BackendIdleTimeout: seconds(in.Limits.ConnIdle), ConnectTimeout: seconds(in.Limits.ConnectTimeout),
		AcceptLoadReports: in.Report.How == "piggyback"}, nil
}

// AppendAction appends the line for an action of an instance.
func AppendAction(buf []byte, instance int64, a *policy.Action) []byte {
	switch a.Kind {
	case policy.ActSend:
		buf = appendString(appendHead(buf, "relay", instance), a.ID)
		buf = strconv.AppendUint(append(buf, ','), uint64(a.Backend), 10)
		buf = appendSeconds(buf, a.Wait)
	case policy.ActCancel:
		buf = appendString(appendHead(buf, "retract", instance), a.ID)
		buf = strconv.AppendInt(append(buf, ','), int64(a.Attempt), 10)
	case policy.ActRefuse:
		buf = appendSeconds(appendString(appendHead(buf, "say_no", instance), a.ID), a.Wait)
	case policy.ActFail:
		buf = appendString(appendHead(buf, "report_failure", instance), a.ID)
	case policy.ActTimer:
		buf = appendSeconds(appendString(appendHead(buf, "notify_me", instance), a.Token), a.At)
	case policy.ActSubscribe:
		buf = append(appendHead(buf, "stream_changes", instance), ",true"...)
	case policy.ActFetch:
		buf = appendHead(buf, "list_all", instance)
	case policy.ActLog:
		buf = appendString(appendHead(buf, "say_log", instance), a.Text)
	}
	return append(buf, "]\n"...)
}

// AppendFault appends the line that reports the failure of an instance.
func AppendFault(buf []byte, instance int64, message string) []byte {
	return append(appendString(appendHead(buf, "give_in", instance), message), "]\n"...)
}

// AppendDone appends the line that ends a reply.
func AppendDone(buf []byte, batch int64) []byte {
	return append(appendHead(buf, "done", batch), "]\n"...)
}

func appendHead(buf []byte, name string, n int64) []byte {
	buf = append(append(append(buf, '[', '"'), name...), '"', ',')
	return strconv.AppendInt(buf, n, 10)
}

func appendString(buf []byte, s string) []byte {
	buf = append(buf, ',')
	for i := 0; i < len(s); i++ {
		if c := s[i]; c < 0x20 || c == '"' || c == '\\' || c >= 0x7f {
			quoted, _ := json.Marshal(s) // a string always marshals
			return append(buf, quoted...)
		}
	}
	return append(append(append(buf, '"'), s...), '"')
}

func appendSeconds(buf []byte, t time.Duration) []byte {
	return strconv.AppendFloat(append(buf, ','), math.Ceil(float64(t)/1e3)/1e6, 'f', -1, 64)
}

// maxLoadFigure is an upper bound of the valid figures in a load report.
const maxLoadFigure = 1e6

// DecodeLoad reads a separate load report, with the names of this protocol or the simulator's own. A single invalid
// figure makes the whole report invalid.
func DecodeLoad(text string) (policy.Load, error) {
	var in struct {
		Depth      *float64 `json:"depth"`
		Queue      *float64 `json:"queue"`
		Concurrent *float64 `json:"concurrent"`
		Inflight   *float64 `json:"inflight"`
		Mean       *float64 `json:"mean_ms"`
		Latency    *float64 `json:"latency_ms"`
	}
	if err := json.Unmarshal([]byte(text), &in); err != nil {
		return policy.Load{}, err
	}
	for _, v := range []*float64{in.Depth, in.Queue, in.Concurrent, in.Inflight, in.Mean, in.Latency} {
		if v != nil && !(*v >= 0 && *v <= maxLoadFigure) {
			return policy.Load{}, fmt.Errorf("%v in a load report is out of range", *v)
		}
	}
	firstSet := func(none float64, values ...*float64) float64 {
		for _, v := range values {
			if v != nil {
				return *v
			}
		}
		return none
	}
	l := policy.Load{Queue: firstSet(-1, in.Depth, in.Queue), Occupancy: firstSet(-1, in.Concurrent, in.Inflight),
		ServiceSeconds: max(firstSet(0, in.Mean, in.Latency), 0) / 1e3}
	l.Known = l.Queue >= 0 || l.Occupancy >= 0
	return l, nil
}
