package stand

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// maxChunkBytes is the largest chunk that a client sends.
const maxChunkBytes = 400

// chunkRand returns the generator that decides how a try sends its body. It is separate from all others, so that the
// share of chunked bodies does not change anything else that a seed gives.
func chunkRand(seed uint64, try int) *rand.Rand {
	return rand.New(rand.NewPCG(seed, 8+uint64(try)<<8))
}

// encodeChunked encodes a body in chunks (RFC 9112, section 7.1) and returns the pieces in which it is written. At
// random there are chunk extensions, a trailer, leading zeros in a size, and pieces that end in the middle of a line.
func encodeChunked(rng *rand.Rand, body string) []string {
	var text strings.Builder
	for body != "" {
		size := min(1+rng.IntN(maxChunkBytes), len(body))
		fmt.Fprintf(&text, "%s%x%s\r\n%s\r\n", []string{"", "0", "000"}[rng.IntN(3)], size, randomExtension(rng), body[:size])
		body = body[size:]
	}
	fmt.Fprintf(&text, "0%s\r\n", randomExtension(rng))
	if rng.IntN(4) == 0 {
		text.WriteString("X-Checked: yes\r\n")
	}
	text.WriteString("\r\n")
	return splitRandomly(rng, text.String())
}

// randomExtension returns a chunk extension, or none.
func randomExtension(rng *rand.Rand) string {
	return []string{"", "", "", ";part", ";part=1", `;part="one; two"`}[rng.IntN(6)]
}

// splitRandomly splits a text into one to four pieces.
func splitRandomly(rng *rand.Rand, text string) []string {
	var all []string
	for range rng.IntN(4) {
		if len(text) < 2 {
			break
		}
		cut := 1 + rng.IntN(len(text)-1)
		all = append(all, text[:cut])
		text = text[cut:]
	}
	return append(all, text)
}
