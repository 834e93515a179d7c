// Package rpccarrier carries attempts to boxes over JSON-RPC 2.0: few connections to a box, each with many calls at once.
package rpccarrier

import (
	"encoding/json"
	"fmt"

	"github.com/go-json-experiment/json/jsontext"

	"craneglade/internal/engine"
	"craneglade/internal/jsonrpc"
	"craneglade/internal/wire"
	"craneglade/policy"
)

// Call is one call of a client, as front and carrier share it. It is its own payload.
type Call struct {
	engine.Request
	Method string
	Params jsontext.Value
	Key    string // idempotency key; "" for none
}

// Reply is a box's answer: one of the two.
type Reply struct {
	Result jsontext.Value
	Error  jsontext.Value // an error object that is the application's own word
}

// metadataMember is the member of calls to boxes and of their answers that is the node's own, and not the client's.
const metadataMember = "craneglade"

// requestMetadata is what a box is told beside a call.
type requestMetadata struct {
	Request    string `json:"request"`          // the same in each attempt of a request
	DeadlineUS int64  `json:"deadline_us"`      // nobody waits any more after this
	Key        string `json:"key,omitempty"`    // idempotency key
	Tenant     string `json:"tenant,omitempty"` //
}

// answerMetadata is what a box tells beside an answer.
type answerMetadata struct {
	Load   json.RawMessage `json:"load"`    // a load report, as X-Load has it
	NotRun bool            `json:"not_run"` // of an error: the call was turned away and never ran
}

// classify tells what an answer means. An error object with a code that the specification keeps for servers (-32603, -32000 to
// -32099) is the box's failure, and the call may have run; any other is an answer of the application, as a result is.
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
		res.Outcome, res.Reply = policy.OK, &Reply{Result: m.Result}
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
		res.Outcome, res.Reply = policy.OK, &Reply{Error: m.Error}
	}
	return res, reportErr
}
