package timing

import (
	"bytes"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

const (
	testRequests = 1000
	testWork     = 100 * time.Microsecond // for a request
	requestBytes = 10
	readBytes    = 10 * requestBytes
)

// fairConn is a connection in the clock of a test.
type fairConn struct {
	FairReader
	waiting bool // more has always arrived
	ending  atomic.Bool
	sent    time.Duration // for which the other side waits between requests
	size    int           // of the parts in which its data arrives
}

func newFairConn(shared *SharedWork) *fairConn {
	c := &fairConn{size: readBytes}
	c.FairReader = FairReader{Source: c.source(), Shared: shared, HasInput: func() bool { return c.waiting }, Ending: func() bool { return c.ending.Load() }}
	return c
}

type readFunc func(p []byte) (int, error)

func (f readFunc) Read(p []byte) (int, error) { return f(p) }

func (c *fairConn) source() io.Reader {
	return readFunc(func(p []byte) (int, error) {
		time.Sleep(c.sent)
		return copy(p, make([]byte, c.size)), nil
	})
}

// serve reads and serves requests, and returns how long that took beyond the work and the waits.
func (c *fairConn) serve(requests int) (paused time.Duration) {
	start := time.Now()
	buffer := make([]byte, readBytes)
	waited := time.Duration(0)
	for requests > 0 {
		n, _ := c.Read(buffer)
		waited += c.sent
		for rest := bytes.NewReader(buffer[:n]); rest.Len() >= requestBytes && requests > 0; requests-- { // of testWork each
			rest.Seek(requestBytes, io.SeekCurrent)
			time.Sleep(testWork)
			waited += testWork
			c.EndRequest(rest.Len() > 0)
		}
	}
	return time.Since(start) - waited
}

// A connection whose requests have always arrived already pauses for three times as long as it is worked for. So does one that is worked
// for much of the time, though it never has more than one request. One that sends requests now and then never pauses.
func TestFairReaderPausesBusyConnections(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name    string
		waiting bool
		size    int
		sent    time.Duration
		want    time.Duration
	}{
		{"always more", true, readBytes, 0, 3 * testRequests * testWork},
		{"one after the other at full speed", false, requestBytes, 0, 3 * testRequests * testWork},
		{"much at once, now and then", false, readBytes, time.Second, 0},
		{"now and then", false, requestBytes, 5 * time.Millisecond, 0},
	} {
		synctest.Test(t, func(t *testing.T) {
			conn := newFairConn(NewSharedWork(1))
			conn.waiting, conn.size, conn.sent = c.waiting, c.size, c.sent
			if paused := conn.serve(testRequests); paused > c.want+maxSliceWork || paused < c.want-maxSliceWork {
				t.Errorf("%s: %v of pauses for %v of work, want %v", c.name, paused, testRequests*testWork, c.want)
			}
		})
	}
}

// Requests that wait for others do not count, however many come at once; those between them do.
func TestDroppedRequestsAreNoWork(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		conn := newFairConn(NewSharedWork(1))
		conn.waiting = true
		buffer := make([]byte, requestBytes)
		paused := time.Duration(0)
		request := func(dropped bool) {
			start := time.Now()
			conn.Read(buffer)
			time.Sleep(testWork / 2)
			conn.Read(buffer) // its body
			time.Sleep(testWork / 2)
			if dropped {
				conn.DropRequest()
			}
			conn.EndRequest(false)
			paused += time.Since(start) - testWork
		}
		for range testRequests {
			request(true)
		}
		if paused != 0 {
			t.Errorf("%v of pauses for requests that wait for others", paused)
		}
		for range testRequests {
			request(true)
			request(false)
		}
		if want := 3 * testRequests * testWork; paused < want-maxSliceWork || paused > want+maxSliceWork {
			t.Errorf("%v of pauses for %v of work, want %v", paused, testRequests*testWork, want)
		}
	})
}

// Busy connections share one part of the processor: six of them take six times as long as one.
func TestBusyConnectionsTakeTurns(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		const busy = 6
		shared := NewSharedWork(1)
		start := time.Now()
		done := make(chan struct{})
		for range busy {
			conn := newFairConn(shared)
			conn.waiting = true
			go func() {
				conn.serve(testRequests)
				done <- struct{}{}
			}()
		}
		for range busy {
			<-done
		}
		want := 4 * busy * testRequests * testWork
		if took := time.Since(start); took > want+busy*maxSliceWork || took < want-busy*maxSliceWork {
			t.Errorf("%v for %v of work, want %v", took, busy*testRequests*testWork, want)
		}
	})
}

// A pause ends when the connection is to end, and a process that was held up counts for a little only.
func TestPausesAreBounded(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		shared := NewSharedWork(1)
		conn := newFairConn(shared)
		conn.waiting = true
		buffer := make([]byte, readBytes)
		conn.Read(buffer)
		time.Sleep(time.Hour) // of work
		start := time.Now()
		conn.Read(buffer)
		if paused := time.Since(start); paused != 0 {
			t.Errorf("a pause of %v after one time without a processor", paused)
		}
		const stalls = fairSlice / maxRequestWork
		start = time.Now()
		for range stalls {
			time.Sleep(time.Hour)
			conn.EndRequest(false)
		}
		if paused, most := time.Since(start)-stalls*time.Hour, 4*fairSlice; paused == 0 || paused > most {
			t.Errorf("a pause of %v after %d times without a processor, want at most %v", paused, stalls, most)
		}
		conn.Wait(func() { time.Sleep(time.Hour) })
		start = time.Now()
		conn.Read(buffer)
		if paused := time.Since(start); paused != 0 {
			t.Errorf("a pause of %v after a wait", paused)
		}
		for range 100 { // its turn then comes after 4 s
			shared.reserve(maxSliceWork)
		}
		for range fairSlice / maxRequestWork {
			time.Sleep(maxRequestWork)
			conn.EndRequest(false)
		}
		time.Sleep(maxRequestWork)
		time.AfterFunc(minCheckInterval/2, func() { conn.ending.Store(true) })
		start = time.Now()
		conn.Read(buffer)
		if paused := time.Since(start); paused > maxCheckInterval {
			t.Errorf("a pause of %v though the connection is to end", paused)
		}
	})
}

// A connection that ends with input unread waits for its turn, as its client may go on with another one; one without input does not.
func TestFinishPausesForUnreadInput(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		for _, waiting := range []bool{true, false} {
			conn := newFairConn(NewSharedWork(1))
			conn.Read(make([]byte, readBytes))
			time.Sleep(testWork)
			conn.waiting = waiting
			start, want := time.Now(), time.Duration(0)
			if waiting {
				want = 3 * testWork
			}
			conn.Finish(time.Second)
			if paused := time.Since(start); paused != want {
				t.Errorf("input %v: a pause of %v, want %v", waiting, paused, want)
			}
		}
	})
}
