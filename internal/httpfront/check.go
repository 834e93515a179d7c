package httpfront

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"craneglade/internal/message"
	"craneglade/policy"
)

// check validates a request by its head alone and sets its id, class, tenant and timeout. It returns nil for a valid one.
func (s *Front) check(r *message.Request) *message.Rejection {
	in := r.In
	reject := func(status int, format string, args ...any) *message.Rejection {
		return &message.Rejection{Status: status, Text: fmt.Sprintf(format, args...)}
	}
	badRequest := http.StatusBadRequest
	switch expect := in.Header.Get("Expect"); {
	case !in.ProtoAtLeast(1, 1):
		return reject(http.StatusHTTPVersionNotSupported, "only HTTP/1.1 is spoken here")
	case in.Host == "":
		return reject(badRequest, "Host: missing")
	case expect != "" && !strings.EqualFold(expect, "100-continue"):
		return reject(http.StatusExpectationFailed, "Expect: %q is not known", expect)
	case in.Method != http.MethodGet && in.Method != http.MethodPost:
		return reject(http.StatusMethodNotAllowed, "a request is a GET or a POST")
	case in.Method == http.MethodGet && in.ContentLength != 0:
		return reject(badRequest, "a GET has no body")
	case in.Method == http.MethodPost && !isChunked(in) && in.Header.Get("Content-Length") == "":
		return reject(http.StatusLengthRequired, "Content-Length: missing")
	}
	for name := range in.Header {
		if strings.Contains(name, " ") { // net/http accepts such a name, and so takes "Transfer-Encoding :" for another header
			return reject(badRequest, "%q is no name of a header", name)
		}
	}
	if in.URL.Path == "/ready" {
		if in.ContentLength != 0 {
			return reject(badRequest, "a question for readiness has no body")
		}
		return nil
	}
	for _, name := range message.RequestHeaders {
		if len(in.Header[name]) > 1 {
			return reject(badRequest, "%s: more than one", name)
		}
	}
	r.ID, r.Class, r.Tenant = in.Header.Get("X-Request-Id"), in.Header.Get("X-Class"), in.Header.Get("X-Tenant")
	r.ClientRetry = in.Header.Get("X-Retry") == "1"
	if r.ID == "" || len(r.ID) > maxIDBytes {
		return reject(badRequest, "X-Request-Id: missing or too long")
	}
	var err error
	if r.ClientTimeout, err = parseDeadline(in.Header.Get("X-Deadline")); err != nil {
		return reject(badRequest, "X-Deadline: %v", err)
	}
	effect, known := s.engine.Effect(r.Class)
	if !known {
		return reject(badRequest, "X-Class: no such class")
	}
	key := in.Header.Get("Idempotency-Key") != ""
	if (in.Method == http.MethodGet) != (effect == policy.Safe) || effect == policy.Keyed && !key || effect == policy.Unsafe && key {
		return reject(badRequest, "method or Idempotency-Key: not those of the class")
	}
	return nil
}

// parseDeadline parses a number followed by its unit: m for milliseconds or u for microseconds.
func parseDeadline(s string) (time.Duration, error) {
	unit := time.Millisecond
	digits, ok := strings.CutSuffix(s, "m")
	if !ok {
		unit = time.Microsecond
		if digits, ok = strings.CutSuffix(s, "u"); !ok {
			return 0, fmt.Errorf("%q has no unit m or u", s)
		}
	}
	f, err := strconv.ParseFloat(digits, 64)
	if err != nil || !(f > 0 && f <= 1e12) {
		return 0, fmt.Errorf("%q is no time", s)
	}
	return time.Duration(f * float64(unit)), nil
}
