package rpcfront

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/go-json-experiment/json/jsontext"

	"craneglade/internal/engine"
	"craneglade/internal/jsonrpc"
	"craneglade/internal/rpccarrier"
	"craneglade/internal/sock"
)

// Error codes of the node, in addition to those of the specification. docs/operators/jsonrpc.md documents them.
const (
	Refused = -32001 // the call has not run, or may safely run again
	Failed  = -32002 // the call may have run
)

const (
	writeTimeout     = 2 * time.Second // for which a client may read nothing of its answer
	minReadBytes     = 64 << 10        // of an answer that a client reads in writeTimeout, on average
	refuseRetryAfter = 250 * time.Millisecond
)

// idOrNull returns id, or JSON null if there is none.
func idOrNull(id jsontext.Value) jsontext.Value {
	if id == nil {
		return jsonrpc.Null
	}
	return id
}

// message is an encoded message in parts that follow one another; nil for none.
type message [][]byte

// encodeAnswer encodes an answer of the engine for the client. size is the part of openCallBytes that it needs until it is
// written.
func encodeAnswer(id jsontext.Value, a engine.Answer) (m message, size int64) {
	if id == nil {
		return nil, 0
	}
	if r, ok := a.Payload.(*rpccarrier.Reply); ok {
		if r.Error != nil {
			return message{jsonrpc.AppendErrorObject(nil, id, r.Error)}, int64(len(r.Error))
		}
		return jsonrpc.ResultParts(id, r.Result), int64(len(r.Result))
	}
	if a.Kind == engine.Refused {
		return refusal(id, "refused", a.RetryAfter), 0
	}
	return message{jsonrpc.AppendError(nil, id, Failed, "failed", jsontext.Value(`{"repeat":"unknown"}`))}, 0
}

// refusal returns the answer to a call that has not run. The id may be nil.
func refusal(id jsontext.Value, text string, retryAfter time.Duration) message {
	return message{jsonrpc.AppendError(nil, idOrNull(id), Refused, text, refusalData(retryAfter))}
}

// refusalData returns the data member of an error with code Refused.
func refusalData(after time.Duration) jsontext.Value {
	return fmt.Appendf(nil, `{"repeat":"harmless","retry_after_s":%s}`, strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
}

func quote(s string) jsontext.Value {
	q, err := jsontext.AppendQuote(nil, s)
	if err != nil {
		return jsontext.Value(`"it holds what is not UTF-8"`)
	}
	return q
}

// write writes a message. It closes the connection if the client does not read for writeTimeout.
func (c *conn) write(m message) {
	if len(m) == 0 {
		return
	}
	c.mu.Lock()
	f := c.framing
	c.mu.Unlock()
	parts := jsonrpc.AppendFrameParts(make([][]byte, 0, len(m)+1), f, m)
	c.writing.Lock()
	defer c.writing.Unlock()
	if err := c.writeParts(parts); err != nil {
		c.front.cfg.Log.Info("answer not written; closing the connection", "client", c.RemoteAddr(), "err", err)
		c.Close() // part of the message may be written: nothing can follow it
	}
}

// writeFromReader is write for the connection's reader, which reads nothing meanwhile.
func (c *conn) writeFromReader(m message) { c.received.ObserveWhile(func() { c.write(m) }) }

// writeParts writes the parts of a message. The client has to read something every writeTimeout, and all of it in the time that it needs
// at minReadBytes in that time.
func (c *conn) writeParts(parts [][]byte) error {
	rest := net.Buffers(parts)
	size := 0
	for _, part := range parts {
		size += len(part)
	}
	end := time.Now().Add(writeTimeout * time.Duration(1+size/minReadBytes))
	for {
		unsent := sock.Unsent(c.Conn)
		c.SetWriteDeadline(time.Now().Add(writeTimeout))
		written, err := rest.WriteTo(c.Conn) // removes from rest what it writes
		hasRead := written > 0 || sock.Unsent(c.Conn) < unsent
		if !errors.Is(err, os.ErrDeadlineExceeded) || !hasRead || time.Now().After(end) {
			return err
		}
	}
}
