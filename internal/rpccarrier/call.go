// Package rpccarrier sends attempts to backends over JSON-RPC 2.0, with many concurrent calls on each of a few connections.
package rpccarrier

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/go-json-experiment/json/jsontext"

	"craneglade/internal/engine"
	"craneglade/internal/jsonrpc"
	"craneglade/internal/wire"
	"craneglade/policy"
)

// Call is a JSON-RPC call of a client, as passed from the front to the carrier. It is its own engine payload.
type Call struct {
	engine.Request
	Method string
	Params jsontext.Value
	Key    string // idempotency key; "" for none
	Memory Memory // of the client's message, which Params is a part of; nil if it is not counted
}

// Memory is memory that is reserved for a call.
type Memory interface {
	Release() // returns it
}

// Release returns the memory of the client's message. The engine calls it when the call is closed.
func (c *Call) Release() {
	if c.Memory != nil {
		c.Memory.Release()
	}
}

// Reply is a backend's answer. Exactly one of its fields is set. It shares no memory with the rest of the backend's message.
type Reply struct {
	Result jsontext.Value
	Error  jsontext.Value // an error object of the application
}

// metadataMember is the member that the node adds to calls to backends, and that backends may add to their answers. It is not
// forwarded to clients.
const metadataMember = "craneglade"

// requestMetadata is sent to a backend with a call.
type requestMetadata struct {
	Request    string `json:"request"`          // request id, the same in each attempt
	DeadlineUS int64  `json:"deadline_us"`      // remaining time of the attempt in microseconds
	Key        string `json:"key,omitempty"`    // idempotency key
	Tenant     string `json:"tenant,omitempty"` // "" for none
}

// answerMetadata is sent by a backend with an answer.
type answerMetadata struct {
	Load   json.RawMessage `json:"load"`    // a load report, in the format of X-Load
	NotRun bool            `json:"not_run"` // of an error: the call was rejected and never ran
}

// classify determines the outcome of an attempt from its answer. An error object with a code that the specification reserves
// for servers (-32603, -32000 to -32099) is a failure of the backend, and the call may have run. Any other error object is an
// answer of the application, like a result.
func classify(m *jsonrpc.Message, reports bool) (engine.Result, error) {
	res := engine.Result{Outcome: policy.Failed}
	var metadata answerMetadata
	if m.Extra != nil {
		if err := json.Unmarshal(m.Extra, &metadata); err != nil {
			return res, fmt.Errorf("%s: %w", metadataMember, err)
		}
	}
	var reportErr error
	if metadata.Load != nil && reports {
		res.Load, reportErr = wire.DecodeLoad(string(metadata.Load))
	}
	if m.Result != nil {
		res.Outcome, res.Reply = policy.OK, &Reply{Result: bytes.Clone(m.Result)}
		return res, reportErr
	}
	var object struct {
		Code    *int64  `json:"code"`
		Message *string `json:"message"`
	}
	if err := json.Unmarshal(m.Error, &object); err != nil || object.Code == nil || object.Message == nil {
		return res, fmt.Errorf("an error object without code and message")
	}
	code := *object.Code
	switch {
	case metadata.NotRun:
		res.Outcome = policy.Full
	case code == jsonrpc.InternalError || code <= -32000 && code >= -32099:
	default:
		res.Outcome, res.Reply = policy.OK, &Reply{Error: bytes.Clone(m.Error)}
	}
	return res, reportErr
}
