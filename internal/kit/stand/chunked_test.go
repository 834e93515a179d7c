package stand

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"

	"craneglade/internal/kit/trace"
)

// Guards against chunked bodies that an HTTP reader cannot decode, and against a seed that gives other pieces the
// second time.
func TestChunkedBodyDecodes(t *testing.T) {
	t.Parallel()
	extended, trailed, cut := false, false, false
	for seed := range uint64(200) {
		body := strings.Repeat("window ", int(seed))
		sent := encodeChunked(chunkRand(seed, 1), body)
		if again := encodeChunked(chunkRand(seed, 1), body); !slices.Equal(again, sent) {
			t.Fatalf("seed %d: other pieces the second time", seed)
		}
		text := strings.Join(sent, "")
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader("POST / HTTP/1.1\r\nHost: b\r\nTransfer-Encoding: chunked\r\n\r\n" + text)))
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(r.Body)
		if err != nil || string(got) != body {
			t.Fatalf("seed %d: %q, %v from %q", seed, got, err, text)
		}
		extended, trailed, cut = extended || strings.Contains(text, ";"), trailed || len(r.Trailer) > 0, cut || len(sent) > 1
	}
	if !extended || !trailed || !cut {
		t.Errorf("extensions %v, trailers %v, pieces %v", extended, trailed, cut)
	}
}

// With chunked = 1.0 clients send every body complete and in chunks and record that; a request without a body is not
// chunked.
func TestClientsSendChunkedBodies(t *testing.T) {
	b := newTraceBuffer()
	bodies := make(chan *http.Request, 10)
	c := clients(t, b, "chunked = 1.0\n"+quickClasses, func(conn net.Conn, in *bufio.Reader) {
		for {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			body, err := io.ReadAll(r.Body)
			if err != nil {
				t.Error(err)
			}
			r.Body = io.NopCloser(strings.NewReader(string(body)))
			bodies <- r
			writeResponse(conn, 200, "", "body")
		}
	})
	for class, kind := range c.plan.Scenario.Classes {
		if done := runOne(t, b, c, class); done.How != "served" {
			t.Fatalf("%s: %s", kind.Name, done.How)
		}
		r := <-bodies
		body, _ := io.ReadAll(r.Body)
		chunked := slices.Contains(r.TransferEncoding, "chunked")
		if chunked != (r.Method == "POST") || chunked && !strings.Contains(string(body), r.Header.Get("X-Request-Id")) {
			t.Errorf("%s: coding %q, body %q", kind.Name, r.TransferEncoding, body)
		}
		sent := b.records(t, trace.Sent)
		if how := sent[len(sent)-1].How; (how == trace.Chunked) != chunked {
			t.Errorf("%s: noted as %q", kind.Name, how)
		}
	}
}
