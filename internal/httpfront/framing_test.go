package httpfront

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"craneglade/internal/message"
)

// headWith returns a request head with additional header lines, each including its line end.
func headWith(lines string) string {
	return "POST /api HTTP/1.1\r\nHost: backend.local\r\n" + lines + "\r\n"
}

// The framing of each head is judged alike, whether it arrives in one read or byte by byte.
func TestHeadFraming(t *testing.T) {
	t.Parallel()
	padding := strings.Repeat("X-Padding: "+strings.Repeat("p", 900)+"\r\n", 12)
	for _, c := range []struct {
		name, lines string
		want        int // 0: nothing is wrong
	}{
		{"a length", "Content-Length: 5\r\n", 0},
		{"chunks", "Transfer-Encoding: chunked\r\n", 0},
		{"other letters", "tRANSFER-eNCODING: ChunKED\r\n", 0},
		{"no space", "Transfer-Encoding:chunked\r\n", 0},
		{"spaces and a tab", "Transfer-Encoding: \t chunked \t\r\n", 0},
		{"lines that end in a line feed alone", "Transfer-Encoding: chunked\n", 0},
		{"folded", "Transfer-Encoding:\r\n chunked\r\n", 0},
		{"folded behind another field", "X-A: b\r\n Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", 0},
		{"a name that only begins like it", "Content-Length-Of: 5\r\nTransfer-Encoding: chunked\r\n", 0},
		{"a value that names it", "X-A: Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", 0},
		{"both", "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n", 400},
		{"both, turned", "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", 400},
		{"both in other letters", "CONTENT-LENGTH:5\r\ntransfer-encoding:CHUNKED\r\n", 400},
		{"both, a space before the colon", "Content-Length : 5\r\nTransfer-Encoding: chunked\r\n", 400},
		{"both, no line feed pairs", "Content-Length: 5\nTransfer-Encoding: chunked\n", 400},
		{"both, the length empty", "Content-Length:\r\nTransfer-Encoding: chunked\r\n", 400},
		{"both, far apart", "Content-Length: 5\r\n" + padding + "Transfer-Encoding: chunked\r\n", 400},
		{"both behind a long head", padding + "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n", 400},
		{"both with an unknown coding", "Content-Length: 5\r\nTransfer-Encoding: br\r\n", 400},
		{"twice", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", 400},
		{"twice in one field", "Transfer-Encoding: chunked, chunked\r\n", 400},
		{"twice, the second folded", "Transfer-Encoding: chunked,\r\n chunked\r\n", 400},
		{"three times", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n", 400},
		{"not the last", "Transfer-Encoding: chunked, gzip\r\n", 400},
		{"another before it", "Transfer-Encoding: gzip, chunked\r\n", 501},
		{"another before it in a field of its own", "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n", 501},
		{"an unknown one", "Transfer-Encoding: xchunked\r\n", 501},
		{"identity", "Transfer-Encoding: identity\r\n", 501},
		{"none", "Transfer-Encoding:\r\n", 501},
		{"in quotes", "Transfer-Encoding: \"chunked\"\r\n", 501},
		{"with a parameter", "Transfer-Encoding: chunked;q=1\r\n", 501},
		{"endless", "Transfer-Encoding: " + strings.Repeat(" ", 200) + "chunked\r\n", 501},
	} {
		for _, bytewise := range []bool{false, true} {
			var f framing
			var from io.Reader = strings.NewReader(headWith(c.lines) + "Content-Length: 9\r\nTransfer-Encoding: br\r\n\r\n")
			if bytewise {
				from = iotest.OneByteReader(from)
			}
			if _, err := io.Copy(io.Discard, scanningReader{from, &f}); err != nil {
				t.Fatal(err)
			}
			status := 0
			if rej := f.check(); rej != nil {
				status = rej.Status
			}
			if status != c.want || !f.ended {
				t.Errorf("%s (byte by byte: %v): %d, want %d", c.name, bytewise, status, c.want)
			}
		}
	}
}

// Empty lines before the request line must not be taken for the end of the head, or the header fields after them are missed.
func TestFramingAfterEmptyLines(t *testing.T) {
	t.Parallel()
	for _, lead := range []string{"\r\n", "\n", "\r\n\n\r\n"} {
		for _, bytewise := range []bool{false, true} {
			var f framing
			var from io.Reader = strings.NewReader(lead + headWith("Content-Length: 5\r\nTransfer-Encoding: chunked\r\n"))
			if bytewise {
				from = iotest.OneByteReader(from)
			}
			if _, err := io.Copy(io.Discard, scanningReader{from, &f}); err != nil {
				t.Fatal(err)
			}
			if rej := f.check(); rej == nil || rej.Status != http.StatusBadRequest || !f.ended {
				t.Errorf("%q (byte by byte: %v): %v, want 400", lead, bytewise, rej)
			}
		}
	}
}

// Fields of one head must not count for the next one on the connection.
func TestFramingIsResetBetweenHeads(t *testing.T) {
	t.Parallel()
	var f framing
	f.scan([]byte(headWith("Transfer-Encoding: gzip\r\nContent-Length: 1\r\n")))
	f.reset()
	f.scan([]byte(headWith("Transfer-Encoding: chunked\r\n")))
	if rej := f.check(); rej != nil {
		t.Errorf("%d %s", rej.Status, rej.Text)
	}
}

// FuzzFramingAgreesWithTheParser compares framing with net/http: if both accept a head, they find the same framing, and
// framing has seen a Content-Length that net/http kept.
func FuzzFramingAgreesWithTheParser(f *testing.F) {
	for _, lines := range []string{"Transfer-Encoding: chunked\r\n", "Transfer-Encoding:\n chunked\nX: y\r\n", "Content-Length : 3\r\n", "\r\r\n",
		" X: y\r\n", "A: b\r\n \r\nTransfer-Encoding: chunked\r\n", "Transfer-Encoding\t: chunked\r\n", "X\x00: y\r\n"} {
		f.Add([]byte(lines))
	}
	f.Fuzz(func(t *testing.T, lines []byte) {
		var seen framing
		text := headWith(string(lines))
		capped := io.LimitReader(strings.NewReader(text+"0\r\n\r\n"), message.MaxHeadBytes)
		in, err := http.ReadRequest(bufio.NewReader(scanningReader{capped, &seen}))
		if err != nil || seen.check() != nil {
			return
		}
		for name := range in.Header {
			if strings.Contains(name, " ") {
				return // such a request is rejected
			}
		}
		if isChunked(in) != (len(seen.codings) > 0) {
			t.Errorf("%q: chunked is %v to net/http, codings in framing are %q", text, isChunked(in), seen.codings)
		}
		if length := in.Header["Content-Length"]; len(length) > 0 && seen.lengths == 0 {
			t.Errorf("%q: Content-Length %q was not seen", text, length)
		}
	})
}
