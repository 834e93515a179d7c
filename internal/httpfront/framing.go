package httpfront

import (
	"bytes"
	"io"
	"net/http"
	"strings"

	"craneglade/internal/message"
)

const (
	// maxFramingLineBytes is how much of a header line is examined: more than any valid field name and list of codings needs.
	maxFramingLineBytes = 128
	chunkedCoding       = "chunked"
)

// framing scans the raw bytes of a request's head for the header fields that define where its body ends. net/http drops a
// Content-Length next to a Transfer-Encoding (RFC 9112, 6.3), and with it the sign of request smuggling. It buffers the
// start of one line only, however long the head is, and finds line ends, folded lines and the end of the head where net/http
// does. Empty lines before the request line are skipped, as they are before the request is passed to net/http.
type framing struct {
	line      []byte   // start of the current line
	truncated bool     // the current line is longer than line
	lines     int      // number of complete lines, including the request line
	ended     bool     // the empty line after the head was seen
	invalid   bool     // the request line is not one: nothing after it can make a request
	inCoding  bool     // the last field is a Transfer-Encoding, and a folded line continues it
	lengths   int      // number of Content-Length fields
	codings   []string // values of the Transfer-Encoding fields
	tooLong   bool     // one of them is longer than maxFramingLineBytes
}

// reset prepares f for the next head.
func (f *framing) reset() { *f = framing{line: f.line[:0]} }

// scan processes the next bytes of the connection. It ignores those after the head.
func (f *framing) scan(p []byte) {
	for len(p) > 0 && !f.ended {
		text, rest, complete := bytes.Cut(p, []byte("\n"))
		space := maxFramingLineBytes - len(f.line)
		f.truncated = f.truncated || len(text) > space
		f.line = append(f.line, text[:min(len(text), space)]...)
		if !complete {
			return
		}
		f.endLine()
		p = rest
	}
}

// endLine processes a complete line.
func (f *framing) endLine() {
	line, truncated := bytes.TrimSuffix(f.line, []byte("\r")), f.truncated
	f.line, f.truncated = f.line[:0], false
	if f.lines == 0 && len(line) == 0 {
		return
	}
	f.lines++
	switch {
	case f.lines == 1:
		f.invalid = !truncated && bytes.Count(line, []byte(" ")) < 2
	case len(line) == 0:
		f.ended = true
	case line[0] == ' ' || line[0] == '\t':
		if f.inCoding {
			last := &f.codings[len(f.codings)-1]
			f.tooLong = f.tooLong || truncated || len(*last)+len(line) > maxFramingLineBytes
			if !f.tooLong {
				*last += string(line)
			}
		}
	default:
		f.field(line, truncated)
	}
}

// field processes the first line of a header field. White space around its name is ignored, as other parsers may ignore it.
func (f *framing) field(line []byte, truncated bool) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	name = bytes.TrimSpace(name)
	f.inCoding = false
	switch {
	case equalName(name, "Content-Length"):
		f.lengths++
	case equalName(name, "Transfer-Encoding"):
		f.inCoding = true
		f.tooLong = f.tooLong || truncated
		if len(f.codings) < 2 { // two are already an error
			f.codings = append(f.codings, string(value))
		}
	}
}

// equalName compares a header name without regard to case. It does not allocate if the lengths differ.
func equalName(name []byte, want string) bool {
	return len(name) == len(want) && strings.EqualFold(string(name), want)
}

// check validates the framing of the body. It returns nil if there is no Transfer-Encoding, or if chunked is the only
// coding, given once and without a Content-Length. The other cases follow RFC 9112, 6.1 and 6.3.
func (f *framing) check() *message.Rejection {
	if len(f.codings) == 0 {
		return nil
	}
	if f.lengths > 0 {
		return &message.Rejection{Status: http.StatusBadRequest, Text: "Content-Length and Transfer-Encoding: only one may tell the length"}
	}
	unknown, chunked := f.tooLong, 0
	last := ""
	for _, coding := range strings.Split(strings.Join(f.codings, ","), ",") {
		last = strings.ToLower(strings.Trim(coding, " \t"))
		if last == chunkedCoding {
			chunked++
		} else {
			unknown = true
		}
	}
	switch {
	case chunked > 1:
		return &message.Rejection{Status: http.StatusBadRequest, Text: "Transfer-Encoding: chunked more than once"}
	case chunked == 1 && last != chunkedCoding:
		return &message.Rejection{Status: http.StatusBadRequest, Text: "Transfer-Encoding: chunked is not the last"}
	case unknown:
		return &message.Rejection{Status: http.StatusNotImplemented, Text: "Transfer-Encoding: only chunked is known"}
	}
	return nil
}

// scanningReader passes the bytes that are read from a connection to framing.
type scanningReader struct {
	io.Reader
	framing *framing
}

func (s scanningReader) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	s.framing.scan(p[:n])
	return n, err
}
