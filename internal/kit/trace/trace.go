// Package trace is the record of a rehearsal: one JSON object a line, in the order in which the kit noted them.
// The first line is a Head, every other line a Record. The format is versioned; docs/operators/trace.md describes it.
//
// All times are whole microseconds since the start of the rehearsal, taken from one monotonic clock. Lines are not
// sorted by time: two stand-ins may note what they saw in the other order. A reader that needs order has to allow
// for Disorder between neighbours.
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

// Disorder bounds by how much a line's time may lie before that of a line above it.
const Disorder = 2 * time.Second

// maxLine is the longest line that Read takes, in bytes.
const maxLine = 1 << 20

// Head is the first line: what a judge has to know of the deployment.
type Head struct {
	Trace            int     `json:"trace"` // Version
	Scenario         string  `json:"scenario"`
	Seed             uint64  `json:"seed"`
	Length           int64   `json:"length_us"`  // planned, from the first request to the last
	Started          string  `json:"started_at"` // RFC 3339
	Rules            Rules   `json:"rules"`
	Classes          []Class `json:"classes"`
	Nodes            []Node  `json:"nodes"`
	OverQuotaUtility float64 `json:"over_share_worth"` // worth of a request past its share, as a part of the usual
}

// Rules are the figures behind the four rules, as the settings of the nodes tell them.
type Rules struct {
	AnswerSlack      int64   `json:"answer_slack_us"` // how long after the client's deadline a final answer still counts
	DrainGrace       int64   `json:"drain_grace_us"`  // how long a node may go on sending to a box that it was told is leaving
	OverloadFactor   float64 `json:"fall_factor"`     // a cold box that is sent more than this multiple of its capacity
	OverloadDuration int64   `json:"fall_us"`         // for this long falls over
	Slack            int64   `json:"slack_us"`        // added to every time limit: what sockets may cost
}

// Class is one kind of request. Effect is safe, keyed or unsafe; Group, for keyed ones, all, site or cell.
type Class struct {
	Name          string  `json:"name"`
	Effect        string  `json:"effect"`
	Group         string  `json:"group,omitempty"`
	Window        int64   `json:"window_us,omitempty"` // keyed: how long repeats are dropped, from the first send that may have run
	LatencyTarget int64   `json:"aim_us"`              // an answer within this earns the worth
	Utility       float64 `json:"worth"`
}

// Node is one node of the deployment.
type Node struct {
	Name string `json:"name"`
	Site string `json:"site"`
}

// The kinds of records.
const (
	Planned  = "want"   // a client's need: its first try is planned for T
	Sent     = "sent"   // the last byte of a request is written to a node
	Got      = "got"    // a whole answer is read; T0 is its first byte
	Broke    = "broke"  // the connection ended, or gave what is no answer, before a whole answer was there
	GaveUp   = "gaveup" // the client left: its time was up, or it lost patience (Why)
	Extra    = "extra"  // bytes came on a client's connection on which no request was open
	Done     = "done"   // what became of a need: How and Took
	Received = "recv"   // the last byte of a request is read at a box; T0 is its first byte
	Partial  = "part"   // a request began at a box and its connection ended before the last byte
	Reply    = "reply"  // a box is about to write an answer, or does away with the connection (How)
	Dropped  = "drop"   // a node closed a connection on which a box had a request in hand
	ByDNS    = "names"  // How of a Told record: DNS has told a node so, by an answer; without it, the list has

	Notified      = "told"  // the list has told a node of a box's State
	Backend       = "box"   // a box changes: State
	Capacity      = "cap"   // what a box that warms up can do at T, in cores of speed 1
	Load          = "load"  // what a box holds at T
	Process       = "proc"  // a node's process changes: State
	Usage         = "use"   // what a node's process holds: Bytes of memory, Conns descriptors
	Event         = "event" // an entry of the time table takes place
	InvalidClient = "bad"   // a client that sends what is no request is done: How
	Stall         = "lag"   // the kit itself was late by Late
	PeerMessage   = "peer"  // something that a node said to another one (Node): How, Bytes, and Text: by whom
	Spend         = "spend" // what a node says that it may spend of a shared budget (Text): Own, Loans
	View          = "view"  // what a node knows of the fleet: Surely, Listed, Out, Votes
	NetworkFault  = "net"   // a trouble between nodes (Text) begins or is over (How)
	End           = "end"   // the rehearsal is over; a trace without this line is cut short
)

// States of boxes in Box and Told records.
const (
	Ready        = "Ready"
	Terminating  = "Terminating"
	Removed      = "Gone"
	Collapsed    = "fallen" // pushed over while cold; stays down
	Slow         = "slow"   // turned slower
	Normal       = "normal" // at its usual speed again
	Unresponsive = "silent" // cut off: answers nothing, refuses nothing
	Responsive   = "back"   // no longer silent
	Warm         = "warm"   // at its full capacity for the first time
)

// States of nodes in Proc records.
const (
	Started   = "started" // the process runs
	NodeReady = "ready"   // it answered its readiness call
	Kill      = "kill"    // it is about to be killed
	Term      = "term"    // it is about to get SIGTERM
	Hup       = "hup"     // it is about to get SIGHUP
	Stopped   = "stopped" // it is about to be stopped (SIGSTOP)
	Resumed   = "goes"    // it goes on (SIGCONT)
	Exited    = "exited"  // it ended as it was told to
	Crashed   = "crashed" // it ended by itself
)

// Outcomes in Reply records.
const (
	Served    = "served"  // 200 with a body made for the request
	Failed    = "failed"  // 500: it may have run
	Rejected  = "turned"  // 503 or 504 with X-Not-Run: it never ran
	Refused   = "refused" // 400 or 404: not a request of this service
	Malformed = "spoilt"  // what is written is no answer; it has run
	Reset     = "reset"   // the connection is reset; it may have run
)

// Begin is the How of the Event with which the traffic begins, and of a Net record of what begins.
const Begin = "begin"

// Ended is the How of a Net record of what is over.
const Ended = "over"

// RequestRead is the How of a Broke whose other side had read the request before it closed.
const RequestRead = "taken"

// Chunked is the How of a Sent whose body goes in chunks (Transfer-Encoding).
const Chunked = "chunked"

// FromInvalidClient is the How of a Recv that carries the mark of a client that sends what is no request.
const FromInvalidClient = "bad"

// Record is any line but the first. Only the fields of its kind are set; the others are left out.
type Record struct {
	Kind string `json:"e"`
	T    int64  `json:"t"`            // microseconds since the start
	T0   int64  `json:"t0,omitempty"` // the first byte, where T is the last

	Node      string `json:"n,omitempty"`
	Backend   string `json:"b,omitempty"`
	ID        string `json:"id,omitempty"`   // X-Request-Id
	FirstID   string `json:"of,omitempty"`   // the id of the need's first try
	Conn      int64  `json:"c,omitempty"`    // a client's connection
	Attempt   int64  `json:"a,omitempty"`    // one request at one box
	Try       int    `json:"try,omitempty"`  // 0 for the first
	PlannedAt int64  `json:"plan,omitempty"` // when the send was planned

	Class   string `json:"class,omitempty"`
	Tenant  string `json:"tenant,omitempty"`
	Site    string `json:"site,omitempty"`
	Cell    int    `json:"cell,omitempty"`
	Timeout int64  `json:"wait,omitempty"`   // X-Deadline in microseconds
	Reused  bool   `json:"reused,omitempty"` // the connection has carried a request before
	Resent  bool   `json:"again,omitempty"`  // the same id once more: a kept connection had closed on the first

	Status    int    `json:"status,omitempty"`
	Digest    string `json:"sum,omitempty"` // a digest of the body
	Bytes     int64  `json:"bytes,omitempty"`
	How       string `json:"how,omitempty"`
	Why       string `json:"why,omitempty"`
	Took      int64  `json:"took,omitempty"`
	OverQuota bool   `json:"over,omitempty"` // past its tenant's share

	Work        int64   `json:"work,omitempty"` // microseconds of a core of speed 1
	State       string  `json:"state,omitempty"`
	MachineKind string  `json:"kind,omitempty"` // a box's machine kind
	Cores       float64 `json:"cores,omitempty"`
	FullCores   float64 `json:"full,omitempty"` // capacity when warm, in cores of speed 1
	InFlight    int     `json:"held,omitempty"`
	Queue       int     `json:"queue,omitempty"`
	Conns       int     `json:"conns,omitempty"`
	Late        int64   `json:"late,omitempty"`
	Text        string  `json:"text,omitempty"`

	Own             int64   `json:"own,omitempty"` // grains of its own that the node has not lent; a budget is 1048576
	Loans           []Loan  `json:"loans,omitempty"`
	ConfirmedAlive  int     `json:"surely,omitempty"` // nodes that are surely there
	MaxAlive        int     `json:"most,omitempty"`   // and that may be
	RefreshInterval int64   `json:"every,omitempty"`  // microseconds after which nodes tell again of what has not changed
	Counts          []Count `json:"counts,omitempty"` // what others have counted, as this node has heard anew
	Listed          int     `json:"listed,omitempty"` // boxes that there are,
	Ejected         int     `json:"out,omitempty"`    // those that are out by hearsay,
	MinVotes        int     `json:"votes,omitempty"`  // and the fewest nodes that found one of those broken
}

// Loan is part of a budget that a node holds of another one.
type Loan struct {
	Lender int   `json:"of"` // the other's number, from 0
	Grains int64 `json:"grains"`
	Until  int64 `json:"until"` // microseconds since the start
}

// Count is what a node has heard that another one counted of a tenant's requests.
type Count struct {
	Key         string `json:"key"`
	Node        int    `json:"of"`    // the other's number, from 0
	Incarnation uint64 `json:"life"`  // of the other; a later one's is higher
	Epoch       uint64 `json:"epoch"` // grows in a life
	Sum         int64  `json:"sum"`   // requests,
	From        int64  `json:"from"`  // in this time, microseconds since the start, by the other's clock
	To          int64  `json:"to"`
}

// At is the record's time as a duration.
func (r *Record) At() time.Duration { return time.Duration(r.T) * time.Microsecond }

// Microseconds turns a duration since the start into the trace's microseconds.
func Microseconds(d time.Duration) int64 { return d.Microseconds() }

// Writer writes a trace. It may be used from many goroutines; the first error of the stream is kept for Close.
type Writer struct {
	mu  sync.Mutex
	buf *bufio.Writer
	enc *json.Encoder
	err error
}

// NewWriter writes the head to w.
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

// Close flushes and returns the first error. The underlying writer stays open.
func (w *Writer) Close() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.err == nil {
		w.err = w.buf.Flush()
	}
	return w.err
}

// ErrFormat is wrapped by every error that a malformed trace gives.
var ErrFormat = errors.New("not a trace of this format")

// Reader reads a trace.
type Reader struct {
	Head Head
	in   *bufio.Scanner
	line int
}

// NewReader reads the head. A stream that is no trace, or of another version, gives an error that wraps ErrFormat.
func NewReader(r io.Reader) (*Reader, error) {
	out := &Reader{in: bufio.NewScanner(r)}
	out.in.Buffer(make([]byte, 64<<10), maxLine)
	text, err := out.next()
	if err == io.EOF {
		return nil, fmt.Errorf("line 1: %w: it is empty", ErrFormat)
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

// Line is the number of the line that Next read last; the head's is 1.
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
			return fmt.Errorf("line %d: %w: e or t is missing", r.line, ErrFormat)
		}
		return nil
	}
}
