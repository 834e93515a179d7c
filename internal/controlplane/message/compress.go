package message

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"
)

const (
	compressFrom  = 512 // bytes; less is not worth it
	compressLevel = flate.DefaultCompression
)

// writers keeps compressors, which are large, for the next use.
var writers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, compressLevel)
	if err != nil { // only for a level that doesn't exist
		panic(err)
	}
	return w
}}

// compress writes b in less than two thirds of its bytes (RFC 1951), or reports that this can't be done.
func compress(b []byte) (small []byte, ok bool) {
	if len(b) < compressFrom || len(b) > MaxFrameBytes {
		return nil, false
	}
	var out bytes.Buffer
	w := writers.Get().(*flate.Writer)
	defer writers.Put(w)
	w.Reset(&out)
	if _, err := w.Write(b); err != nil {
		return nil, false
	}
	if err := w.Close(); err != nil {
		return nil, false
	}
	return out.Bytes(), out.Len() < len(b)*2/3
}

// decompress reads what compress wrote, up to a number of bytes.
func decompress(small []byte, limit int) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(small))
	b, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, malformed("compressed resources: %v", err)
	}
	if len(b) > limit {
		return nil, fmt.Errorf("%w: compressed resources of over %d bytes", ErrTooLarge, limit)
	}
	return b, nil
}
