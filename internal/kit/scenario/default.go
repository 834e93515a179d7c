package scenario

import (
	"fmt"
	"reflect"
	"time"

	"craneglade/internal/tomlfile"
)

const ms = Duration(time.Millisecond)
const sec = Duration(time.Second)

// Default returns the scenario of an empty file: the service configurator-nw on a busy morning.
func Default() *Scenario {
	return &Scenario{
		Length: 30 * sec,
		Nodes:  Nodes{Count: 3, Cores: 1, MemoryMB: 128, Sockets: 512},
		Traffic: Traffic{Rate: 300, Shape: "steady", Peak: 1, Swing: 0.25, Period: 12 * sec, OverQuotaUtility: 0.2,
			QuotaFactor: 1.2},
		Net:  Net{SameSite: 250 * Duration(time.Microsecond), CrossSite: 2 * ms, Jitter: 0.2},
		List: List{Mode: "push", Lag: 2 * sec, AddLag: sec, Spread: 80 * ms},
		Clients: Clients{Retries: 1, Backoff: "fixed", RetryWait: 80 * ms, HonourRetryAfter: 0.6, MaxRetryAfter: 2 * sec, TryFraction: 0.7,
			Impatient: 0.01, FrontNotice: 2500 * ms, Chunked: 0.1},
		Rules:      Rules{DrainGrace: 2 * sec, OverloadFactor: 4, OverloadDuration: 1500 * ms, Attempts: 3},
		Report:     Report{Interval: 700 * ms, Delay: 250 * ms, Noise: 0.02},
		Congestion: Congestion{At: 5.5, Window: 2 * sec, SlowFactor: 2.5, Below: 0.33, RecoveryWindow: 3500 * ms, MaxDuration: 24 * sec},
		Conn:       Conn{Max: 76, HandshakeWork: 27 * ms, IdleTimeout: 60 * sec, ConnectTimeout: 200 * ms},
		Sites:      []Site{{"tacoma", 0.45}, {"everett", 0.3}, {"olympia", 0.25}},
		MachineKinds: []MachineKind{
			{Name: "gen-a", Cores: 4, Speed: 0.97, Spread: 0.1, Slots: 4, Queue: 1600, Thrash: 0.42, ThrashAt: 11, ColdFraction: 0.48,
				WarmUp: 6 * sec, WarmBy: "requests", PauseEvery: 7 * sec, Pause: 25 * ms, ErrorFraction: 0.001, Cancel: "queued"},
			{Name: "gen-b", Cores: 4, Speed: 0.6, Spread: 0.1, Slots: 4, Queue: 1400, Thrash: 0.42, ThrashAt: 11, ColdFraction: 0.4,
				WarmUp: 5 * sec, WarmBy: "requests", PauseEvery: 5 * sec, Pause: 30 * ms, ErrorFraction: 0.001, Cancel: "all"}},
		Fleet: []Fleet{{"gen-a", 6}, {"gen-b", 5}},
		Classes: []Class{
			{Name: "save-config", Share: 0.68, Work: 70 * ms, Spread: 0.4, AttemptNoise: 0.3, LatencyTarget: 400 * ms, Deadline: sec, Utility: 10,
				Effect: "keyed", Group: "site", Window: 600 * ms, Bytes: 600},
			{Name: "send-quote", Share: 0.32, Work: 70 * ms, Spread: 0.5, AttemptNoise: 0.3, LatencyTarget: 500 * ms, Deadline: 2500 * ms, Utility: 2,
				Effect: "unsafe", Group: "all", Bytes: 300}},
		Tenants: []Tenant{{"cascade-lumber", 0.26, 0.9}, {"sound-supply", 0.19, 1}, {"ridgeline-build", 0.18, 1},
			{"tidewater-doors", 0.12, 0.9}, {"fircrest-yard", 0.1, 0.9}, {"bayside-millwork", 0.08, 0.9}, {"northfork-home", 0.04, 1},
			{"cedar-hollow", 0.03, 0.9}},
	}
}

// applyDefaults sets what the file omits to its default. An array of tables in the file replaces the default's whole array; its
// entries default to the values of the default's first entry, except for names.
func (s *Scenario) applyDefaults() {
	def := Default()
	kinds, classes, tenants, sites := s.MachineKinds, s.Classes, s.Tenants, s.Sites // as the file has them
	merge(reflect.ValueOf(s).Elem(), reflect.ValueOf(def).Elem(), "", s.keys)
	for i := range kinds {
		d := def.MachineKinds[0]
		d.Slots = max(s.MachineKinds[i].Cores, 1)
		if s.MachineKinds[i].Cores == 0 {
			d.Slots = d.Cores
		}
		mergeEntry(&s.MachineKinds[i], &d, entryKey("kind", i), s.keys)
	}
	for i := range classes {
		d := def.Classes[0]
		if s.Classes[i].Effect != "" && s.Classes[i].Effect != "keyed" {
			d.Group, d.Window = "all", 0
		}
		mergeEntry(&s.Classes[i], &d, entryKey("class", i), s.keys)
		if s.Classes[i].Effect != "keyed" {
			s.Classes[i].Group, s.Classes[i].Window = "all", 0
		}
	}
	for i := range tenants {
		mergeEntry(&s.Tenants[i], &Tenant{Share: 1, Usage: 1}, entryKey("tenant", i), s.keys)
	}
	for i := range sites {
		mergeEntry(&s.Sites[i], &Site{Share: 1}, entryKey("site", i), s.keys)
	}
	for i := range s.Events {
		d := Event{}
		switch s.Events[i].Action {
		case "deploy":
			d = Event{Batch: 0.15, Drain: 4 * sec}
		case "slow", "vanish", "crash":
			d = Event{Backends: 1}
		case "cut-nodes", "cut-links":
			d = Event{Direction: "both"}
		case "kill", "term", "stall":
			if s.Events[i].Fraction == 0 {
				d = Event{Node: 1}
			}
		}
		mergeEntry(&s.Events[i], &d, entryKey("event", i), s.keys)
	}
}

func entryKey(table string, i int) string { return fmt.Sprintf("%s[%d]", table, i) }

func mergeEntry[T any](v, def *T, prefix string, keys *tomlfile.Keys) {
	merge(reflect.ValueOf(v).Elem(), reflect.ValueOf(def).Elem(), prefix, keys)
}

// merge copies to v the fields of def whose keys the file does not set. An explicit zero in the file is kept.
func merge(v, def reflect.Value, prefix string, keys *tomlfile.Keys) {
	t := v.Type()
	for i := range t.NumField() {
		name := t.Field(i).Tag.Get("toml")
		if name == "" {
			continue
		}
		key := name
		if prefix != "" {
			key = prefix + "." + name
		}
		f := v.Field(i)
		switch {
		case f.Kind() == reflect.Struct:
			merge(f, def.Field(i), key, keys)
		case f.Kind() == reflect.Slice:
			if f.Len() == 0 {
				f.Set(def.Field(i))
			}
		default:
			if !keys.Has(key) {
				f.Set(def.Field(i))
			}
		}
	}
}
