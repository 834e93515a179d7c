package jsonrpc

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync"

	"github.com/go-json-experiment/json/jsontext"
)

// Error codes of section 5.1 of the specification.
const (
	ParseError     = -32700
	InvalidRequest = -32600
	MethodNotFound = -32601
	InvalidParams  = -32602
	InternalError  = -32603
)

// Null is the id of an answer to a message without a valid id.
var Null = jsontext.Value("null")

// Message is a request, a notification or a response. Its values are the bytes as received.
type Message struct {
	ID     jsontext.Value // nil if the member is missing
	Method string
	Params jsontext.Value // nil if the member is missing
	Result jsontext.Value
	Error  jsontext.Value
	Extra  jsontext.Value // value of the extra member that Parse was given
}

// IsNotification reports whether m has no id, so that it gets no answer.
func (m *Message) IsNotification() bool { return m.ID == nil }

// decoders pools decoders: allocating the name tables of one costs more than parsing a call.
var decoders = sync.Pool{New: func() any { return new(jsontext.Decoder) }}

// newDecoder returns a decoder of text, which must not be modified: the values read are slices of it and stay valid after the
// decoder is returned to decoders.
func newDecoder(text []byte) *jsontext.Decoder {
	d := decoders.Get().(*jsontext.Decoder)
	d.Reset(bytes.NewBuffer(text))
	return d
}

// Value returns the JSON value that a frame consists of. An error means that the frame is not one valid JSON value, and nothing in
// it may be used.
func Value(frame []byte) (jsontext.Value, error) {
	d := newDecoder(frame)
	defer decoders.Put(d)
	text, err := d.ReadValue()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrFrame, err)
	}
	if _, err := d.ReadToken(); err != io.EOF {
		return nil, fmt.Errorf("%w: something stands behind it", ErrFrame)
	}
	return text, nil
}

// IsBatch reports whether a valid JSON value is a batch.
func IsBatch(text jsontext.Value) bool { return text.Kind() == '[' }

// CountMembers returns the number of members of a batch. Unlike Members it allocates no memory for them.
func CountMembers(batch jsontext.Value) (count int, err error) {
	err = eachMember(batch, func(d *jsontext.Decoder) error {
		count++
		return d.SkipValue()
	})
	return count, err
}

// Members returns the members of a batch.
func Members(batch jsontext.Value) (members []jsontext.Value, err error) {
	err = eachMember(batch, func(d *jsontext.Decoder) error {
		v, err := d.ReadValue()
		members = append(members, v)
		return err
	})
	return members, err
}

// eachMember calls read for each member of a batch, which must be an array. read has to read one value.
func eachMember(batch jsontext.Value, read func(d *jsontext.Decoder) error) error {
	d := newDecoder(batch)
	defer decoders.Put(d)
	if _, err := d.ReadToken(); err != nil {
		return fmt.Errorf("%w: %w", ErrFrame, err)
	}
	for d.PeekKind() != ']' {
		if err := read(d); err != nil {
			return fmt.Errorf("%w: %w", ErrFrame, err)
		}
	}
	return nil
}

// Split returns the members of a batch, or the text itself if it is not a batch. An error means that the frame is not valid JSON,
// and nothing in it may be used.
func Split(frame []byte) (members []jsontext.Value, batch bool, err error) {
	text, err := Value(frame)
	if err != nil {
		return nil, false, err
	}
	if !IsBatch(text) {
		return []jsontext.Value{text}, false, nil
	}
	members, err = Members(text)
	return members, true, err
}

// Parse parses one message. extra names an additional member to return; other unknown members are ignored. If valid JSON is not
// a valid message, Parse returns an error and a message with the id, as far as it could be read.
func Parse(v jsontext.Value, extra string) (Message, error) {
	var m Message
	if v.Kind() != '{' {
		return m, errors.New("a message is an object")
	}
	d := newDecoder(v)
	defer decoders.Put(d)
	if _, err := d.ReadToken(); err != nil {
		return m, err
	}
	var version, method jsontext.Value
	for d.PeekKind() != '}' {
		name, err := d.ReadToken()
		if err != nil {
			return m, err
		}
		key := name.String()
		value, err := d.ReadValue()
		if err != nil {
			return m, err
		}
		switch key {
		case "jsonrpc":
			version = value
		case "id":
			m.ID = value
		case "method":
			method = value
		case "params":
			m.Params = value
		case "result":
			m.Result = value
		case "error":
			m.Error = value
		case extra:
			m.Extra = value
		}
	}
	if k := m.ID.Kind(); m.ID != nil && k != '"' && k != '0' && k != 'n' {
		m.ID = Null
		return m, errors.New("id: it is a string, a number or null")
	}
	if string(version) != `"2.0"` {
		return m, errors.New(`jsonrpc: it is "2.0"`)
	}
	if m.Result != nil || m.Error != nil {
		if method != nil || m.Result != nil && m.Error != nil {
			return m, errors.New("one of method, result and error")
		}
		return m, nil
	}
	if method.Kind() != '"' {
		return m, errors.New("method: missing, or no string")
	}
	text, err := jsontext.AppendUnquote(nil, method)
	if err != nil {
		return m, err
	}
	m.Method = string(text)
	if k := m.Params.Kind(); m.Params != nil && k != '{' && k != '[' {
		return m, errors.New("params: an object or an array")
	}
	return m, nil
}

// ResultParts returns a response with a result in parts that follow one another. The result is not copied.
func ResultParts(id, result jsontext.Value) [][]byte {
	const start, middle = `{"jsonrpc":"2.0","id":`, `,"result":`
	head := make([]byte, 0, len(start)+len(id)+len(middle))
	head = append(append(append(head, start...), id...), middle...)
	return [][]byte{head, result, {'}'}}
}

// AppendErrorObject appends a response with an encoded error object.
func AppendErrorObject(out []byte, id, object jsontext.Value) []byte {
	out = append(append(out, `{"jsonrpc":"2.0","id":`...), id...)
	out = append(append(out, `,"error":`...), object...)
	return append(out, '}')
}

// AppendError appends a response with an error; data may be nil.
func AppendError(out []byte, id jsontext.Value, code int, text string, data jsontext.Value) []byte {
	object := fmt.Appendf(nil, `{"code":%d,"message":`, code)
	quoted, err := jsontext.AppendQuote(nil, text)
	if err != nil {
		quoted = []byte(`"an error whose text is not UTF-8"`)
	}
	object = append(object, quoted...)
	if data != nil {
		object = append(append(object, `,"data":`...), data...)
	}
	return AppendErrorObject(out, id, append(object, '}'))
}

// AppendCall appends a request. params may be nil. Unless extra is "", a member of that name with value is added to those of
// the specification; strict servers reject a request that has one.
func AppendCall(out []byte, id, method string, params jsontext.Value, extra string, value jsontext.Value) []byte {
	out = append(out, `{"jsonrpc":"2.0","id":`...)
	out, _ = jsontext.AppendQuote(out, id) // can't fail: ids generated here are ASCII
	out = append(out, `,"method":`...)
	out, _ = jsontext.AppendQuote(out, method) // can't fail: method was unquoted from JSON and is UTF-8
	if params != nil {
		out = append(append(out, `,"params":`...), params...)
	}
	if extra != "" {
		out = append(out, ',')
		out, _ = jsontext.AppendQuote(out, extra)
		out = append(append(out, ':'), value...)
	}
	return append(out, '}')
}

// Find returns the value that an RFC 6901 pointer refers to; ok is false if there is none.
func Find(v jsontext.Value, p jsontext.Pointer) (found jsontext.Value, ok bool) {
	d := newDecoder(nil)
	defer decoders.Put(d)
	for token := range p.Tokens() {
		d.Reset(bytes.NewBuffer(v))
		open, err := d.ReadToken()
		if err != nil {
			return nil, false
		}
		v = nil
		switch open.Kind() {
		case '{':
			for d.PeekKind() != '}' {
				name, err := d.ReadToken()
				if err != nil {
					return nil, false
				}
				matched := name.String() == token
				value, err := d.ReadValue()
				if err != nil {
					return nil, false
				}
				if matched {
					v = value
					break
				}
			}
		case '[':
			for i := 0; d.PeekKind() != ']'; i++ {
				value, err := d.ReadValue()
				if err != nil {
					return nil, false
				}
				if fmt.Sprint(i) == token {
					v = value
					break
				}
			}
		}
		if v == nil {
			return nil, false
		}
	}
	return v, v != nil
}

// Text returns the text of a JSON string; ok is false for any other value.
func Text(v jsontext.Value) (text string, ok bool) {
	if v.Kind() != '"' {
		return "", false
	}
	b, err := jsontext.AppendUnquote(nil, v)
	return string(b), err == nil
}
