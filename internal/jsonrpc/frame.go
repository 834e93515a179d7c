// Package jsonrpc parses and encodes JSON-RPC 2.0 messages (https://www.jsonrpc.org/specification). It does no I/O of its own
// and is independent of nodes and backends. JSON is parsed by package jsontext, which rejects duplicate members, invalid
// UTF-8, lone surrogates and a nesting of over 10,000; Reader.MaxNesting sets a lower limit.
package jsonrpc

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// MaxFrameBytes is the maximum size of a message or batch.
const MaxFrameBytes = 64 << 10

// initialFrameBytes is the first size of the buffer of a frame of unknown length. Most calls fit.
const initialFrameBytes = 512

// maxHeadBytes is the maximum size of the head of a HeaderDelimited frame.
const maxHeadBytes = 1 << 10

// Framing is how messages are delimited on a stream.
type Framing uint8

const (
	Lines           Framing = iota // JSON texts, each read up to its own end; written with a newline after each
	HeaderDelimited                // each after a head of "Content-Length: N" and an empty line, as in the Language Server Protocol
)

// ErrFrame reports a malformed frame. Its end is unknown, so nothing more can be read from the stream.
var ErrFrame = errors.New("no JSON-RPC message")

// ErrNoMemory reports that Reader.Grow refused the memory for a frame. Its end is unknown, as with ErrFrame.
var ErrNoMemory = errors.New("no memory for a JSON-RPC message")

// Reader reads frames from a stream. It detects the framing of each by its first byte: a JSON text can't start with the first
// letter of "Content-Length" or "Content-Type".
type Reader struct {
	// Grow is called before the buffer of the current frame grows to size bytes, unless it is nil. If it returns false, Next
	// fails with ErrNoMemory.
	Grow func(size int) bool
	// MaxNesting is the number of levels to which arrays and objects may be nested. Package jsontext needs memory for each
	// level. 0 sets no limit beyond that of jsontext.
	MaxNesting int

	in          *bufio.Reader
	lastFraming Framing
}

// NewReader returns a Reader that reads from in.
func NewReader(in *bufio.Reader) *Reader { return &Reader{in: in} }

// Framing returns the framing of the latest frame.
func (r *Reader) Framing() Framing { return r.lastFraming }

// Buffered reports whether a part of the next frame was read from the stream already.
func (r *Reader) Buffered() bool { return r.in.Buffered() > 0 }

// Wait blocks until the first byte of a frame is available, or returns the error of the stream. White space before a frame is skipped
// up to the size of one; an error that wraps ErrFrame means that there is more.
func (r *Reader) Wait() error {
	for range MaxFrameBytes {
		b, err := r.in.Peek(1)
		if err != nil {
			return err
		}
		if !isSpace(b[0]) {
			return nil
		}
		r.in.Discard(1)
	}
	return fmt.Errorf("%w: over %d bytes of white space", ErrFrame, MaxFrameBytes)
}

// Next returns the next frame. An error that wraps ErrFrame describes a malformed or truncated frame; io.EOF means that the
// stream ended between two frames.
func (r *Reader) Next() ([]byte, error) {
	if err := r.Wait(); err != nil {
		return nil, err
	}
	b, err := r.in.Peek(1)
	if err != nil {
		return nil, err
	}
	if b[0] == 'C' || b[0] == 'c' {
		r.lastFraming = HeaderDelimited
		return r.readHeaderDelimited()
	}
	r.lastFraming = Lines
	return r.readText()
}

// readHeaderDelimited reads a frame with a head.
func (r *Reader) readHeaderDelimited() ([]byte, error) {
	length, read := -1, 0
	for {
		line, err := r.in.ReadSlice('\n')
		if read += len(line); read > maxHeadBytes {
			return nil, fmt.Errorf("%w: a head of over %d bytes", ErrFrame, maxHeadBytes)
		}
		if err != nil {
			return nil, wrapReadError(err)
		}
		text := strings.TrimRight(string(line), "\r\n")
		if text == "" {
			break
		}
		name, value, ok := strings.Cut(text, ":")
		switch {
		case !ok:
			return nil, fmt.Errorf("%w: %.40q is no header", ErrFrame, text)
		case strings.EqualFold(name, "Content-Length"):
			n, err := strconv.ParseUint(strings.TrimSpace(value), 10, 31)
			if err != nil || length >= 0 {
				return nil, fmt.Errorf("%w: Content-Length: %.40q", ErrFrame, strings.TrimSpace(value))
			}
			length = int(n)
		case !strings.EqualFold(name, "Content-Type"):
			return nil, fmt.Errorf("%w: %.40q is no header that is known here", ErrFrame, name)
		}
	}
	if length < 0 || length > MaxFrameBytes {
		return nil, fmt.Errorf("%w: Content-Length is missing or over %d", ErrFrame, MaxFrameBytes)
	}
	frame, err := r.grow(nil, length)
	if err != nil {
		return nil, err
	}
	frame = frame[:length]
	if _, err := io.ReadFull(r.in, frame); err != nil {
		return nil, wrapReadError(err)
	}
	text := textScanner{maxNesting: r.MaxNesting}
	for _, b := range frame {
		if err := text.next(b); err != nil {
			return nil, err
		}
	}
	return frame, nil
}

// readText reads up to the end of a JSON text. To find it, it checks only that brackets match and strings end.
func (r *Reader) readText() ([]byte, error) {
	frame, err := r.grow(nil, initialFrameBytes)
	if err != nil {
		return nil, err
	}
	text := textScanner{maxNesting: r.MaxNesting}
	for {
		b, err := r.in.ReadByte()
		if err != nil {
			if err == io.EOF && text.outside() && len(frame) > 0 {
				return frame, nil // a number, string or literal at the end of the stream
			}
			return nil, wrapReadError(err)
		}
		if text.outside() && len(frame) > 0 && isSpace(b) {
			return frame, nil // a number, string or literal before white space
		}
		if len(frame) == MaxFrameBytes {
			return nil, fmt.Errorf("%w: over %d bytes", ErrFrame, MaxFrameBytes)
		}
		if len(frame) == cap(frame) {
			if frame, err = r.grow(frame, min(2*cap(frame), MaxFrameBytes)); err != nil {
				return nil, err
			}
		}
		frame = append(frame, b)
		if err := text.next(b); err != nil {
			return nil, err
		}
		if (b == '}' || b == ']') && text.outside() {
			return frame, nil
		}
	}
}

// textScanner follows the brackets and strings of a JSON text.
type textScanner struct {
	maxNesting        int    // 0 for no limit
	open              []byte // expected closing brackets, innermost last
	inString, escaped bool
}

// outside reports whether the scanned text ends outside of all brackets and strings.
func (s *textScanner) outside() bool { return len(s.open) == 0 && !s.inString }

// next scans a byte. An error, which wraps ErrFrame, means that no valid JSON text continues so, or that it is nested too deep.
func (s *textScanner) next(b byte) error {
	if s.inString {
		return s.nextInString(b)
	}
	switch b {
	case '"':
		s.inString = true
	case '{', '[':
		if len(s.open) == s.maxNesting && s.maxNesting > 0 {
			return fmt.Errorf("%w: nested deeper than %d levels", ErrFrame, s.maxNesting)
		}
		s.open = append(s.open, b+2) // '}' or ']', two after the opening one in ASCII
	case '}', ']':
		if len(s.open) == 0 || s.open[len(s.open)-1] != b {
			return fmt.Errorf("%w: %q where another bracket is due", ErrFrame, b)
		}
		s.open = s.open[:len(s.open)-1]
	}
	return nil
}

// nextInString scans a byte of a string.
func (s *textScanner) nextInString(b byte) error {
	switch {
	case b < ' ':
		return fmt.Errorf("%w: a string with a control character", ErrFrame)
	case s.escaped:
		s.escaped = false
	case b == '\\':
		s.escaped = true
	case b == '"':
		s.inString = false
	}
	return nil
}

// grow returns a copy of frame with a capacity of size bytes.
func (r *Reader) grow(frame []byte, size int) ([]byte, error) {
	if r.Grow != nil && !r.Grow(size) {
		return nil, ErrNoMemory
	}
	return append(make([]byte, 0, size), frame...), nil
}

func isSpace(b byte) bool { return b == ' ' || b == '\t' || b == '\r' || b == '\n' }

// wrapReadError wraps the error of a read within a frame, where io.EOF is unexpected.
func wrapReadError(err error) error {
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return fmt.Errorf("%w: %w", ErrFrame, err)
}

// AppendFrameParts appends a message in framing f to out. The message consists of parts, which are not copied.
func AppendFrameParts(out [][]byte, f Framing, parts [][]byte) [][]byte {
	if f != HeaderDelimited {
		return append(append(out, parts...), []byte{'\n'})
	}
	length := 0
	for _, p := range parts {
		length += len(p)
	}
	return append(append(out, fmt.Appendf(nil, "Content-Length: %d\r\n\r\n", length)), parts...)
}

// AppendFrame appends a message to out in framing f.
func AppendFrame(out []byte, f Framing, message []byte) []byte {
	if f == HeaderDelimited {
		out = append(out, "Content-Length: "...)
		out = strconv.AppendInt(out, int64(len(message)), 10)
		return append(append(out, "\r\n\r\n"...), message...)
	}
	return append(append(out, message...), '\n')
}
