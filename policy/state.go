package policy

import (
	"math/rand/v2"

	"craneglade/internal/decay"
	"craneglade/internal/health"
	"craneglade/internal/identity"
	"craneglade/internal/pace"
	"craneglade/internal/sites"
)

// mode is how much traffic a backend gets. Modes are ordered: a higher one gets less.
type mode uint8

const (
	normal   mode = iota
	overload      // a fraction of the requests is diverted
	discard       // no request is sent
)

// class is a request class with its recent statistics.
type class struct {
	Class
	index            int           // in Balancer.classes; its length for a class that is not configured
	requests         float64       // decayed count
	overQuota        float64       // decayed count of those over their tenants' quotas
	latency          decay.Moments // latencies of answers
	hedgeable        []*attempt    // first attempts that may be hedged, in the order of the sends
	minRemaining     float64       // lowest recent time to the deadline at the arrival of a first try
	lowPriority      bool          // its utility in relation to its latency is below the average
	localLatency     decay.Mean    // latencies of answers that took no priced cross-zone send
	bestLocalLatency float64       // lowest recent mean of them
	localFraction    float64       // fraction of requests that stay in this zone if a backend there can take them
}

// tenant is a tenant with its recent request rate at this node.
type tenant struct {
	Tenant
	count, rate float64 // requests since the last refresh; recent requests per second
	withinQuota float64 // fraction of them within the quota, by the fleet's shared state; 0 when unknown
}

// attempt is one attempt of a request at a backend.
type attempt struct {
	backend         *backend
	request         *request
	repeatGroup     identity.Group // of its backend when it was sent
	open            bool           // no outcome yet
	noCancel        bool           // cancelled already, or never to be cancelled
	occupancyAtSend float64        // of its backend, this attempt included
	sentAt          float64
	connectedAt     float64 // when its connection was open; at the latest, until that is known
	presumedLost    bool    // its backend has answered a much later attempt
}

// request is a request without a final answer, or with attempts still open.
type request struct {
	id                string
	class             *class
	lowPriority       bool    // diverted before others
	requiredProtocols uint8   // that its backend must speak
	deadline          float64 // when the client gives up
	usefulUntil       float64 // when an answer no longer has any utility
	zoneDraw          float64 // random draw that decides whether it may use zones limited to a fraction of the requests
	attempts          []*attempt
	firstAttempt      attempt     // most requests have only one, which then needs no allocation
	attemptsBuf       [1]*attempt // and neither does the slice
	open              int         // attempts without an outcome
	done              bool        // the client has its answer or has disconnected: nothing more is sent
	mayHaveRun        *attempt    // first attempt that may have run
	retryBefore       float64     // end of Class.Window from the send of that attempt, for keyed retries; 0 before
	avoid             *backend    // the backend tried last: not used twice in a row
}

// backend is a listed backend with what this node knows of it.
type backend struct {
	Entry
	launched      float64
	outsideSubset bool    // not in the subset of the fleet that this node works with
	usableUntil   float64 // while it drains, or after the list came empty, it gets requests until then
	mode          mode
	inFlight      float64    // this node's attempts in flight
	attempts      []*attempt // outstanding, in the order of the sends; ended ones are removed later

	// inFlight with a delay, about as it was when the latest report was made, and when it was last brought up to date.
	laggedInFlight, laggedAt float64

	sentAt                float64 // time of the latest send
	orphans               float64 // attempts that timed out recently and may still run: no report shows their end yet
	reportedExcess        float64 // reported occupancy beyond laggedInFlight and othersLoad, smoothed
	reportAt              float64 // -Inf before the first report where reports show the queue only
	rejections            float64 // Full answers since the latest successful one
	fullOccupancy, fullAt float64 // R at the latest Full answer, taken as the occupancy then, and its time
	minFullOccupancy      float64 // lowest recent occupancy that drew Full; infinite before the first one

	// Most requests recently in work at once, by this backend's reports and by those of any of its kind.
	concurrency, kindConcurrency float64

	kindServiceTime        float64
	lastOKAt               float64
	lossAt                 float64         // when an attempt that was presumed lost timed out
	workTime, baseWorkTime float64         // reported service time, smoothed, and the lowest mean of its kind
	process                identity.Record // whether its addresses have the process that the list names
	health.Record                          // of the backend as a whole
	classHealth            []health.Record // by class, as one class alone may fail; nil before a failure
	answers                float64         // decayed count; unlike sends it leaves out rejected requests
	warmShare              float64         // while cold: fraction of the picks that a warm one of its kind serves

	latencySum, occupancySum float64 // decayed sums of the attempts' latencies and of their occupancyAtSend
}

// Balancer is the state of one node. It is not safe for concurrent use. Its times are seconds, those of events and
// actions time.Duration, on the clock that the caller gives to Handle.
type Balancer struct {
	cfg             Settings
	tuning          Tuning
	rng             *rand.Rand
	classes         []*class
	backends        map[uint32]*backend
	sorted          []*backend // by id
	requests        map[string]*request
	tenants         []*tenant
	tenantByName    map[string]*tenant
	trafficShare    float64    // this node's share of all traffic
	nodesPerBackend float64    // mean number of nodes that work with a backend
	firstRefreshAt  float64    // 0 before the first refresh
	meanUtility     float64    // recent mean utility of a request
	remoteLatency   decay.Mean // latencies of answers from other zones as multiples of their class's local mean
	sends           decay.Mean // count of attempts; the sum counts those that left the zone at a price
	othersLoad      decay.EWMA // mean occupancy of a backend by the other nodes' requests
	sentAt          float64    // time of the latest send to any backend
	unsentInRow     int        // first attempts since then that no backend took
	retryTokens     float64    // further attempts that the retry budget allows now
	now             float64    // latest time seen
	refreshedAt     float64
	resubscribeAt   float64       // when to subscribe to the list again; 0: not needed
	nextRefreshAt   float64       // when the timer is due
	sharingFactor   float64       // nodesPerBackend as a multiple of Tuning.Steep, at least 1
	pace            pace.Pacer    // limits the growth of sends while requests are refused
	gates           sites.Limiter // limits on zones and classes while sites are lost
	inFlight        float64       // own attempts in flight at all backends, without those presumed lost
	inFlightTrend   decay.Trend   // inFlight against its recent mean
	loadTrend       float64       // assumed change of the other nodes' load since the reports, a factor
	actions         []Action

	minTarget, halfMinDeadline     float64 // shortest latency target, half the shortest deadline; +Inf if unset
	requestCount, lowPriorityCount float64 // decayed counts of all requests and of low-priority ones
	pickCount, pickSeconds         float64 // decayed count of picks and the decayed time over which they were counted
}
