package main

// These tests guard against answers after the client's time to calls that wait on their connection, and against sending them to a backend
// after that. A call's time once counted from when the node read it, however long it had waited behind others in the kernel.

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	waitingCalls     = 990 // in less than 64 KiB, so that all are on the node's machine at once
	waitingBatchSize = 90
	callInterval     = time.Millisecond // of calls that are sent one after the other
	waitingInflight  = 32               // of a connection, fewer than the node's policy would send
	smallInflight    = 8
)

// timedCall is a call with the time after which its client does not wait any more.
type timedCall struct {
	written  time.Time // its last byte
	patience time.Duration
}

// timedCalls are the calls of one client, by the first parameter of each.
type timedCalls struct {
	mu    sync.Mutex
	calls []timedCall
}

// write writes a text that holds the next calls, of one patience, and records when its last byte was written.
func (w *timedCalls) write(c net.Conn, text string, calls int, patience time.Duration) error {
	w.mu.Lock()
	first := len(w.calls)
	for range calls {
		w.calls = append(w.calls, timedCall{time.Now(), patience})
	}
	w.mu.Unlock()
	_, err := io.WriteString(c, text)
	w.mu.Lock()
	defer w.mu.Unlock()
	for i := first; i < len(w.calls); i++ {
		w.calls[i].written = time.Now()
	}
	return err
}

func (w *timedCalls) get(id int) timedCall {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.calls[id]
}

// timedQuote returns a call with a deadline in its parameters, as a line.
func timedQuote(id int, deadline time.Duration) string {
	return fmt.Sprintf(`{"jsonrpc":"2.0","id":%d,"method":"sendQuote","params":[%d,%d]}`+"\n", id, id, deadline.Milliseconds())
}

// sendAtOnce sends calls in one write.
func sendAtOnce(c net.Conn, w *timedCalls) error {
	var text strings.Builder
	for id := range waitingCalls {
		text.WriteString(quoteCall(id) + "\n")
	}
	return w.write(c, text.String(), waitingCalls, waitingPatience)
}

// sendInTurn sends calls one after the other, faster than they are served.
func sendInTurn(c net.Conn, w *timedCalls) error {
	for id := range waitingCalls {
		if err := w.write(c, quoteCall(id)+"\n", 1, waitingPatience); err != nil {
			return err
		}
		time.Sleep(callInterval)
	}
	return nil
}

// sendInBatches sends calls in batches, all at once.
func sendInBatches(c net.Conn, w *timedCalls) error {
	var text strings.Builder
	for first := 0; first < waitingCalls; first += waitingBatchSize {
		var members []string
		for id := first; id < first+waitingBatchSize; id++ {
			members = append(members, quoteCall(id))
		}
		text.WriteString("[" + strings.Join(members, ",") + "]\n")
	}
	return w.write(c, text.String(), waitingCalls, waitingPatience)
}

// sendWithDeadlines sends calls with deadlines of their own behind ones that wait longer.
func sendWithDeadlines(c net.Conn, w *timedCalls) error {
	for id := range waitingCalls {
		patience := waitingPatience
		if id%2 == 1 {
			patience = waitingPatience / 10 * time.Duration(1+id/2%3)
		}
		if err := w.write(c, timedQuote(id, patience), 1, patience); err != nil {
			return err
		}
	}
	return nil
}

// A client sends more calls than may be open on its connection. Each is answered before it is lost, and none is sent to a backend after
// its client's time.
func TestWaitingCallsAreNeitherLateNorSentLate(t *testing.T) {
	for _, c := range []struct {
		name     string
		limits   limits
		inflight int
		send     func(net.Conn, *timedCalls) error
	}{
		{"at once", scoredLimits, waitingInflight, sendAtOnce},
		{"at once, few open", scoredLimits, smallInflight, sendAtOnce},
		{"at once, little memory", smallLimits, waitingInflight, sendAtOnce},
		{"one after the other", scoredLimits, smallInflight, sendInTurn},
		{"batches", scoredLimits, waitingInflight, sendInBatches},
		{"batches, little memory", smallLimits, waitingInflight, sendInBatches},
		{"deadlines of their own", scoredLimits, waitingInflight, sendWithDeadlines},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := &longAnswers{delay: backendTime, answer: "q", calls: map[int]int{}, latest: map[int]time.Time{}}
			n := startRPCNodeBefore(t, c.limits, b, fmt.Sprintf("inflight = %d\n[[jsonrpc.method]]\nname = \"sendQuote\"\nclass = \"quote\"\npatience = %q\ndeadline = \"/1\"\n",
				c.inflight, waitingPatience.String()))
			conn, err := net.Dial("tcp", n.addr)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			n.checkWaitingCalls(t, conn, c.send)
		})
	}
}

// checkWaitingCalls lets a client send calls, and checks their answers and when backends have received them.
func (n *rpcNode) checkWaitingCalls(t *testing.T, conn net.Conn, send func(net.Conn, *timedCalls) error) {
	t.Helper()
	stalls := startStallMeter(t)
	conn.SetDeadline(time.Now().Add(testTimeout))
	var w timedCalls
	sent := make(chan error, 1)
	go func() { sent <- send(conn, &w) }()
	in := bufio.NewReader(conn)
	served, servedInTime, late, lost, latest := 0, 0, 0, 0, time.Duration(0)
	for answered := 0; answered < waitingCalls; {
		answers, err := readAnswers(in)
		if err != nil {
			t.Fatalf("after %d answers: %v\n%s", answered, err, n.log.String())
		}
		answered += len(answers)
		for _, a := range answers {
			call := w.get(*a.ID)
			after := time.Since(call.written) - call.patience
			if latest = max(latest, after); after > 0 {
				late++
			}
			if after > lostAfter+stalls.total() {
				lost++
			}
			if a.Result != nil {
				served++
				if after <= 0 {
					servedInTime++
				}
			}
		}
	}
	if err := <-sent; err != nil {
		t.Fatal(err)
	}
	t.Logf("%s: %d served, %d of them in time; %d answers late, the latest by %v; the test stood still for %v", t.Name(), served, servedInTime, late, latest, stalls.total())
	if lost > 0 {
		t.Errorf("%d of %d calls were answered over %v after their clients' time", lost, waitingCalls, lostAfter)
	}
	if served == 0 {
		t.Error("no call was served")
	}
	n.backends.checkNoneLate(t, &w, stalls.total())
}

// checkNoneLate checks that no call was received after its client's time.
func (b *longAnswers) checkNoneLate(t *testing.T, w *timedCalls, stalled time.Duration) {
	t.Helper()
	b.mu.Lock()
	defer b.mu.Unlock()
	late := 0
	for id, at := range b.latest {
		if call := w.get(id); at.Sub(call.written) > call.patience+lateSlack+stalled {
			late++
		}
	}
	if late > 0 {
		t.Errorf("%d of %d calls were sent to a backend after their clients' time", late, len(b.latest))
	}
}

// readAnswers reads a line, which has one answer or those to a batch.
func readAnswers(in *bufio.Reader) (answers []rpcAnswer, err error) {
	line, err := in.ReadBytes('\n')
	if err != nil {
		return nil, err
	}
	if line[0] != '[' {
		line = append(append([]byte{'['}, line...), ']')
	}
	err = json.Unmarshal(line, &answers)
	return answers, err
}
