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

// Repetition and expiry of shared state.
const (
	minRepeatInterval = 3 * time.Second // interval between repeats of unchanged entries; longer in a large fleet
	staleAfterRepeats = 3               // repeat intervals after which a received entry is stale
	pruneAfterStale   = 4               // multiple of that age after which it is dropped
)

// A rate is sent before it is due if it has changed by enough.
const (
	rateChangeThreshold       = 0.2         // fraction of the announced rate by which it must have changed,
	rateChangeMarginPerSecond = 1.0         // plus this many requests per second
	minRateUpdateInterval     = time.Second // between two updates of a rate
)

// Limits on what a node sends.
const (
	entryByteFraction      = 0.7  // fraction of the node's bytes for ordinary entries; the rest is for membership
	typicalEntryBytes      = 72   // size of an entry on the wire
	maxDatagramsPerSecond  = 15   // with ordinary entries
	maxBurst               = 16.0 // entries that can be queued at once
	retransmitFactor       = 2    // transmissions of an entry per power of ten of the fleet's size
	urgentRetransmitFactor = 3 * retransmitFactor
)

// queuedEntry is an entry in a broadcast queue. Its age grows while it waits.
type queuedEntry struct {
	replica *Replica
	name    string
	entry   packet.Entry
	sentAt  time.Duration
}

// Name identifies what the entry is about: in the queue, a later entry of the same name replaces an earlier one.
func (q *queuedEntry) Name() string { return q.name }

// Invalidates returns false, as entries replace each other by name.
func (q *queuedEntry) Invalidates(memberlist.Broadcast) bool { return false }

// Message encodes the entry with its current age.
func (q *queuedEntry) Message() []byte {
	q.entry.Age = q.replica.clock.now - q.sentAt
	return packet.Frame(q.entry)
}

// Finished does nothing: nobody waits for an entry to be sent.
func (q *queuedEntry) Finished() {}

// enqueue adds an entry to a broadcast queue.
func (r *Replica) enqueue(e *packet.Entry, sentAt time.Duration, urgent bool) {
	queue := r.ordinaryQueue
	if urgent {
		queue = r.urgentQueue
	}
	name := fmt.Sprintf("%d/%d/%s/%x", e.Kind, e.Node.Number, e.Key, uint64(e.Backend))
	queue.QueueBroadcast(&queuedEntry{r, name, *e, sentAt})
}

// forward queues another node's entry that was new here.
func (r *Replica) forward(e *packet.Entry, sentAt time.Duration, urgent bool) {
	r.stats.Forwarded++
	r.enqueue(e, sentAt, urgent)
}

// broadcast queues an entry of this node, which takes a token.
func (r *Replica) broadcast(e packet.Entry, urgent bool) {
	r.tokens--
	r.stats.Told++
	e.Node = r.cfg.Self
	r.enqueue(&e, r.clock.now, urgent)
}

// Broadcasts returns the frames to send to the next member, urgent ones first. With overhead bytes for each, they take at
// most limit bytes.
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

// RepeatInterval returns the interval at which this node repeats unchanged entries.
func (r *Replica) RepeatInterval() time.Duration { return r.repeatInterval }

// staleAfter returns the age from which a received entry is stale.
func (r *Replica) staleAfter() time.Duration { return staleAfterRepeats * r.repeatInterval }

// entriesPerSecond returns how many entries of its own a node may queue per second. With all other nodes' entries, each of
// which every node retransmits equally often, it then stays within its bytes and its datagrams.
func (r *Replica) entriesPerSecond() float64 {
	nodes := float64(r.roster.PeerCount() + 1)
	transmissions := retransmitFactor * max(1, math.Ceil(math.Log10(nodes+1)))
	bytesPerSecond := min(float64(r.cfg.BytesPerSecond), maxDatagramsPerSecond*float64(r.cfg.MaxDatagramBytes))
	return entryByteFraction * bytesPerSecond / (typicalEntryBytes * transmissions * nodes)
}

// refillTokens adds the tokens for the time since the last step, and sets the repeat interval so that half of the entries
// are left for changes.
func (r *Replica) refillTokens() {
	rate := r.entriesPerSecond()
	elapsed := min(r.clock.now-r.lastStep, time.Second)
	r.tokens = min(maxBurst, r.tokens+elapsed.Seconds()*rate)
	r.lastStep = r.clock.now
	forRepeats := rate / 2
	interval := time.Duration(float64(len(r.localCounts)) / forRepeats * float64(time.Second))
	r.repeatInterval = max(minRepeatInterval, interval)
}

// queueUpdates queues what this node has to send.
func (r *Replica) queueUpdates() {
	r.queueObservations()
	r.queueWindows()
}

// queueObservations queues this node's observations of backends, urgent ones first. The urgent ones are queued even without
// tokens.
func (r *Replica) queueObservations() {
	keys, observations, urgent := r.pool.TakeUpdates(r.clock.now, max(0, int(maxBurst+r.tokens)))
	for i, key := range keys {
		if i >= urgent && r.tokens < 1 {
			return // it follows at the next step
		}
		r.broadcast(packet.Entry{Kind: packet.Observation, Backend: key, Observation: observations[i]}, i < urgent)
	}
}

// queueWindows closes the epochs that are over, and queues the counts that are due as far as the tokens go, in the order of
// dueWindows.
func (r *Replica) queueWindows() {
	for _, key := range r.dueWindows() {
		if r.tokens < 1-maxBurst {
			return
		}
		c := r.localCounts[key]
		c.announcedRate, c.announcedAt = c.Rate(), r.clock.now
		r.broadcast(packet.Entry{Kind: packet.Window, Key: key, Window: c.Window}, false)
	}
}

// dueWindows advances all counts to the current epoch, and returns the keys of those that are due, the one sent longest ago
// first.
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
		return cmp.Or(cmp.Compare(r.localCounts[a].announcedAt, r.localCounts[b].announcedAt), cmp.Compare(a, b))
	})
	return keys
}

// isDue reports whether a count is to be sent: its rate has changed, or it was last sent a repeat interval ago.
func (r *Replica) isDue(c *localCount) bool {
	rate := c.Rate()
	if rate < 0 {
		return false // it has counted nothing yet
	}
	age := r.clock.now - c.announcedAt
	changed := math.Abs(rate-c.announcedRate) > rateChangeThreshold*c.announcedRate+rateChangeMarginPerSecond
	return changed && age >= minRateUpdateInterval || age >= r.repeatInterval
}
