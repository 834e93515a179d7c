package policy

import (
	"math/rand/v2"

	"craneglade/internal/decay"
	"craneglade/internal/health"
	"craneglade/internal/pace"
	"craneglade/internal/sites"
)

type mode uint8

const (
	normal mode = iota
	overload
	discard
)

type class struct {
	Class
	index    int           // among the classes told of
	requests float64       // decayed count,
	over     float64       // and of those past their tenants' shares
	took     decay.Moments // latencies of answers
	out      []*attempt    // first attempts that may get a copy, in the order of the sends
	least    float64       // least time left of a first try lately
	lesser   bool          // worth less than the average for its work
	near     decay.Mean    // latencies of answers that crossed no zone at a price
	best     float64       // least mean of them
	stay     float64       // part of the requests that stays in this zone while there is a backend for it
}

type tenant struct {
	Tenant
	count, rate float64 // requests since the last plan; requests a second lately
	told        float64 // part of them that lies within the share, by what the nodes know together
}

type attempt struct {
	server  *server
	request *request
	open    bool
	called  bool    // off, or never to be
	met     float64 // occupancy plus one that it met
	at      float64 // when it was sent
	stray   bool    // lost, by what its backend answered since
}

type request struct {
	id       string
	class    *class
	lesser   bool    // diverted first
	needs    uint8   // protocols that its backend must speak
	until    float64 // when the client gives up
	aim      float64 // when its answer stops being worth anything
	luck     float64 // whether zones that are used in part are for it
	attempts []*attempt
	first    attempt     // most requests have one, which needs no memory of its own
	list     [1]*attempt // and neither does the list of it
	open     int         // attempts without an outcome
	final    bool        // the client has its answer; nothing more may be sent
	mayRun   *server     // backend of the first attempt that may have run
	by       float64     // when that was sent and its class's window: no keyed repeat may go out later; 0 before
	avoid    *server     // the backend just tried: not twice in a row
}

type server struct {
	Entry
	launched      float64
	wide          bool    // beyond the part of the fleet that this node works with
	grace         float64 // drains, or the list came empty, but used until then
	mode          mode
	own           float64    // this node's attempts in flight
	flying        []*attempt // out, in the order of the sends; those that have ended are taken off later
	ownLag, ownAt float64    // own at about the time of the latest report, and when that was brought up to date
	sentAt        float64    // when something was last sent to it
	ghosts        float64    // attempts that timed out here lately: no report shows their end yet
	others        float64    // occupancy by reports beyond this node's own and the mean of all, smoothed
	reportAt      float64
	turned        float64 // requests that it has turned away since its last answer
	full, fullAt  float64 // occupancy when it last did, and when that was
	room          float64 // smallest occupancy that drew 'full', infinite before one did
	slots, alike  float64 // most requests that it had in work at once, by its reports, and that any of its kind had
	typical       float64 // service time of its kind
	lastOK        float64
	lostAt        float64         // when an attempt that others had overtaken timed out
	work, base    float64         // reported time in work, smoothed, and the least that its kind's mean has been
	health.Record                 // of the backend as a whole
	classes       []health.Record // of each class there, as some fail where others work; nil before one failed
	served        float64         // decayed count of answers; sends would also count what a crowded backend turns away
	chance        float64         // while cold: part of this node's picks that a warm one of its kind serves

	latency, occupancy float64 // decayed sums of latencies, and of the occupancies plus one that they were met at
}

// Balancer is the state of one node. It is not safe for concurrent use.
type Balancer struct {
	set      Settings
	tune     Tuning
	rng      *rand.Rand
	classes  []*class
	servers  map[uint32]*server
	order    []*server // sorted by id
	requests map[string]*request
	tenants  []*tenant
	tenant   map[string]*tenant
	part     float64    // this node's part of all traffic
	sharers  float64    // nodes that work with a backend, by their mean
	born     float64    // when the first plan was made
	worth    float64    // mean worth of a request lately
	far      decay.Mean // latencies of answers from other zones, as parts of their class's in this one
	sends    decay.Mean // attempts, and those of them that left the zone at a price
	level    decay.EWMA // what others hold at a backend by their mean
	retries  float64    // further attempts that the budget allows
	now      float64    // latest time seen
	planAt   float64
	askAt    float64       // when to ask for the list again; 0: not wanted
	tickAt   float64       // when the next plan is due
	many     float64       // sharers as a multiple of those that are few
	pace     pace.Pacer    // how fast sends may grow while some requests are refused
	gates    sites.Limiter // while sites are lost
	flying   float64       // own attempts that are out,
	drift    decay.Trend   // how that moves,
	swing    float64       // and so what others hold since their reports
	out      []Action

	aim, half      float64 // shortest told aim, and half the shortest told deadline; infinite when none was told
	total, lessers float64 // decayed counts of requests, and of those that are diverted first
	picks, span    float64 // decayed counts of draws, and of the seconds that they were counted in
}
