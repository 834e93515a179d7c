package node

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"

	"craneglade/internal/message"
)

// edit replaces the first old in text with fresh.
func edit(text, old, fresh string) string { return strings.Replace(text, old, fresh, 1) }

// Requests with Content-Length are served in all forms that HTTP/1.1 allows, and their target is forwarded unchanged. Chunked bodies have
// tests of their own.
func TestRequestForms(t *testing.T) {
	t.Parallel()
	const target = "/api?key=7f"
	for _, c := range []struct{ name, text, want string }{
		{"header names in other case", edit(edit(quote("q").text(), "X-Request-Id", "x-rEQUEST-iD"), "Content-Length", "content-length"), target},
		{"no space before a value", edit(quote("q").text(), "X-Class: ", "X-Class:"), target},
		{"white space round a value", edit(quote("q").text(), "X-Class: quote", "X-Class: \t quote\t "), target},
		{"an empty value", edit(quote("q").text(), "Host:", "X-Extras:\r\nHost:"), target},
		{"a folded line", edit(quote("q").text(), "Host:", "X-Extras: a=1,\r\n b=2\r\nHost:"), target},
		{"a line feed alone", strings.ReplaceAll(quote("q").text(), "\r\n", "\n"), target},
		{"the absolute form", edit(quote("q").text(), " /api", " http://backend.local/api"), target},
		{"a length with leading zeros", edit(quote("q").text(), "Content-Length: 6", "Content-Length: 0006"), target},
		{"two equal lengths", edit(quote("q").text(), "Content-Length: 6", "Content-Length: 6\r\nContent-Length: 6"), target},
		{"a GET of length 0", edit(view("v").text(), "Host:", "Content-Length: 0\r\nHost:"), target},
		{"Connection: Keep-Alive", edit(quote("q").text(), "Host:", "Connection: Keep-Alive\r\nHost:"), target},
		{"escapes", edit(quote("q").text(), target, "/a%2Fpi;x=1/%7e?key=%37f&a=%20|+"), "/a%2Fpi;x=1/%7e?key=%37f&a=%20|+"},
		{"an empty query", edit(quote("q").text(), target, "/api?"), "/api?"},
	} {
		for _, size := range []int{len(c.text), 1} { // at once, and byte by byte
			name := c.name
			if size == 1 {
				name += ", byte by byte"
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				b := newStubBackend(t, respondOK)
				r := startNode(t, newStubDiscovery(t), settingsJSON, nil, b.entry("s-1"))
				client := r.dial(t)
				for remaining := c.text; remaining != ""; remaining = remaining[size:] {
					client.send(remaining[:size])
				}
				if resp, body := client.readResponse(); resp.StatusCode != 200 || !strings.HasPrefix(body, "done ") {
					t.Fatalf("answered %d %q", resp.StatusCode, body)
				}
				got := b.requests()
				if len(got) != 1 || got[0].RequestURI != c.want {
					t.Errorf("the backend got %d requests, for %q; want one, for %q", len(got), got[0].RequestURI, c.want)
				}
			})
		}
	}
}

// Up to four empty lines before a request are skipped, whether they arrive at once or byte by byte: on a new connection, after a response
// and between pipelined requests. The framing of the body is checked after them as well.
func TestEmptyLinesBeforeRequest(t *testing.T) {
	t.Parallel()
	both := edit(quote("q").text(), "Host:", "Transfer-Encoding: chunked\r\nHost:")
	for _, c := range []struct {
		name, text string
		want       []int // the status codes, in order
	}{
		{"one", "\r\n" + quote("q").text(), []int{200}},
		{"a line feed alone", "\n" + quote("q").text(), []int{200}},
		{"four", "\r\n\n\r\n\r\n" + quote("q").text(), []int{200}},
		{"five", strings.Repeat("\r\n", 5) + quote("q").text(), []int{400}},
		{"endless", strings.Repeat("\r\n", 20000), []int{400}},
		{"a carriage return alone", "\r" + quote("q").text(), []int{400}},
		{"a space", " \r\n" + quote("q").text(), []int{400}},
		{"between requests", quote("a").text() + "\r\n" + quote("b").text() + "\r\n\r\n" + view("c").text(), []int{200, 200, 200}},
		{"after chunks", "\r\n" + quote("a").chunkedHead(codingLine) + inChunks("a door", 2) + "\r\n" + quote("b").text(), []int{200, 200}},
		{"a length and chunks", "\r\n" + both, []int{400}},
	} {
		for _, size := range []int{len(c.text), 1} {
			name := c.name
			if size == 1 {
				name += ", byte by byte"
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				b := newStubBackend(t, respondOK)
				r := startNode(t, newStubDiscovery(t), settingsJSON, nil, b.entry("s-1"))
				client := r.dial(t)
				go func() { // the node may respond and close before it has read all
					for remaining := c.text; remaining != ""; remaining = remaining[size:] {
						if _, err := io.WriteString(client, remaining[:size]); err != nil {
							return
						}
					}
				}()
				served := 0
				for i, want := range c.want {
					resp, _ := client.readResponse()
					if resp.StatusCode != want {
						t.Fatalf("response %d: %d, want %d", i, resp.StatusCode, want)
					}
					if want == http.StatusOK {
						served++
					}
				}
				if n := len(b.requests()); n != served {
					t.Errorf("the backend got %d requests, want %d", n, served)
				}
			})
		}
	}
}

// An empty line after the body of a request leaves its connection idle, and does not start the timeout for the head of the next request.
// A client that sends only empty lines is disconnected.
func TestEmptyLinesAreNotARequest(t *testing.T) {
	t.Parallel()
	r := startNode(t, newStubDiscovery(t), settingsJSON, nil, newStubBackend(t, respondOK).entry("s-1"))
	kept, silent := r.dial(t), r.dial(t)
	silent.send("\r\n")
	kept.send(quote("a").text() + "\r\n")
	if resp, _ := kept.readResponse(); resp.StatusCode != 200 {
		t.Fatalf("answered %d", resp.StatusCode)
	}
	if n, err := silent.Read(make([]byte, 1)); n != 0 || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%d bytes, %v, want the connection closed", n, err)
	}
	// The timeout for a head has passed, and the idle connection is still open.
	if resp, _ := kept.roundTrip(quote("b")); resp.StatusCode != 200 {
		t.Errorf("answered %d", resp.StatusCode)
	}
}

// Responses are served in all forms that have a defined end, also if they arrive byte by byte.
func TestResponseForms(t *testing.T) {
	t.Parallel()
	const want = "a door"
	for _, c := range []struct{ name, text string }{
		{"header names in other case", "HTTP/1.1 200 OK\r\ncontent-LENGTH:6\r\n\r\na door"},
		{"no reason phrase", "HTTP/1.1 200 \r\nContent-Length: \t6 \r\n\r\na door"},
		{"a folded line", "HTTP/1.1 200 OK\r\nX-Other: a\r\n\tb\r\nContent-Length: 6\r\n\r\na door"},
		{"chunks with an extension and a trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n2;x=\"y\"\r\na \r\n04\r\ndoor\r\n0\r\nX-After: b\r\n\r\n"},
		{"100 before the response", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\na door"},
		{"end by close", "HTTP/1.1 200 OK\r\nconnection: x, CLOSE\r\n\r\na door"},
	} {
		for _, whole := range []bool{true, false} {
			name := c.name
			if !whole {
				name += ", byte by byte"
			}
			t.Run(name, func(t *testing.T) {
				t.Parallel()
				b := newStubBackend(t, func(conn net.Conn, _ *http.Request, _ int) bool {
					size := 1
					if whole {
						size = len(c.text)
					}
					for remaining := c.text; remaining != ""; remaining = remaining[size:] {
						if _, err := io.WriteString(conn, remaining[:size]); err != nil {
							return false
						}
					}
					return !strings.Contains(c.text, "CLOSE")
				})
				r := startNode(t, newStubDiscovery(t), settingsJSON, nil, b.entry("s-1"))
				if resp, body := r.dial(t).roundTrip(quote("q")); resp.StatusCode != 200 || body != want {
					t.Errorf("answered %d %q, want %q", resp.StatusCode, body, want)
				}
				if n := len(b.requests()); n != 1 {
					t.Errorf("the backend got %d requests, want 1", n)
				}
			})
		}
	}
}

// Only the body of a response counts towards the limit of the body. Neither informational responses before it nor the framing of small
// chunks may truncate it.
func TestBodyLimitExcludesInformationalHeadsAndFraming(t *testing.T) {
	t.Parallel()
	hints := strings.Repeat("HTTP/1.1 103 Early Hints\r\nLink: </"+strings.Repeat("a", 900)+">\r\n\r\n", 18)
	longest := strings.Repeat("x", message.MaxBodyBytes)
	for _, c := range []struct{ name, text, want string }{
		{"no length", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + longest, longest},
		{"hints, no length", hints + "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + longest, longest},
		{"hints, no length, too long", hints + "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + longest + "x", ""},
		{"hints and a length", hints + fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(longest)) + longest, longest},
		{"small chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + inChunks(longest[:16<<10], 1), longest[:16<<10]},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := newStubBackend(t, func(conn net.Conn, _ *http.Request, _ int) bool {
				io.WriteString(conn, c.text)
				conn.Close()
				return false
			})
			r := startNode(t, newStubDiscovery(t), settingsJSON, nil, b.entry("s-1"))
			resp, body := r.dial(t).roundTrip(quote("q"))
			if served := resp.StatusCode == 200; served != (c.want != "") || served && body != c.want {
				t.Errorf("answered %d, %d bytes, want %d", resp.StatusCode, len(body), len(c.want))
			}
		})
	}
}
