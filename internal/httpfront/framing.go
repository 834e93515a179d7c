package httpfront

import (
	"bytes"
	"io"
	"net/http"
	"strings"

	"craneglade/internal/message"
)

const (
	// maxFramingLineBytes is how much of a header line is looked at, in bytes: more than any valid name and list of codings need.
	maxFramingLineBytes = 128
	chunkedCoding       = "chunked"
)

// framing reads from the bytes of a request's head which header fields say where its body ends. net/http drops a
// Content-Length beside a Transfer-Encoding (RFC 9112, 6.3), and with it the sign of a request that is smuggled. It holds
// one line's start, however long the head is, and sees line ends, folded lines and the head's end where net/http does. Empty
// lines before the request line are passed over, as readers of requests do before they hand it to net/http.
type framing struct {
	line      []byte   // the start of the line that is coming
	truncated bool     // the line is longer
	lines     int      // complete ones, with the request line
	ended     bool     // the empty line behind the head has come
	inCoding  bool     // the latest field is a Transfer-Encoding: a folded line belongs to it
	lengths   int      // Content-Length fields
	codings   []string // the values of the Transfer-Encoding fields
	tooLong   bool     // one of them is longer than is looked at
}

// reset makes it ready for the next head.
func (f *framing) reset() { *f = framing{line: f.line[:0]} }

// scan looks at the next bytes of the connection; those behind the head are passed over.
func (f *framing) scan(p []byte) {
	for len(p) > 0 && !f.ended {
		text, rest, whole := bytes.Cut(p, []byte("\n"))
		space := maxFramingLineBytes - len(f.line)
		f.truncated = f.truncated || len(text) > space
		f.line = append(f.line, text[:min(len(text), space)]...)
		if !whole {
			return
		}
		f.endLine()
		p = rest
	}
}

// endLine takes in the line that has come.
func (f *framing) endLine() {
	line, truncated := bytes.TrimSuffix(f.line, []byte("\r")), f.truncated
	f.line, f.truncated = f.line[:0], false
	if f.lines == 0 && len(line) == 0 {
		return
	}
	f.lines++
	switch {
	case f.lines == 1: // the request line
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

// field takes in the first line of a header field. A name with blanks round it counts: others may take it for the name.
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
		if len(f.codings) < 2 { // two are too many already
			f.codings = append(f.codings, string(value))
		}
	}
}

// equalName compares a header's name without an allocation where the length tells.
func equalName(name []byte, want string) bool {
	return len(name) == len(want) && strings.EqualFold(string(name), want)
}

// check tells what is wrong with how the head frames its body: nothing where there is no Transfer-Encoding, or where
// chunked is the only coding, once, without a length beside it. RFC 9112, 6.1 and 6.3, has the other cases.
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

// scanningReader is a connection whose bytes are looked at as they are read.
type scanningReader struct {
	io.Reader
	framing *framing
}

func (s scanningReader) Read(p []byte) (int, error) {
	n, err := s.Reader.Read(p)
	s.framing.scan(p[:n])
	return n, err
}
