package wire

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"
	"time"

	"craneglade/policy"
)

const createLine = `["create",3,77,{"balancers":2,"zone":"n","discovery":"ask","over_share_worth":0.1,"new_key":[1],` +
	`"grades":[{"name":"a","aim_s":0.4,"deadline_s":1.5,"gain":3,"late_worth":0,"effect":"guarded","group":"zone",` +
	`"repeat_window_s":2}],"projects":[{"name":"t","quota_per_s":9.5,"share":0.5}],` +
	`"blend":{"whole":0.6,"worst_class":0.2},"tariffs":{"cross_zone":0.08},"policy_limits":{"cancel":true,"parallel_tries":true,` +
	`"retry_after":true,"max_retry_after_s":2,"max_attempts":6},"invariants":{"cold_s":9,"cold_share":0.32,` +
	`"drain_grace_s":0.5,"fall_s":2,"overload_factor":3,"must_ask_in_s":10}}]`

func TestDecode(t *testing.T) {
	for line, want := range map[string]Message{
		`["round",8.41225,12]`: {Kind: BatchStart, Now: 8412250 * time.Microsecond, Batch: 12},
		`["your_turn"]`:        {Kind: BatchEnd},
		`["power_off",3]`:      {Kind: PowerOff, Instance: 3},
		`["demand",3,"r-b","route",null,"k:1",0.24,0.012,false,false]`: {Kind: Event, Instance: 3, Event: policy.Event{
			Kind: policy.EvRequest, ID: "r-b", Class: "route", Remaining: 240 * time.Millisecond}},
		`["demand",3,"r-b","route",null,null,0.24,null,true]`: {Kind: Event, Instance: 3, Event: policy.Event{
			Kind: policy.EvRequest, ID: "r-b", Class: "route", Remaining: 240 * time.Millisecond, ClientRetry: true}},
		`["demand",3,"r-b","route","t",null,0.24]`: {Kind: Event, Instance: 3, Event: policy.Event{
			Kind: policy.EvRequest, ID: "r-b", Class: "route", Tenant: "t", Remaining: 240 * time.Millisecond}},
		`["ended",3,"r-b",1,4294967295,0.0185,true,"Ok",{"depth":3,"mean_ms":14.5}]`: {Kind: Event, Instance: 3,
			Event: policy.Event{Kind: policy.EvOutcome, ID: "r-b", Attempt: 1, Backend: 4294967295, Finished: true,
				Took: 18500 * time.Microsecond, Load: policy.Load{Known: true, Queue: 3, Occupancy: -1, ServiceSeconds: 0.0145}}},
		`["ended",3,"r-b",0,5,0.2,false,"ConnectError",null]`: {Kind: Event, Instance: 3, Event: policy.Event{
			Kind: policy.EvOutcome, ID: "r-b", Backend: 5, Took: 200 * time.Millisecond,
			Outcome: policy.ConnectFailed}},
		`["abandoned",5,"r-a"]`: {Kind: Event, Instance: 5, Event: policy.Event{Kind: policy.EvDisconnected, ID: "r-a"}},
		`["flowing",3,"r-b",5,0.009,1]`: {Kind: Event, Instance: 3, Event: policy.Event{
			Kind: policy.EvResponseStarted, ID: "r-b", Attempt: 1}},
		`["tick_due",3,"sweep"]`:           {Kind: Event, Instance: 3, Event: policy.Event{Kind: policy.EvTimer, Token: "sweep"}},
		`["checked",3,7,"Ok",0.0014,null]`: {Kind: Event, Instance: 3, Event: policy.Event{Kind: policy.EvOther}},
		`["targets",3,"lost",4,null]`: {Kind: Event, Instance: 3, Event: policy.Event{
			Kind: policy.EvList, List: policy.ListFailed}},
		`["targets",3,"incr",41,[[1.5,"n",2,"std",6.1,"leaving",7]]]`: {Kind: Event, Instance: 3, Event: policy.Event{
			Kind: policy.EvList, Entries: []policy.Entry{{ID: 7, Hash: ringPosition(7), Zone: "n", Cell: 2, Kind: "std",
				Launched: 6100 * time.Millisecond, State: policy.Draining}}}},
	} {
		var d Decoder
		m, err := d.Decode([]byte(line))
		if err != nil {
			t.Errorf("%s: %v", line, err)
		} else if !reflect.DeepEqual(*m, want) {
			t.Errorf("%s:\n got %+v\nwant %+v", line, *m, want)
		}
	}
}

func TestDecodeCreate(t *testing.T) {
	var d Decoder
	m, err := d.Decode([]byte(createLine))
	if err != nil {
		t.Fatal(err)
	}
	want := policy.Settings{Zone: "n", Nodes: 2, MustAsk: true, MustAskIn: 10 * time.Second, OverShare: 0.1, CrossPrice: 0.08,
		Classes: []policy.Class{{Name: "a", Aim: 400 * time.Millisecond, Deadline: 1500 * time.Millisecond, Worth: 3,
			Effect: policy.Keyed, Group: policy.GroupZone, Window: 2 * time.Second}},
		Tenants:     []policy.Tenant{{Name: "t", QuotaPerS: 9.5}},
		MaxAttempts: 6, Cancel: true, Copies: true, NoReports: true, RetryAfter: 2 * time.Second,
		DrainGrace: 500 * time.Millisecond, ColdShare: 0.32, ColdFor: 9 * time.Second,
		FallFactor: 3, FallFor: 2 * time.Second}
	if m.Kind != Create || m.Instance != 3 || m.Seed != 77 || !reflect.DeepEqual(m.Settings, want) {
		t.Errorf("got %+v\nwant settings %+v", m, want)
	}
}

// The decoder reuses its memory: no state of one line may appear in the next.
func TestDecoderReuseLeavesNoState(t *testing.T) {
	var d Decoder
	if _, err := d.Decode([]byte(`["ended",3,"r",0,5,0.2,true,"Failed",{"depth":3}]`)); err != nil {
		t.Fatal(err)
	}
	m, err := d.Decode([]byte(`["demand",3,"q","c",null,null,1]`))
	if err != nil || m.Event.Finished || m.Event.Load.Known || m.Event.Outcome != policy.OK {
		t.Errorf("%+v, %v", m, err)
	}
}

func TestDecodeMalformed(t *testing.T) {
	for line, want := range map[string]string{
		``:                                       "JSON",
		`{`:                                      "JSON",
		`{"a":1}`:                                "array",
		`[]`:                                     "array",
		`[7]`:                                    "name",
		`["nonsense",3]`:                         `unknown message "nonsense"`,
		`["round",null,1]`:                       "clock_s: missing",
		`["round","x",1]`:                        "clock_s: must be a number",
		`["round",1e30,1]`:                       "clock_s: is out of range",
		`["power_off"]`:                          "who: missing",
		`["create",1,5]`:                         "info: missing",
		`["create",1,5,{"discovery":"x"}]`:       "discovery",
		`["create",1,5,{"grades":[{"name":1}]}]`: "info",
		`["create",1,5,{"grades":[{"name":"a","effect":"x"}]}]`: "unknown effect",
		`["demand",3,"r",null,null,null,1]`:                     "service: missing",
		`["demand",3,"r","c",null,null]`:                        "grace_s: missing",
		`["demand",3,"r","c",null,null,1,null,"yes"]`:           "repeat: must be true or false",
		`["demand",3,7,"c",null,null,1]`:                        "corr: must be text",
		`["ended",3,"r",0,5,0.2,true,"Odd"]`:                    `outcome: unknown value "Odd"`,
		`["ended",3,"r",0,-5,0.2,true,"Ok"]`:                    "backend: is out of range",
		`["ended",3,"r",0.5,5,0.2,true,"Ok"]`:                   "seq_no: must be a whole number",
		`["ended",3,"r",0,5,0.2,1,"Ok"]`:                        "last: must be true or false",
		`["ended",3,"r",0,5,0.2,true,"Ok",[]]`:                  "load: must be an object",
		`["targets",3,"total",1,null]`:                          "items: missing",
		`["targets",3,"some",1,[]]`:                             "how: unknown value",
		`["targets",3,"total",1,[7]]`:                           "items: an entry must be an array",
		`["targets",3,"total",1,[[1,"n",0,"k",0,"up",7]]]`:      "availability: unknown value",
		`["targets",3,"total",1,[[1,"n",0,"k",0,"active"]]]`:    "backend: missing",
	} {
		var d Decoder
		_, err := d.Decode([]byte(line))
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want %q in it", line, err, want)
		}
	}
}

func TestAppendAction(t *testing.T) {
	for want, a := range map[string]policy.Action{
		`["relay",3,"r-b",51530247,0.08]`: {Kind: policy.ActSend, ID: "r-b", Backend: 51530247, Wait: 80 * time.Millisecond},
		`["retract",3,"r-b",2]`:           {Kind: policy.ActCancel, ID: "r-b", Attempt: 2},
		`["say_no",3,"r-b",0.25]`:         {Kind: policy.ActRefuse, ID: "r-b", Wait: 250 * time.Millisecond},
		`["report_failure",3,"r-b"]`:      {Kind: policy.ActFail, ID: "r-b"},
		`["notify_me",3,"tick",8.912251]`: {Kind: policy.ActTimer, Token: "tick", At: 8912250*time.Microsecond + 1},
		`["stream_changes",3,true]`:       {Kind: policy.ActSubscribe},
		`["list_all",3]`:                  {Kind: policy.ActFetch},
		`["say_log",3,"a \"b\" é"]`:       {Kind: policy.ActLog, Text: `a "b" é`},
	} {
		if got := string(AppendAction(nil, 3, &a)); got != want+"\n" {
			t.Errorf("got %swant %s", got, want)
		}
	}
	if got := string(AppendFault(nil, 3, "x")) + string(AppendDone(nil, 9)); got != "[\"give_in\",3,\"x\"]\n[\"done\",9]\n" {
		t.Error(got)
	}
}

// Decoding any line gives a message or an error, and an instance that is running handles every decoded event.
func FuzzDecode(f *testing.F) {
	for _, line := range []string{
		createLine, `["round",8.41225,12]`, `["your_turn"]`, `["power_off",3]`, `["abandoned",5,"r-a"]`, `["tick_due",3,"tick"]`,
		`["create",0,18446744073709551615,{"grades":[{"name":"a","effect":"free"}],"invariants":{"cold_s":1e30}}]`,
		`["demand",3,"r-b","route",null,"k:1",0.24,0.012,true,false]`,
		`["ended",3,"r-b",1,4294967295,0.0185,true,"Ok",{"depth":-3,"mean_ms":1e300,"concurrent":1e-300}]`,
		`["targets",3,"incr",41,[[1.5,"n",2,"std",6.1,"leaving",7]]]`, `["memo",3,1,"aGkgNw=="]`,
	} {
		f.Add([]byte(line))
	}
	f.Fuzz(func(t *testing.T, line []byte) {
		var d Decoder
		m, err := d.Decode(line)
		if (m == nil) == (err == nil) {
			t.Fatalf("%q: message %v and error %v", line, m, err)
		}
		if err != nil {
			return
		}
		node, err := policy.New(policy.Settings{Nodes: 2, MaxAttempts: 2, Classes: []policy.Class{{Name: "route"}}}, 1)
		if err != nil {
			t.Fatal(err)
		}
		if m.Kind == Create {
			if node, err = policy.New(m.Settings, m.Seed); err != nil {
				return // rejected with an error
			}
		}
		var buf []byte
		for _, a := range node.Handle(m.Now, &m.Event, nil) {
			if buf = AppendAction(buf[:0], 1, &a); !json.Valid(buf) {
				t.Fatalf("%q: action %+v became %q", line, a, buf)
			}
		}
	})
}

// Load reports are expected, and of the queue only, just where the settings say so.
func TestSettingsLoadReportKinds(t *testing.T) {
	for text, want := range map[string]policy.Settings{
		`{"report":{"how":"piggyback","names":["concurrent","depth"]}}`: {},
		`{"report":{"how":"piggyback","names":["depth"]}}`:              {QueueOnly: true},
		`{"report":{"how":"pull","names":["depth"]}}`:                   {NoReports: true},
		`{"report":{"how":"silent"}}`:                                   {NoReports: true},
		`{}`:                                                            {NoReports: true},
	} {
		s, err := DecodeSettings([]byte(text))
		if err != nil || s.Policy.QueueOnly != want.QueueOnly || s.Policy.NoReports != want.NoReports {
			t.Errorf("%s: %+v, %v", text, s.Policy, err)
		}
	}
}

// A report with one invalid figure is rejected as a whole: used in part, it would make a backend seem idle or overloaded.
func TestDecodeLoadInvalidFigures(t *testing.T) {
	for _, c := range []struct {
		text  string
		queue float64
		ok    bool
	}{
		{`{"inflight":7,"queue":2,"util":0.61}`, 2, true},
		{`{"concurrent":7,"depth":2.5}`, 2.5, true},
		{`{}`, -1, true},
		{`{"concurrent":-7,"depth":2}`, 0, false},
		{`{"concurrent":7,"depth":1e300}`, 0, false},
		{`{"concurrent":7,"depth":NaN}`, 0, false},
		{`{"concurrent":"7","depth":2}`, 0, false},
		{`{"concurrent":7`, 0, false},
		{`7`, 0, false},
	} {
		l, err := DecodeLoad(c.text)
		if (err == nil) != c.ok || c.ok && l.Queue != c.queue || l.Known != (c.ok && c.queue >= 0) {
			t.Errorf("%s: %+v, %v", c.text, l, err)
		}
	}
}
