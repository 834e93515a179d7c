// Package trace reads and writes the trace of a rehearsal: one JSON object per line, in the order in which the kit
// recorded them. The first line is a Head, every other line a Record. The format is versioned;
// docs/operators/trace.md describes it.
//
// All times are whole microseconds since the start of the rehearsal, taken from one monotonic clock. Lines are not
// sorted by time, as simulated clients and backends record concurrently. A reader that needs time order has to allow
// for Disorder.
package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"
)

// Version is the version of the format that this package writes, and the only one that it reads.
const Version = 1

// Disorder is the maximum by which a line's time may precede that of an earlier line.
const Disorder = 2 * time.Second

// maxLine is the longest line that a Reader accepts, in bytes.
const maxLine = 1 << 20

// Head is the first line: what a checker needs to know of the deployment.
type Head struct {
	Trace            int     `json:"trace"` // Version
	Scenario         string  `json:"scenario"`
	Seed             uint64  `json:"seed"`
	Length           int64   `json:"length_us"`  // planned, from the first request to the last
	Started          string  `json:"started_at"` // RFC 3339
	Rules            Rules   `json:"rules"`
	Classes          []Class `json:"classes"`
	Nodes            []Node  `json:"nodes"`
	OverQuotaUtility float64 `json:"over_share_worth"` // utility of a request over its tenant's quota, as a fraction of its normal utility
}

// Rules are the parameters of the four rules, as the nodes are configured.
type Rules struct {
	AnswerSlack      int64   `json:"answer_slack_us"` // how long after the client's deadline a final answer still counts
	DrainGrace       int64   `json:"drain_grace_us"`  // how long a node may go on sending to a backend after a notice that it is leaving
	OverloadFactor   float64 `json:"fall_factor"`     // a cold backend collapses when it is sent more than this multiple of its capacity
	OverloadDuration int64   `json:"fall_us"`         // for this long
	Slack            int64   `json:"slack_us"`        // added to every time limit, for the latency of sockets
}

// Class is one kind of request. Effect is safe, keyed or unsafe; Group, for keyed ones, all, site or cell.
type Class struct {
	Name          string  `json:"name"`
	Effect        string  `json:"effect"`
	Group         string  `json:"group,omitempty"`
	Window        int64   `json:"window_us,omitempty"` // keyed: how long repeats are dropped, from the first attempt that may have run
	LatencyTarget int64   `json:"aim_us"`              // an answer within this time earns the utility
	Utility       float64 `json:"worth"`
}

// Node is one node of the deployment.
type Node struct {
	Name string `json:"name"`
	Site string `json:"site"`
}

// The kinds of records.
const (
	Planned  = "want"   // a client's logical request, made of one or more tries: the first is planned for T
	Sent     = "sent"   // the last byte of a request is written to a node
	Got      = "got"    // a whole answer is read; T0 is its first byte
	Broke    = "broke"  // the connection ended, or carried an invalid answer, before a whole answer was read
	GaveUp   = "gaveup" // the client disconnected, at its deadline or earlier (Why)
	Extra    = "extra"  // bytes arrived on a client connection without an open request
	Done     = "done"   // the outcome of a logical request: How and Took
	Received = "recv"   // the last byte of a request is read at a backend; T0 is its first byte
	Partial  = "part"   // a request started to arrive at a backend and its connection ended before the last byte
	Reply    = "reply"  // a backend is about to write an answer or to close the connection (How)
	Dropped  = "drop"   // a node closed a connection with a request in flight at a backend
	ByDNS    = "names"  // How of a Notified record: by an answer of DNS; without it, by the list

	Notified      = "told"  // a node was notified of a backend's State
	Backend       = "box"   // a backend changes: State
	Capacity      = "cap"   // the capacity of a warming backend at T, in cores of speed 1
	Load          = "load"  // the requests at a backend at T: InFlight, Queue
	Process       = "proc"  // a node's process changes: State
	Usage         = "use"   // resources of a node's process: Bytes of memory, Conns descriptors
	Event         = "event" // an event of the scenario takes place
	InvalidClient = "bad"   // a client that sends invalid requests is done: How
	Stall         = "lag"   // the kit itself was stalled for Late
	PeerMessage   = "peer"  // a message from one node (Text) to another (Node): How, Bytes
	Spend         = "spend" // what a node reports that it may spend of a shared budget (Text): Own, Loans
	View          = "view"  // what a node knows of the fleet: ConfirmedAlive, Listed, Ejected, MinVotes
	NetworkFault  = "net"   // a fault between nodes (Text) begins or ends (How)
	End           = "end"   // the rehearsal is over; a trace without this line is incomplete
)

// States of backends in Backend and Notified records.
const (
	Ready        = "Ready"
	Terminating  = "Terminating"
	Removed      = "Gone"
	Collapsed    = "fallen" // overloaded while cold; stays down
	Slow         = "slow"   // slowed down
	Normal       = "normal" // back at normal speed
	Unresponsive = "silent" // cut off: neither answers nor refuses connections
	Responsive   = "back"   // no longer unresponsive
	Warm         = "warm"   // at its full capacity for the first time
)

// States of nodes in Process records.
const (
	Started   = "started" // the process runs
	NodeReady = "ready"   // its readiness check succeeds
	Kill      = "kill"    // it is about to be killed
	Term      = "term"    // it is about to get SIGTERM
	Hup       = "hup"     // it is about to get SIGHUP
	Stopped   = "stopped" // it is about to be stopped (SIGSTOP)
	Resumed   = "goes"    // it is resumed (SIGCONT)
	Exited    = "exited"  // it ended on request
	Crashed   = "crashed" // it ended by itself
)

// Outcomes in Reply records.
const (
	Served    = "served"  // 200 with a body made for the request
	Failed    = "failed"  // 500: it may have run
	Rejected  = "turned"  // 503 or 504 with X-Not-Run: it did not run
	Refused   = "refused" // 400 or 404: not a request of this service
	Malformed = "spoilt"  // an invalid answer is written; it has run
	Reset     = "reset"   // the connection is reset; it may have run
)

// Begin is the How of the Event record at the start of the traffic, and of a NetworkFault record of a fault that begins.
const Begin = "begin"

// Ended is the How of a NetworkFault record of a fault that ends.
const Ended = "over"

// RequestRead is the How of a Broke record if the peer had read the request before it closed the connection.
const RequestRead = "taken"

// Chunked is the How of a Sent record of a chunked body (Transfer-Encoding).
const Chunked = "chunked"

// FromInvalidClient is the How of a Received record of a request marked as sent by an invalid client.
const FromInvalidClient = "bad"

// Record is any line but the first. Only the fields of its kind are set; the others are omitted.
type Record struct {
	Kind string `json:"e"`
	T    int64  `json:"t"`            // microseconds since the start
	T0   int64  `json:"t0,omitempty"` // the first byte, where T is the last

	Node      string `json:"n,omitempty"`
	Backend   string `json:"b,omitempty"`
	ID        string `json:"id,omitempty"`   // X-Request-Id
	FirstID   string `json:"of,omitempty"`   // the id of the logical request's first try
	Conn      int64  `json:"c,omitempty"`    // a client's connection
	Attempt   int64  `json:"a,omitempty"`    // identifies one request at one backend
	Try       int    `json:"try,omitempty"`  // 0 for the first
	PlannedAt int64  `json:"plan,omitempty"` // when the send was planned

	Class   string `json:"class,omitempty"`
	Tenant  string `json:"tenant,omitempty"`
	Site    string `json:"site,omitempty"`
	Cell    int    `json:"cell,omitempty"`
	Timeout int64  `json:"wait,omitempty"`   // X-Deadline in microseconds
	Reused  bool   `json:"reused,omitempty"` // the connection has carried a request before
	Resent  bool   `json:"again,omitempty"`  // the same id again, after an idle connection had closed on the first

	Status    int    `json:"status,omitempty"`
	Digest    string `json:"sum,omitempty"` // a digest of the body
	Bytes     int64  `json:"bytes,omitempty"`
	How       string `json:"how,omitempty"`
	Why       string `json:"why,omitempty"`
	Took      int64  `json:"took,omitempty"`
	OverQuota bool   `json:"over,omitempty"` // over its tenant's quota

	Work        int64   `json:"work,omitempty"` // microseconds of a core of speed 1
	State       string  `json:"state,omitempty"`
	MachineKind string  `json:"kind,omitempty"` // of a backend
	Cores       float64 `json:"cores,omitempty"`
	FullCores   float64 `json:"full,omitempty"` // capacity when warm, in cores of speed 1
	InFlight    int     `json:"held,omitempty"`
	Queue       int     `json:"queue,omitempty"`
	Conns       int     `json:"conns,omitempty"`
	Late        int64   `json:"late,omitempty"`
	Text        string  `json:"text,omitempty"`

	Own             int64   `json:"own,omitempty"` // grains of its own that the node has not lent; a budget has 1048576
	Loans           []Loan  `json:"loans,omitempty"`
	ConfirmedAlive  int     `json:"surely,omitempty"` // nodes confirmed alive
	MaxAlive        int     `json:"most,omitempty"`   // nodes possibly alive
	RefreshInterval int64   `json:"every,omitempty"`  // microseconds after which nodes repeat unchanged information
	Counts          []Count `json:"counts,omitempty"` // counts of other nodes that this node has newly received
	Listed          int     `json:"listed,omitempty"` // backends in the list
	Ejected         int     `json:"out,omitempty"`    // of these, ejected by peers' reports
	MinVotes        int     `json:"votes,omitempty"`  // the fewest nodes that reported one of the ejected ones unhealthy
}

// Loan is a share of a budget that a node has borrowed from another one.
type Loan struct {
	Lender int   `json:"of"` // the number of the lending node, from 0
	Grains int64 `json:"grains"`
	Until  int64 `json:"until"` // microseconds since the start
}

// Count is another node's count of a tenant's requests, as a node received it.
type Count struct {
	Key         string `json:"key"`
	Node        int    `json:"of"`    // the number of the counting node, from 0
	Incarnation uint64 `json:"life"`  // of the counting node; grows with each start
	Epoch       uint64 `json:"epoch"` // grows within an incarnation
	Sum         int64  `json:"sum"`   // requests
	From        int64  `json:"from"`  // start of the time counted, in microseconds since the start, by the counting node's clock
	To          int64  `json:"to"`
}

// At returns the record's time as a duration since the start.
func (r *Record) At() time.Duration { return time.Duration(r.T) * time.Microsecond }

// Microseconds converts a duration since the start to the trace's microseconds.
func Microseconds(d time.Duration) int64 { return d.Microseconds() }

// Writer writes a trace. It is safe for concurrent use; Close returns the first error of the stream.
type Writer struct {
	mu  sync.Mutex
	buf *bufio.Writer
	enc *json.Encoder
	err error
}

// NewWriter writes the head to w and returns a Writer for the records.
func NewWriter(w io.Writer, h Head) *Writer {
	h.Trace = Version
	out := &Writer{buf: bufio.NewWriterSize(w, 256<<10)}
	out.enc = json.NewEncoder(out.buf)
	out.enc.SetEscapeHTML(false)
	out.err = out.enc.Encode(h)
	return out
}

// Add writes one record.
func (w *Writer) Add(r *Record) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err == nil {
		w.err = w.enc.Encode(r)
	}
}

// Close flushes the trace and returns the first error. The underlying writer stays open.
func (w *Writer) Close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err == nil {
		w.err = w.buf.Flush()
	}
	return w.err
}

// ErrFormat is wrapped by every error about a malformed trace.
var ErrFormat = errors.New("not a trace of this format")

// Reader reads a trace.
type Reader struct {
	Head Head
	in   *bufio.Scanner
	line int
}

// NewReader reads the head. If the stream is not a trace, or one of another version, the error wraps ErrFormat.
func NewReader(r io.Reader) (*Reader, error) {
	out := &Reader{in: bufio.NewScanner(r)}
	out.in.Buffer(make([]byte, 64<<10), maxLine)
	text, err := out.next()
	if err == io.EOF {
		return nil, fmt.Errorf("line 1: %w: the file is empty", ErrFormat)
	}
	if err != nil {
		return nil, err
	}
	if err := json.Unmarshal(text, &out.Head); err != nil {
		return nil, fmt.Errorf("line 1: %w: %v", ErrFormat, err)
	}
	if out.Head.Trace != Version {
		return nil, fmt.Errorf("line 1: %w: trace is %d, and should be %d", ErrFormat, out.Head.Trace, Version)
	}
	return out, nil
}

func (r *Reader) next() ([]byte, error) {
	if !r.in.Scan() {
		if err := r.in.Err(); err != nil {
			return nil, fmt.Errorf("line %d: %w", r.line+1, err)
		}
		return nil, io.EOF
	}
	r.line++
	return bytes.TrimSpace(r.in.Bytes()), nil
}

// Line returns the number of the line that Next read last; the head is line 1.
func (r *Reader) Line() int { return r.line }

// Next reads the next record. At the end it returns io.EOF; an error names the line.
func (r *Reader) Next(rec *Record) error {
	for {
		text, err := r.next()
		if err != nil {
			return err
		}
		if len(text) == 0 {
			continue
		}
		*rec = Record{}
		if err := json.Unmarshal(text, rec); err != nil {
			return fmt.Errorf("line %d: %w: %v", r.line, ErrFormat, err)
		}
		if rec.Kind == "" || rec.T < 0 {
			return fmt.Errorf("line %d: %w: e is missing or t is negative", r.line, ErrFormat)
		}
		return nil
	}
}
