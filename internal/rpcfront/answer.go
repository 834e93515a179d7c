package rpcfront

import (
	"fmt"
	"strconv"
	"time"

	"github.com/go-json-experiment/json/jsontext"

	"craneglade/internal/engine"
	"craneglade/internal/jsonrpc"
	"craneglade/internal/rpccarrier"
)

// Error codes of the node, in addition to those of the specification. docs/operators/jsonrpc.md documents them.
const (
	Refused = -32001 // the call has not run, or may safely run again
	Failed  = -32002 // the call may have run
)

const (
	writeTimeout     = 2 * time.Second
	refuseRetryAfter = 250 * time.Millisecond
)

// idOrNull returns id, or JSON null if there is none.
func idOrNull(id jsontext.Value) jsontext.Value {
	if id == nil {
		return jsonrpc.Null
	}
	return id
}

// encodeAnswer encodes an answer of the engine for the client.
func encodeAnswer(id jsontext.Value, a engine.Answer) []byte {
	if id == nil {
		return nil
	}
	if r, ok := a.Payload.(*rpccarrier.Reply); ok {
		if r.Error != nil {
			return jsonrpc.AppendErrorObject(nil, id, r.Error)
		}
		return jsonrpc.AppendResult(nil, id, r.Result)
	}
	if a.Kind == engine.Refused {
		return jsonrpc.AppendError(nil, id, Refused, "refused", refusalData(a.RetryAfter))
	}
	return jsonrpc.AppendError(nil, id, Failed, "failed", jsontext.Value(`{"repeat":"unknown"}`))
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

// write writes a message. It closes the connection if the client does not read it within writeTimeout.
func (c *conn) write(message []byte) {
	if len(message) == 0 {
		return
	}
	c.mu.Lock()
	f := c.framing
	c.mu.Unlock()
	c.writing.Lock()
	defer c.writing.Unlock()
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := c.Write(jsonrpc.AppendFrame(nil, f, message)); err != nil {
		c.Close() // part of the message may be written: nothing can follow it
	}
}
