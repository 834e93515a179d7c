// Package identity tells whether connections to a backend's addresses reach the process that the list names. A list is late: another process may
// have the addresses before any list tells it. What connections do gives evidence: a process that ends has its connections reset and
// new ones refused, and a machine that vanishes says nothing. An answer shows that a process lives, and that its connections since
// then reach it. Times are seconds of any monotonic clock, above 0. The package does no I/O.
package identity

// maxListLagSeconds is how long after its start a process is in the answers of discovery: up to 2.3 s, and 8.8 s by which the list may fall
// behind (BRIEF).
const maxListLagSeconds = 2.3 + 8.8

// maxProofs is the number of connections of different age whose answers are remembered. Forgetting one only adds doubt.
const maxProofs = 8

// Record is what is known of the process at the addresses of one backend. Its zero value has no doubt.
type Record struct {
	doubtFrom     float64 // connections opened later may reach another process; 0 for none
	certain       bool    // the process does not accept connections any more, or the list has told of its end
	told          bool    // by the list
	reconnectedAt float64 // when the first connection since the last doubt was opened that brought an answer; 0 for none
	proofs        []proof // by the time of opening and of the answer
}

// proof is an answer over a connection: from its opening to the answer the address had one process.
type proof struct{ opened, answered float64 }

// Reaches reports whether a connection that was open at a time reaches the process that the list names.
func (r *Record) Reaches(opened float64) bool { return r.doubtFrom == 0 || opened <= r.doubtFrom }

// Answered records an answer over a connection.
func (r *Record) Answered(now, opened float64) {
	switch {
	case r.doubtFrom == 0:
	case opened > r.doubtFrom:
		if r.reconnectedAt == 0 {
			r.reconnectedAt = opened
		}
	case !r.certain: // the process still lives
		r.doubtFrom, r.reconnectedAt = 0, 0
	}
	n := len(r.proofs)
	for n > 0 && r.proofs[n-1].opened >= opened {
		n--
	}
	r.proofs = append(r.proofs[:n], proof{opened, now})
	if len(r.proofs) > maxProofs {
		r.proofs = append(r.proofs[:0], r.proofs[1:]...)
	}
}

// Failed records that something sent at a time, or a connection tried then, got no answer: the process may have ended since then, unless it
// has given a sign of life later.
func (r *Record) Failed(since float64) {
	if r.lastSign(since) == since {
		r.doubt(since)
	}
}

// Silent reports whether nothing has come since a time from the process that had the addresses then. It is false if no connection has
// brought an answer yet.
func (r *Record) Silent(since float64) bool { return len(r.proofs) > 0 && r.lastSign(since) == since }

// lastSign returns until when the process that had the addresses at since is known to have lived.
func (r *Record) lastSign(since float64) float64 {
	for _, p := range r.proofs { // by the time of opening: the connections opened until then are all of this process
		if p.opened <= since {
			since = max(since, p.answered)
		}
	}
	return since
}

// Refused records that a connection tried at a time was refused: the process has ended, or finishes what it has and accepts no more.
func (r *Record) Refused(at float64) {
	r.certain = true
	r.doubt(at)
}

// Ended records that the list has told of another process that may have had the addresses since a time.
func (r *Record) Ended(since float64) {
	r.certain, r.told = true, true
	r.doubt(since)
}

func (r *Record) doubt(since float64) {
	if r.doubtFrom == 0 || since < r.doubtFrom {
		r.doubtFrom = since
	}
	r.reconnectedAt = 0
}

// ListAnswered records that discovery has answered and names no other process at the addresses. If a process has answered there for longer
// than a list is late, it is the one that the list names.
func (r *Record) ListAnswered(now float64) {
	if r.reconnectedAt > 0 && !r.told && now >= r.reconnectedAt+maxListLagSeconds {
		r.doubtFrom, r.reconnectedAt, r.certain = 0, 0, false
	}
}
