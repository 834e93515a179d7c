package jsonrpc

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"slices"
	"strings"
	"testing"

	"github.com/go-json-experiment/json/jsontext"
)

func reader(text string) *Reader { return NewReader(bufio.NewReader(strings.NewReader(text))) }

// Frames of both framings are read from one stream, wherever its bytes are split.
func TestFramesAreSplitWhereverTheStreamBreaks(t *testing.T) {
	want := []string{`{"a":"}\"]"}`, `[1,{"b":[]}]`, `17`, `"x y"`, `{}`, `{"c":1}`, `true`}
	text := "\r\n " + want[0] + want[1] + "17 \"x y\" \n" + string(AppendFrame(nil, HeaderDelimited, []byte(want[4]))) +
		"content-type: x\r\n"[:0] + "Content-Type: application/json\r\ncontent-length:  7\r\n\r\n" + want[5] + "true"
	for size := 1; size < 20; size++ {
		r := NewReader(bufio.NewReader(&chunkReader{[]byte(text), size}))
		for i, w := range want {
			got, err := r.Next()
			if err != nil || string(got) != w {
				t.Fatalf("reads of %d bytes: frame %d is %q, %v; want %q", size, i, got, err, w)
			}
			if headed := i == 4 || i == 5; (r.Framing() == HeaderDelimited) != headed {
				t.Errorf("frame %d: framing %v", i, r.Framing())
			}
		}
		if _, err := r.Next(); err != io.EOF {
			t.Errorf("at the end: %v; want io.EOF", err)
		}
	}
}

// chunkReader returns at most size bytes per read.
type chunkReader struct {
	remaining []byte
	size      int
}

func (c *chunkReader) Read(p []byte) (int, error) {
	if len(c.remaining) == 0 {
		return 0, io.EOF
	}
	n := copy(p, c.remaining[:min(len(c.remaining), c.size)])
	c.remaining = c.remaining[n:]
	return n, nil
}

// A reader asks for the memory of a frame before its buffer grows, up to the largest frame, and reads nothing of a frame that gets none.
func TestReaderAsksForMemory(t *testing.T) {
	text := `["` + strings.Repeat("x", MaxFrameBytes-len(`[""]`)) + `"]`
	for _, framing := range []Framing{Lines, HeaderDelimited} {
		r := reader(string(AppendFrame(nil, framing, []byte(text))))
		var sizes []int
		r.Grow = func(size int) bool {
			sizes = append(sizes, size)
			return true
		}
		frame, err := r.Next()
		if err != nil || string(frame) != text {
			t.Fatalf("framing %v: %d bytes, %v; want %d", framing, len(frame), err, len(text))
		}
		if len(sizes) == 0 || !slices.IsSorted(sizes) || sizes[len(sizes)-1] != MaxFrameBytes || cap(frame) != MaxFrameBytes {
			t.Errorf("framing %v: asked for %v, and the buffer has %d", framing, sizes, cap(frame))
		}
		r = reader(string(AppendFrame(nil, framing, []byte(text))))
		r.Grow = func(size int) bool { return size < MaxFrameBytes }
		if _, err := r.Next(); !errors.Is(err, ErrNoMemory) {
			t.Errorf("framing %v, without memory: %v", framing, err)
		}
	}
}

// Package jsontext keeps over 200 bytes for each level of nesting: a frame of 64 KiB could take over 1 MB of memory to parse.
func TestReaderLimitsNesting(t *testing.T) {
	const limit = 20
	nested := func(levels int) string {
		return strings.Repeat(`[{"a":`, levels/2) + "1" + strings.Repeat("}]", levels/2)
	}
	for _, framing := range []Framing{Lines, HeaderDelimited} {
		for _, x := range []struct {
			text string
			ok   bool
		}{
			{nested(limit), true},
			{nested(limit + 2), false},
			{"[" + nested(limit) + "]", false},
			{"[" + strings.Repeat("[],{},", 2*limit) + "1]", true},
			{`["` + strings.Repeat(`[\"`, 2*limit) + `"]`, true},
		} {
			r := reader(string(AppendFrame(nil, framing, []byte(x.text))))
			r.MaxNesting = limit
			frame, err := r.Next()
			if x.ok && (err != nil || string(frame) != x.text) || !x.ok && !errors.Is(err, ErrFrame) {
				t.Errorf("framing %v: %s: %q, %v", framing, x.text, frame, err)
			}
		}
	}
}

// A batch is counted before it is split, as one of 64 KiB can have over 30,000 members.
func TestMembersOfBatch(t *testing.T) {
	for text, want := range map[string]int{`[]`: 0, ` [ 1 ] `: 1, `[{"a":[1,2]},[3,4],"]"]`: 3, "[" + strings.Repeat("1,", 30_000) + "1]": 30_001} {
		batch, err := Value([]byte(text))
		if err != nil || !IsBatch(batch) {
			t.Fatalf("%.20s: batch %v, %v", text, IsBatch(batch), err)
		}
		if got, err := CountMembers(batch); got != want || err != nil {
			t.Errorf("%.20s has %d members, %v; want %d", text, got, err, want)
		}
		if members, err := Members(batch); len(members) != want || err != nil {
			t.Errorf("%.20s is split into %d members, %v; want %d", text, len(members), err, want)
		}
	}
}

// A message in parts is framed like the same message in one piece.
func TestAppendFrameParts(t *testing.T) {
	id, result := jsontext.Value(`"a"`), jsontext.Value(`{"b":[1]}`)
	const message = `{"jsonrpc":"2.0","id":"a","result":{"b":[1]}}`
	for _, framing := range []Framing{Lines, HeaderDelimited} {
		got := bytes.Join(AppendFrameParts(nil, framing, ResultParts(id, result)), nil)
		if want := AppendFrame(nil, framing, []byte(message)); !bytes.Equal(got, want) {
			t.Errorf("framing %v: %q, want %q", framing, got, want)
		}
	}
}

// The error text of a malformed frame has no line break: it is sent to the client.
func TestMalformedFramesAreRejected(t *testing.T) {
	for _, text := range []string{"{]", "]", "{\"a\n\":1}", "{", `"`, strings.Repeat("[", MaxFrameBytes+1), "Content-Length: x\r\n\r\n{}",
		"Content-Length: 2\r\n{}", "Content-Length: 5\r\n\r\n{}", "C", "Cookie: x\r\n\r\n{}", "Content-Length: 65537\r\n\r\n",
		strings.Repeat("Content-Type: x\r\n", 100), "Content-Length: -1\r\n\r\n", "\r\n\r\nContent-Type: x\r\n\r\n{}"} {
		if frame, err := reader(text).Next(); !errors.Is(err, ErrFrame) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%.30q: %q, %v", text, frame, err)
		}
	}
}

func TestFind(t *testing.T) {
	v := jsontext.Value(`{"a":{"b~/c":[1,"two",{"d":null}]},"x":"\u00e9"}`)
	for _, c := range []struct{ at, want string }{{"/a/b~0~1c/1", `"two"`}, {"/a/b~0~1c/2/d", "null"}, {"/a/b~0~1c/3", ""},
		{"/x", `"\u00e9"`}, {"/x/y", ""}, {"/none", ""}, {"/a/b~0~1c/01", ""}} {
		got, ok := Find(v, jsontext.Pointer(c.at))
		if ok != (c.want != "") || string(got) != c.want {
			t.Errorf("%s: %s, %v; want %s", c.at, got, ok, c.want)
		}
	}
	if _, ok := Find(nil, "/a"); ok {
		t.Error("found a value in nil params")
	}
}

// A message that is parsed and encoded again is unchanged, and no input makes the reader fail other than with an error.
func FuzzMessages(f *testing.F) {
	for _, s := range []string{`{"jsonrpc":"2.0","method":"sum","params":[1],"id":"1"}`, `[{"jsonrpc":"2.0","id":null,"result":1},3]`,
		"Content-Length: 2\r\n\r\n{}", `{"jsonrpc":"2.0","id":1.50,"error":{"code":-1,"message":"\ud83d\ude00"}}`, "[]", "{]", "17 ", `"\ud800"`,
		`{"jsonrpc":"2.0","id":1,"id":2,"method":"x"}`, "\xff", "Content-Length: 99999999999\r\n\r\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		r := NewReader(bufio.NewReader(bytes.NewReader(text)))
		for range 100 {
			frame, err := r.Next()
			if err != nil {
				if err != io.EOF && !errors.Is(err, ErrFrame) {
					t.Fatalf("%v", err)
				}
				return
			}
			if len(frame) > MaxFrameBytes {
				t.Fatalf("a frame of %d bytes", len(frame))
			}
			members, _, err := Split(frame)
			if err != nil {
				continue
			}
			if !json.Valid(frame) {
				t.Fatalf("invalid JSON %q was accepted", frame)
			}
			for _, v := range members {
				m, err := Parse(v, "x")
				if err != nil {
					continue
				}
				if m.Method == "" {
					continue
				}
				again, err := Parse(AppendCall(nil, "7", m.Method, m.Params, "", nil), "")
				if err != nil || again.Method != m.Method || !bytes.Equal(again.Params, m.Params) || string(again.ID) != `"7"` {
					t.Fatalf("%q became %+v, %v", v, again, err)
				}
			}
		}
	})
}
