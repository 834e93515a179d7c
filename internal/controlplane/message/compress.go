package message

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"
)

const (
	minCompressBytes = 512 // smaller input saves too little
	compressionLevel = flate.DefaultCompression
)

// compressors reuses flate writers, which are large to allocate.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, compressionLevel)
	if err != nil { // only for an invalid level
		panic(err)
	}
	return w
}}

// compress returns b compressed with DEFLATE (RFC 1951). ok is false if b is too short or too long, or if the result isn't
// smaller than two thirds of b.
func compress(b []byte) (compressed []byte, ok bool) {
	if len(b) < minCompressBytes || len(b) > MaxFrameBytes {
		return nil, false
	}
	var out bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&out)
	if _, err := w.Write(b); err != nil {
		return nil, false
	}
	if err := w.Close(); err != nil {
		return nil, false
	}
	return out.Bytes(), out.Len() < len(b)*2/3
}

// decompress reverses compress. The error wraps ErrTooLarge if the result has more than limit bytes.
func decompress(compressed []byte, limit int) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(compressed))
	b, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, malformed("compressed resources: %v", err)
	}
	if len(b) > limit {
		return nil, fmt.Errorf("%w: compressed resources of over %d bytes", ErrTooLarge, limit)
	}
	return b, nil
}
