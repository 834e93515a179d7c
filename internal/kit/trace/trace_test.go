package trace

import (
	"bytes"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
)

func TestRoundTrip(t *testing.T) {
	var b bytes.Buffer
	w := NewWriter(&b, Head{Scenario: "x", Seed: 7, Classes: []Class{{Name: "save", Effect: "keyed"}}})
	recs := []Record{{Kind: Sent, T: 5, ID: "a<b", Node: "n1", Timeout: 9}, {Kind: Received, T: 7, T0: 6, Backend: "s-1", Work: 100}, {Kind: End, T: 9}}
	for i := range recs {
		w.Add(&recs[i])
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	r, err := NewReader(&b)
	if err != nil {
		t.Fatal(err)
	}
	if r.Head.Seed != 7 || r.Head.Classes[0].Effect != "keyed" {
		t.Errorf("head: %+v", r.Head)
	}
	var rec Record
	for i := range recs {
		if err := r.Next(&rec); err != nil || !reflect.DeepEqual(rec, recs[i]) || r.Line() != i+2 {
			t.Errorf("line %d: %+v, %v; want %+v", r.Line(), rec, err, recs[i])
		}
	}
	if err := r.Next(&rec); err != io.EOF {
		t.Errorf("at the end: %v", err)
	}
}

func TestInvalidTraces(t *testing.T) {
	good := `{"trace":1,"scenario":"x","seed":1}` + "\n"
	for _, c := range []struct{ name, text, want string }{
		{"empty", "", "line 1"},
		{"not JSON", "hello\n", "line 1"},
		{"another version", `{"trace":9}` + "\n", "trace is 9, and should be 1"},
		{"truncated line", good + `{"e":"sent","t":1` + "\n", "line 2"},
		{"no kind", good + `{"t":1}` + "\n", "line 2"},
		{"negative time", good + `{"e":"sent","t":-1}` + "\n", "line 2"},
		{"a line without end", good + strings.Repeat("x", maxLine+1), "line 2"},
	} {
		r, err := NewReader(strings.NewReader(c.text))
		var rec Record
		for err == nil {
			err = r.Next(&rec)
		}
		if err == io.EOF || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v, want %q", c.name, err, c.want)
		}
		if c.name != "a line without end" && !errors.Is(err, ErrFormat) {
			t.Errorf("%s: %v does not wrap ErrFormat", c.name, err)
		}
	}
}

type failingWriter struct{}

func (failingWriter) Write([]byte) (int, error) { return 0, io.ErrShortWrite }

func TestWriterKeepsFirstError(t *testing.T) {
	w := NewWriter(failingWriter{}, Head{})
	for range 10000 {
		w.Add(&Record{Kind: Sent, T: 1, ID: "0123456789abcdef0123456789abcdef"})
	}
	if err := w.Close(); !errors.Is(err, io.ErrShortWrite) {
		t.Errorf("Close: %v", err)
	}
}
