package policy

import (
	"fmt"
	"math"
	"strings"
	"time"

	"craneglade/internal/identity"
	"craneglade/internal/sites"
)

// Effect says whether a request may run more than once.
type Effect uint8

const (
	Safe   Effect = iota // may run any number of times
	Keyed                // carries a key: backends of one group drop repeats within Class.Window
	Unsafe               // must never run twice
)

// Group says which backends share the deduplication of a keyed request.
type Group uint8

const (
	GroupAll  Group = iota // every backend
	GroupZone              // the backends of one zone
	GroupCell              // the backends of one cell
)

// Class describes one class of requests.
type Class struct {
	Name      string
	Aim       time.Duration // latency target: an answer within it has the full utility
	Deadline  time.Duration // client timeout; 0: not set
	Worth     float64       // utility of an answer
	LateWorth float64       // fraction of the utility that an answer after the target has
	Effect    Effect
	Group     Group
	Window    time.Duration // Keyed: time for which repeats are dropped, from the send of the first attempt
}

// Tenant is one customer of the service. QuotaPerS is its quota in requests per second over all nodes.
type Tenant struct {
	Name      string
	QuotaPerS float64
}

// Settings are the settings of a node at its start. A duration or count of 0 means that it is not set.
type Settings struct {
	Zone        string        // zone of this node
	CrossPrice  float64       // of an attempt that leaves the zone, as a multiple of the mean utility of a request
	Nodes       int           // nodes in service, this one included; at least 1
	Number      int           // index of this node among them, from 0
	MustAsk     bool          // the list comes only on request
	MustAskIn   time.Duration // time within which a lost list must be requested again; 0: not set
	Classes     []Class
	Tenants     []Tenant
	OverShare   float64       // utility of a request over its tenant's quota, as a fraction of its normal utility
	MaxAttempts int           // per request; at least 1
	Cancel      bool          // attempts may be cancelled
	QueueOnly   bool          // load reports hold the queue length only, not the requests in work
	NoReports   bool          // answers carry no load reports
	Copies      bool          // a request may have two attempts in flight at a time (hedging)
	RetryAfter  time.Duration // longest retry-after that clients honour; 0: they ignore it
	DrainGrace  time.Duration // time after the notification of a drain within which requests may still be sent
	ColdShare   float64       // capacity of a backend at its start, as a fraction of the full one
	ColdFor     time.Duration // time from its start until its capacity is full
	FallFactor  float64       // load, as a multiple of its present capacity, that brings a cold backend down
	FallFor     time.Duration // if it lasts this long
}

// Validate returns an error that names the first invalid setting, if any.
func (s *Settings) Validate() (err error) {
	check := func(ok bool, format string, args ...any) {
		if err == nil && !ok {
			err = fmt.Errorf("policy: "+format, args...)
		}
	}
	figures := func(at, names string, values ...float64) {
		for i, name := range strings.Fields(names) {
			v := values[i]
			check(v >= 0 && v <= math.MaxFloat64, "%s%s: %v must be finite and not negative", at, name, v)
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
	EvOutcome                          // an attempt has ended
	EvDisconnected                     // the client has disconnected or given up
	EvList                             // an update of the backend list
	EvTimer                            // a timer set by ActTimer is due
	EvResponseStarted                  // the client has started to receive a streamed response, of attempt Attempt
	EvShared                           // an update of the fleet's shared state, in Shared
	EvSites                            // limits on zones and classes while sites are lost, in Zones and Admit
	EvListCurrent                      // discovery has answered, and the list has not changed
	EvOther                            // anything the policy does not act on
)

// Outcome is how an attempt ended.
type Outcome uint8

const (
	OK            Outcome = iota // answered
	Failed                       // error response; may have run
	Full                         // rejected for lack of capacity; never ran
	TimedOut                     // no response in time; may have run
	ConnectFailed                // no connection in time; never ran
	Reset                        // the connection dropped; may have run
	Canceled                     // cancelled; may have run
	NeverSent                    // not sent, for no fault of the backend; never ran
)

// MayHaveRun reports whether a request may have run after an attempt with this outcome.
func (o Outcome) MayHaveRun() bool { return o != Full && o != ConnectFailed && o != NeverSent }

// Load is a backend's load report.
type Load struct {
	Known          bool    // the answer carried a report
	Queue          float64 // requests waiting; negative: unknown
	Occupancy      float64 // requests waiting or in work; negative: unknown
	ServiceSeconds float64 // recent service time of a request, without waiting; 0 or negative: unknown
}

// ListKind says what Event.Entries holds.
type ListKind uint8

const (
	ListDelta  ListKind = iota // changed entries only
	ListFull                   // all entries; a backend not among them is removed
	ListCached                 // all entries as last seen, perhaps stale
	ListFailed                 // no entries: a fetch failed or the subscription was lost
)

// State is the state of a backend in the list.
type State uint8

const (
	Active   State = iota
	Draining       // gets new requests for part of Settings.DrainGrace at most
	Removed        // no longer listed
)

// Entry is one backend in a list.
type Entry struct {
	ID   uint32
	Hash uint64 // subset.Hash of the backend's id in the list: the same at every node
	Zone string
	Cell int64
	Kind string // machine kind; only compared for equality

	// ZoneUnknown and CellUnknown tell that Zone or Cell may not hold: they equal no other.
	ZoneUnknown bool
	CellUnknown bool

	Launched  time.Duration // clock time of its latest start; 0: unknown, long ago
	State     State
	Protocols uint8 // bit set of the protocols that it speaks besides the first one

	// EndedAt is for Removed: the clock time since which another process may have its addresses; 0 if none is known.
	EndedAt time.Duration
}

// Event is one thing that happened at this node. Only the fields of its kind are read.
type Event struct {
	Kind              EventKind
	ID                string                // EvRequest, EvOutcome, EvDisconnected, EvResponseStarted: the request
	Class             string                // EvRequest
	Tenant            string                // EvRequest
	Remaining         time.Duration         // EvRequest: time until the client gives up
	RequiredProtocols uint8                 // EvRequest: bits of Entry.Protocols that a backend must have
	ClientRetry       bool                  // EvRequest: marked by the client as a retry of an earlier request
	Backend           uint32                // EvOutcome
	Attempt           int                   // EvOutcome, EvResponseStarted: from 0 in the order of the sends
	Took              time.Duration         // EvOutcome: since the send
	Contact           identity.Contact      // EvOutcome: with the process at its backend's address
	Finished          bool                  // EvOutcome: the client has its final answer or has disconnected
	Outcome           Outcome               // EvOutcome
	Load              Load                  // EvOutcome
	List              ListKind              // EvList
	Entries           []Entry               // EvList; not kept by the policy
	Token             string                // EvTimer
	Shared            *SharedState          // EvShared; not kept by the policy
	Zones             map[string]sites.Zone // EvSites: by zone; a missing one has no limit; not changed by the policy
	Admit             map[string][2]float64 // EvSites: by class, fractions admitted within quota and over quota
}

// SharedState is what the nodes of a fleet have agreed on. This node decides alone about what is missing or zero.
type SharedState struct {
	WithinQuota map[string]float64 // by tenant: fraction of its requests at this node that are within its quota
	Ejected     []uint32           // backends that enough nodes report as failing
}

// ActionKind names what the node is to do.
type ActionKind uint8

const (
	ActSend      ActionKind = iota // start an attempt of ID at Backend, with Wait as its time-out
	ActCancel                      // cancel attempt Attempt of ID
	ActRefuse                      // final answer: refused; the client may retry after Wait
	ActFail                        // final answer: failed; it may have run
	ActTimer                       // send EvTimer with Token once the clock reaches At
	ActSubscribe                   // subscribe to changes of the list
	ActFetch                       // fetch the full list once
	ActLog                         // log Text for the operator
)

// Action is one thing for the node to do, in the order given.
type Action struct {
	Kind         ActionKind
	ID           string
	Backend      uint32
	Attempt      int
	Wait         time.Duration
	At           time.Duration
	SendDeadline time.Duration // ActSend of a keyed class: clock time by which all of it must be written; 0: any
	Token        string
	Text         string
}
