package policy

import (
	"fmt"
	"math"
	"strings"
	"time"

	"craneglade/internal/sites"
)

// Effect says what repeating a request would do.
type Effect uint8

const (
	Safe   Effect = iota // may run any number of times
	Keyed                // carries a key; backends of one group drop repeats inside Class.Window
	Unsafe               // must never run twice
)

// Group says which backends share the memory that drops repeats of a keyed request.
type Group uint8

const (
	GroupAll  Group = iota // every backend
	GroupZone              // the backends of one zone
	GroupCell              // the backends of one cell
)

// Class describes one kind of request.
type Class struct {
	Name      string
	Aim       time.Duration // an answer within this earns the full worth
	Deadline  time.Duration // the client's whole patience; 0 means none was told
	Worth     float64
	LateWorth float64 // share of the worth that is paid after the aim
	Effect    Effect
	Group     Group
	Window    time.Duration // keyed: how long repeats are dropped, from the send of the first attempt
}

// Tenant is one customer of the service. QuotaPerS is its share in requests a second, over all nodes.
type Tenant struct {
	Name      string
	QuotaPerS float64
}

// Settings is what a node is told at its start. Durations and counts left zero mean "not told".
type Settings struct {
	Zone        string        // zone of this node
	CrossPrice  float64       // of an attempt that leaves the zone, in mean requests' worth
	Nodes       int           // nodes in service, this one included; at least 1
	Number      int           // this node's own among them, from 0
	MustAsk     bool          // the list comes only when asked for
	MustAskIn   time.Duration // after a loss the list must be asked for within this; 0 when not told
	Classes     []Class
	Tenants     []Tenant
	OverShare   float64       // worth of a request past its tenant's share, as a part of the usual
	MaxAttempts int           // attempts for one request; at least 1
	Cancel      bool          // attempts may be cancelled
	QueueOnly   bool          // load reports tell what waits and not what is held
	NoReports   bool          // answers hold no load reports
	Copies      bool          // a request may have two attempts out at a time
	RetryAfter  time.Duration // longest retry-after that clients honour; 0 when they see none
	DrainGrace  time.Duration
	ColdShare   float64 // a cold backend's capacity at its start, as a part of the full
	ColdFor     time.Duration
	FallFactor  float64       // this multiple of its present capacity,
	FallFor     time.Duration // sent for this long, brings a cold backend down
}

// Validate reports the first setting that makes no sense.
func (s *Settings) Validate() (err error) {
	check := func(ok bool, format string, args ...any) {
		if err == nil && !ok {
			err = fmt.Errorf("policy: "+format, args...)
		}
	}
	figures := func(at, names string, values ...float64) {
		for i, name := range strings.Fields(names) {
			v := values[i]
			check(v >= 0 && v <= math.MaxFloat64, "%s%s: %v must be a number that is not negative", at, name, v)
		}
	}
	check(len(s.Classes) > 0, "Classes: at least one class is needed")
	seen := map[string]bool{}
	for i, c := range s.Classes {
		at := fmt.Sprintf("Classes[%d] (%s): ", i, c.Name)
		check(c.Name != "" && !seen[c.Name], "Classes[%d].Name: %q is empty or used twice", i, c.Name)
		check(c.Effect <= Unsafe, "%sEffect: unknown value %d", at, c.Effect)
		check(c.Group <= GroupCell, "%sGroup: unknown value %d", at, c.Group)
		figures(at, "Aim Deadline Window Worth LateWorth", c.Aim.Seconds(), c.Deadline.Seconds(), c.Window.Seconds(),
			c.Worth, c.LateWorth)
		seen[c.Name] = true
	}
	for i, t := range s.Tenants {
		figures(fmt.Sprintf("Tenants[%d] (%s): ", i, t.Name), "QuotaPerS", t.QuotaPerS)
	}
	check(s.Nodes >= 1, "Nodes: %d is below 1", s.Nodes)
	check(s.MaxAttempts >= 1, "MaxAttempts: %d is below 1", s.MaxAttempts)
	check(s.ColdShare >= 0 && s.ColdShare <= 1, "ColdShare: %v is outside 0 to 1", s.ColdShare)
	figures("", "MustAskIn RetryAfter DrainGrace ColdFor FallFor FallFactor CrossPrice OverShare Number",
		s.MustAskIn.Seconds(), s.RetryAfter.Seconds(), s.DrainGrace.Seconds(), s.ColdFor.Seconds(), s.FallFor.Seconds(),
		s.FallFactor, s.CrossPrice, s.OverShare, float64(s.Number))
	return err
}

// EventKind names what happened.
type EventKind uint8

const (
	EvRequest         EventKind = iota // a client request arrived
	EvOutcome                          // an attempt ended
	EvDisconnected                     // the client gave up
	EvList                             // news of the server list
	EvTimer                            // a timer set by ActTimer is due
	EvResponseStarted                  // an answer that goes on while it comes has begun to; Attempt brings it
	EvShared                           // news of what the nodes of the fleet share; Shared brings it
	EvSites                            // how zones are to be used while some are lost; Zones and Admit bring it
	EvOther                            // anything the policy does not act on
)

// Outcome is how an attempt ended.
type Outcome uint8

const (
	OK            Outcome = iota
	Failed                // an error answer; may have run
	Full                  // turned away unseen; never ran
	TimedOut              // no answer in time; may have run
	ConnectFailed         // no connection in time; never ran
	Reset                 // the connection dropped; may have run
	Canceled              // cancelled; may have run
	NeverSent             // never sent; never ran
)

// Load is a backend's report. Queue and Held are negative when the report does not carry them.
type Load struct {
	Known          bool
	Queue          float64 // requests waiting; negative when not told
	Occupancy      float64 // requests held, waiting or in work; negative when not told
	ServiceSeconds float64 // seconds of service lately, without waiting; not positive when not told
}

// ListKind says how Event.Entries is to be read.
type ListKind uint8

const (
	ListDelta  ListKind = iota // changed entries only
	ListFull                   // all entries; a backend not in it has left
	ListCached                 // all entries as last seen, perhaps stale
	ListFailed                 // no entries: a call for the list failed, or the subscription dropped
)

// State is a backend's standing in the list.
type State uint8

const (
	Active State = iota
	Draining
	Removed
)

// Entry is one backend in a list.
type Entry struct {
	ID        uint32
	Hash      uint64 // subset.Hash of the list's id: the same at every node
	Zone      string
	Cell      int64
	Kind      string        // machine kind; only ever compared for equality
	Launched  time.Duration // clock time of its last start; 0 means long ago
	State     State
	Protocols uint8 // protocols beside the first one, a bit for each
}

// Event is one thing that happened at this node. Only the fields of its kind are read.
type Event struct {
	Kind              EventKind
	ID                string                // EvRequest, EvOutcome, EvGone: the request
	Class             string                // EvRequest
	Tenant            string                // EvRequest
	Remaining         time.Duration         // EvRequest: the client gives up after this
	RequiredProtocols uint8                 // EvRequest: bits of Entry.Speaks that a backend must have
	ClientRetry       bool                  // EvRequest: a client's repeat of its earlier try, where clients say so
	Backend           uint32                // EvOutcome
	Attempt           int                   // EvOutcome: number of the attempt, from 0 in the order of the sends
	Took              time.Duration         // EvOutcome: since the send
	Finished          bool                  // EvOutcome: the request is finished
	Outcome           Outcome               // EvOutcome
	Load              Load                  // EvOutcome
	List              ListKind              // EvList
	Entries           []Entry               // EvList; not kept by the policy
	Token             string                // EvTimer
	Shared            *SharedState          // EvShared; not kept by the policy
	Zones             map[string]sites.Zone // EvSites: without one a zone is used as usual; not changed by the policy
	Admit             map[string][2]float64 // EvSites: by class, parts admitted within shares, and past them
}

// SharedState is what the nodes of a fleet know together. Of what is not told, or zero, this node decides alone.
type SharedState struct {
	WithinQuota map[string]float64 // by tenant: part of its requests here that lie within its share
	Ejected     []uint32           // servers that enough nodes find broken
}

// ActionKind names what the node is to do.
type ActionKind uint8

const (
	ActSend      ActionKind = iota // start an attempt of ID at Server, with Wait as its time-out
	ActCancel                      // stop waiting for attempt Attempt of ID
	ActRefuse                      // final answer: refused, the client may try again after Wait
	ActFail                        // final answer: failed, no promise
	ActTimer                       // send EvTimer with Token once the clock reaches At
	ActSubscribe                   // subscribe to changes of the list
	ActFetch                       // ask for the whole list once
	ActLog                         // Text is worth an operator's look
)

// Action is one thing for the node to do, in the order given.
type Action struct {
	Kind         ActionKind
	ID           string
	Backend      uint32
	Attempt      int
	Wait         time.Duration
	At           time.Duration
	SendDeadline time.Duration // ActSend of a keyed class: clock time by which its last byte must be out; 0 for any
	Token        string
	Text         string
}
