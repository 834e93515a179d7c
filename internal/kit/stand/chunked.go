package stand

import (
	"fmt"
	"math/rand/v2"
	"strings"
)

// chunkLimit is the largest chunk that a client of the kit sends, in bytes.
const chunkLimit = 400

// chunkDraws are the draws for how a try sends its body, apart from all others: a seed plays the same day whatever part
// of its bodies comes in chunks.
func chunkDraws(seed uint64, try int) *rand.Rand {
	return rand.New(rand.NewPCG(seed, 8+uint64(try)<<8))
}

// inChunks is a body in chunks (RFC 9112, 7.1), in the pieces in which it is written: now and then with extensions, with
// trailers, with zeros before a size, and with pieces that end in the middle of a line.
func inChunks(rng *rand.Rand, body string) []string {
	var text strings.Builder
	for body != "" {
		size := min(1+rng.IntN(chunkLimit), len(body))
		fmt.Fprintf(&text, "%s%x%s\r\n%s\r\n", []string{"", "0", "000"}[rng.IntN(3)], size, extension(rng), body[:size])
		body = body[size:]
	}
	fmt.Fprintf(&text, "0%s\r\n", extension(rng))
	if rng.IntN(4) == 0 {
		text.WriteString("X-Checked: yes\r\n")
	}
	text.WriteString("\r\n")
	return pieces(rng, text.String())
}

// extension is what stands behind a chunk's size.
func extension(rng *rand.Rand) string {
	return []string{"", "", "", ";part", ";part=1", `;part="one; two"`}[rng.IntN(6)]
}

// pieces cuts a text in one to four.
func pieces(rng *rand.Rand, text string) []string {
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
