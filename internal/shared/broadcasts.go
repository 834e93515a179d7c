package shared

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/hashicorp/memberlist"

	"craneglade/internal/shared/packet"
)

// How often a node tells the others what has not changed, and how long what was told counts.
const (
	minRepeatInterval = 3 * time.Second // the shortest interval between repeats; in a large fleet it is longer
	staleAfterRepeats = 3               // repeat intervals after which what was told says nothing about the present
	pruneAfterStale   = 4               // times that age, after which it is dropped
)

// When a changed rate is told before it is due.
const (
	rateChangeThreshold = 0.2         // the fraction of the told rate by which it has to have moved,
	rateChangeMargin    = 1.0         // beyond this many requests a second
	minRateInterval     = time.Second // between two times that a rate is told
)

// How much a node may send.
const (
	entryByteShare         = 0.7  // fraction of the node's bytes for ordinary entries; the rest is for membership
	typicalEntryBytes      = 72   // size of an entry on its way
	maxDatagramsPerSecond  = 15   // with ordinary entries
	maxBurst               = 16.0 // entries that may be told at once
	retransmitFactor       = 2    // times that an entry is sent on for each tenfold of the fleet
	urgentRetransmitFactor = 3 * retransmitFactor
)

// queuedEntry is an entry that waits in a queue. Its age grows while it does.
type queuedEntry struct {
	replica *Replica
	name    string
	entry   packet.Entry
	sentAt  time.Duration
}

// Name identifies what the entry is about: the queue replaces an entry by a later one of the same name.
func (q *queuedEntry) Name() string { return q.name }

// Invalidates is always false, as the queue goes by names.
func (q *queuedEntry) Invalidates(memberlist.Broadcast) bool { return false }

// Message encodes the entry with its age at this moment.
func (q *queuedEntry) Message() []byte {
	q.entry.Age = q.replica.clock.now - q.sentAt
	return packet.Frame(q.entry)
}

// Finished does nothing: nobody waits for an entry to be sent.
func (q *queuedEntry) Finished() {}

// enqueue puts an entry into a queue of broadcasts.
func (r *Replica) enqueue(e *packet.Entry, sentAt time.Duration, urgent bool) {
	queue := r.ordinaryQueue
	if urgent {
		queue = r.urgentQueue
	}
	name := fmt.Sprintf("%d/%d/%s/%x", e.Kind, e.Node.Number, e.Key, uint64(e.Backend))
	queue.QueueBroadcast(&queuedEntry{r, name, *e, sentAt})
}

// forward passes on another node's entry that was news here.
func (r *Replica) forward(e *packet.Entry, sentAt time.Duration, urgent bool) {
	r.stats.Forwarded++
	r.enqueue(e, sentAt, urgent)
}

// tell queues an entry of this node's own, which takes a token.
func (r *Replica) tell(e packet.Entry, urgent bool) {
	r.tokens--
	r.stats.Told++
	e.Node = r.cfg.Self
	r.enqueue(&e, r.clock.now, urgent)
}

// Broadcasts returns frames for the member that is spoken to next, urgent ones first. With overhead bytes for each, they
// take limit bytes at most.
func (r *Replica) Broadcasts(now time.Duration, overhead, limit int) [][]byte {
	r.advance(now)
	frames := r.urgentQueue.GetBroadcasts(overhead, limit)
	for _, frame := range frames {
		limit -= overhead + len(frame)
	}
	if limit > overhead {
		frames = append(frames, r.ordinaryQueue.GetBroadcasts(overhead, limit)...)
	}
	return frames
}

// RepeatInterval is how often this node tells again what has not changed.
func (r *Replica) RepeatInterval() time.Duration { return r.repeatInterval }

// staleAfter is the age from which what was told says nothing about the present.
func (r *Replica) staleAfter() time.Duration { return staleAfterRepeats * r.repeatInterval }

// entriesPerSecond is how many entries of its own a node may tell in a second. With all other nodes' entries, which each
// node passes on as often as the queue does, it then keeps within its bytes and its datagrams.
func (r *Replica) entriesPerSecond() float64 {
	nodes := float64(r.roster.PeerCount() + 1)
	transmissions := retransmitFactor * max(1, math.Ceil(math.Log10(nodes+1)))
	bytesPerSecond := min(float64(r.cfg.BytesPerSecond), maxDatagramsPerSecond*float64(r.cfg.DatagramBytes))
	return entryByteShare * bytesPerSecond / (typicalEntryBytes * transmissions * nodes)
}

// refillTokens adds the tokens of the time since the last step, and sets the repeat interval so that half of the entries
// are left for what has changed.
func (r *Replica) refillTokens() {
	rate := r.entriesPerSecond()
	elapsed := min(r.clock.now-r.lastStep, time.Second)
	r.tokens = min(maxBurst, r.tokens+elapsed.Seconds()*rate)
	r.lastStep = r.clock.now
	forRepeats := rate / 2
	interval := time.Duration(float64(len(r.localCounts)) / forRepeats * float64(time.Second))
	r.repeatInterval = max(minRepeatInterval, interval)
}

// queueNews queues what this node has to tell.
func (r *Replica) queueNews() {
	r.queueSights()
	r.queueWindows()
}

// queueSights queues this node's observations of backends: urgent ones first, and these also without tokens.
func (r *Replica) queueSights() {
	keys, sights, urgent := r.pool.TakeUpdates(r.clock.now, max(0, int(maxBurst+r.tokens)))
	for i, key := range keys {
		if i >= urgent && r.tokens < 1 {
			return // it is told at the next step
		}
		r.tell(packet.Entry{Kind: packet.Observation, Backend: key, Observation: sights[i]}, i < urgent)
	}
}

// queueWindows closes the epochs that are over, and queues the counts that are due: those that were told longest ago
// first, as far as the tokens go.
func (r *Replica) queueWindows() {
	for _, key := range r.dueWindows() {
		if r.tokens < 1-maxBurst {
			return
		}
		c := r.localCounts[key]
		c.toldRate, c.toldAt = c.Rate(), r.clock.now
		r.tell(packet.Entry{Kind: packet.Window, Key: key, Window: c.Window}, false)
	}
}

// dueWindows advances all counts to the current epoch, and returns the keys of those that are due, the one that was told
// longest ago first.
func (r *Replica) dueWindows() []string {
	epoch := r.epoch()
	var keys []string
	for key, c := range r.localCounts {
		c.Add(epoch, 0)
		if r.isDue(c) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b string) int {
		return cmp.Or(cmp.Compare(r.localCounts[a].toldAt, r.localCounts[b].toldAt), cmp.Compare(a, b))
	})
	return keys
}

// isDue reports whether a count is to be told: its rate has changed, or it was last told a repeat interval ago.
func (r *Replica) isDue(c *localCount) bool {
	rate := c.Rate()
	if rate < 0 {
		return false // it has counted nothing yet
	}
	age := r.clock.now - c.toldAt
	changed := math.Abs(rate-c.toldRate) > rateChangeThreshold*c.toldRate+rateChangeMargin
	return changed && age >= minRateInterval || age >= r.repeatInterval
}
