package resource

import (
	"fmt"
	"math"
	"net/netip"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

// Limits on a resource and on a transaction.
const (
	MaxNameBytes        = 128  // of a service, an endpoint, a route, a tenant, a region, a zone or a class
	MaxHostBytes        = 253  // of a route's host, as in DNS
	MaxPathBytes        = 1024 // of a route's path prefix
	MaxAttempts         = 100  // per request
	MaxDrainGrace       = 24 * time.Hour
	MaxStartedMS        = 253402300799999 // Unix time of the last millisecond of the year 9999
	MaxChanges          = 10000           // of one transaction
	MaxTransactionBytes = 1 << 20         // of one transaction, as the sum of Change.Size
)

const maxQuotedBytes = 60 // of a string quoted in an error; the rest is cut off

// InvalidError reports an invalid field of a resource.
type InvalidError struct {
	Key     Key
	Field   string // such as "address"; "name" and "service" are those of the key
	Problem string // the invalid value, or what is wrong
	Want    string // what is valid
}

// Error returns one short line, whatever the resource holds.
func (e *InvalidError) Error() string {
	key := Key{Service: shorten(e.Key.Service), Kind: e.Key.Kind, Name: shorten(e.Key.Name)}
	return fmt.Sprintf("%s: %s: %s; %s", key, e.Field, e.Problem, e.Want)
}

// TransactionError reports a transaction that is invalid as a whole.
type TransactionError struct {
	Problem string
	Want    string
}

// Error returns one line.
func (e *TransactionError) Error() string {
	return fmt.Sprintf("transaction: %s; %s", e.Problem, e.Want)
}

// ValidateChanges checks the changes of one transaction before a writer appends it: their number and size, each change,
// and that no key is changed twice. The error is an InvalidError or a TransactionError.
func ValidateChanges(changes []Change) error {
	if len(changes) == 0 {
		return &TransactionError{"no changes", "give at least one"}
	}
	if len(changes) > MaxChanges {
		return &TransactionError{fmt.Sprintf("%d changes", len(changes)), fmt.Sprintf("at most %d fit; split it", MaxChanges)}
	}
	total := 0
	for i := range changes {
		total += changes[i].Size()
	}
	if total > MaxTransactionBytes {
		return &TransactionError{fmt.Sprintf("%d bytes", total), fmt.Sprintf("at most %d fit; split it", MaxTransactionBytes)}
	}
	return ValidateEach(changes)
}

// ValidateEach checks each change, and that no key is changed twice. It does not limit the number or size of the changes.
// The error is an InvalidError.
func ValidateEach(changes []Change) error {
	seen := make(map[Key]struct{}, len(changes))
	for i := range changes {
		if err := changes[i].Validate(); err != nil {
			return err
		}
		key := changes[i].Resource.Key
		if _, duplicate := seen[key]; duplicate {
			return &InvalidError{key, "name", "changed twice in one transaction", "change each resource once"}
		}
		seen[key] = struct{}{}
	}
	return nil
}

// Validate checks one change. The error is an InvalidError.
func (c *Change) Validate() error {
	if !c.Deleted {
		return c.Resource.Validate()
	}
	if err := c.Resource.Key.Validate(); err != nil {
		return err
	}
	if c.Resource.valueCount() != 0 {
		return &InvalidError{c.Resource.Key, "value", "one is given, though the resource is deleted", "give the key only"}
	}
	return nil
}

// Validate checks a resource on its own, not against others. The error is an InvalidError.
func (r *Resource) Validate() error {
	if err := r.Key.Validate(); err != nil {
		return err
	}
	if r.valueCount() != 1 || !r.hasValueOfKind() {
		return &InvalidError{r.Key, "value", "not exactly that of its kind", "set the " + r.Key.Kind.String() + " alone"}
	}
	switch r.Key.Kind {
	case KindService:
		return r.Service.validate(r.Key)
	case KindEndpoint:
		return r.Endpoint.validate(r.Key)
	case KindRoute:
		return r.Route.validate(r.Key)
	default:
		return r.Tenant.validate(r.Key)
	}
}

// Validate checks a key. The error is an InvalidError.
func (k Key) Validate() error {
	if !k.Kind.Known() {
		return &InvalidError{k, "kind", fmt.Sprintf("%d is not known", uint8(k.Kind)), fmt.Sprintf("the kinds are 1 to %d", kindEnd-1)}
	}
	if err := checkName(k, "service", k.Service); err != nil {
		return err
	}
	if err := checkName(k, "name", k.Name); err != nil {
		return err
	}
	if k.Kind == KindService && k.Name != k.Service {
		return &InvalidError{k, "name", quote(k.Name), "a service has its own name twice"}
	}
	return nil
}

// valueCount returns how many of the value pointers are set.
func (r *Resource) valueCount() int {
	count := 0
	for _, set := range [...]bool{r.Service != nil, r.Endpoint != nil, r.Route != nil, r.Tenant != nil} {
		if set {
			count++
		}
	}
	return count
}

// hasValueOfKind reports whether the value pointer that matches Key.Kind is set.
func (r *Resource) hasValueOfKind() bool {
	switch r.Key.Kind {
	case KindService:
		return r.Service != nil
	case KindEndpoint:
		return r.Endpoint != nil
	case KindRoute:
		return r.Route != nil
	case KindTenant:
		return r.Tenant != nil
	}
	return false
}

func (s *Service) validate(key Key) error {
	if err := checkName(key, "region", s.Region); err != nil {
		return err
	}
	if s.DrainGrace < 0 || s.DrainGrace > MaxDrainGrace || s.DrainGrace%time.Millisecond != 0 {
		return &InvalidError{key, "drain grace", s.DrainGrace.String(), fmt.Sprintf("whole milliseconds from 0s to %s", MaxDrainGrace)}
	}
	if s.MaxAttempts < 1 || s.MaxAttempts > MaxAttempts {
		return &InvalidError{key, "max attempts", fmt.Sprint(s.MaxAttempts), fmt.Sprintf("from 1 to %d", MaxAttempts)}
	}
	return nil
}

func (e *Endpoint) validate(key Key) error {
	if err := checkAddress(key, e.Address); err != nil {
		return err
	}
	if err := checkOptionalName(key, "zone", e.Zone); err != nil {
		return err
	}
	if err := checkOptionalName(key, "class", e.Class); err != nil {
		return err
	}
	if e.State != EndpointReady && e.State != EndpointDraining {
		return &InvalidError{key, "state", fmt.Sprintf("%d is not known", uint8(e.State)), "1 for ready, 2 for draining"}
	}
	if e.StartedMS > MaxStartedMS {
		return &InvalidError{key, "start", fmt.Sprintf("%d ms", e.StartedMS), "Unix milliseconds up to the year 9999"}
	}
	return nil
}

func (r *Route) validate(key Key) error {
	if len(r.Host) > MaxHostBytes {
		return &InvalidError{key, "host", fmt.Sprintf("%d bytes", len(r.Host)), fmt.Sprintf("at most %d", MaxHostBytes)}
	}
	if strings.ContainsFunc(r.Host, func(c rune) bool { return !isHostRune(c) }) {
		return &InvalidError{key, "host", quote(r.Host), "lower-case letters, digits, '-', '_' and '.'"}
	}
	if !strings.HasPrefix(r.PathPrefix, "/") {
		return &InvalidError{key, "path prefix", quote(r.PathPrefix), `it begins with "/"`}
	}
	if len(r.PathPrefix) > MaxPathBytes {
		return &InvalidError{key, "path prefix", fmt.Sprintf("%d bytes", len(r.PathPrefix)), fmt.Sprintf("at most %d", MaxPathBytes)}
	}
	if strings.ContainsFunc(r.PathPrefix, func(c rune) bool { return !isPathRune(c) }) {
		return &InvalidError{key, "path prefix", quote(r.PathPrefix), "ASCII without spaces, '?' and '#'"}
	}
	return nil
}

func (t *Tenant) validate(key Key) error {
	if math.IsNaN(t.Quota) || math.IsInf(t.Quota, 0) || math.Signbit(t.Quota) {
		return &InvalidError{key, "quota", fmt.Sprintf("%g requests a second", t.Quota), "a finite number, not negative"}
	}
	return nil
}

func checkAddress(key Key, address string) error {
	const want = "an IP address and port as in 10.0.0.1:8080 or [fd00::1]:8080"
	if len(address) > MaxNameBytes {
		return &InvalidError{key, "address", fmt.Sprintf("%d bytes", len(address)), want}
	}
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.String() != address || parsed.Addr().Zone() != "" {
		return &InvalidError{key, "address", quote(address), want}
	}
	if ip := parsed.Addr(); parsed.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() {
		return &InvalidError{key, "address", quote(address) + " can't be connected to", want}
	}
	return nil
}

func checkName(key Key, field, name string) error {
	if name == "" {
		return &InvalidError{key, field, "missing", fmt.Sprintf("1 to %d bytes without spaces", MaxNameBytes)}
	}
	return checkOptionalName(key, field, name)
}

func checkOptionalName(key Key, field, name string) error {
	if len(name) > MaxNameBytes {
		return &InvalidError{key, field, fmt.Sprintf("%d bytes", len(name)), fmt.Sprintf("at most %d", MaxNameBytes)}
	}
	if !utf8.ValidString(name) || strings.ContainsFunc(name, func(c rune) bool { return c == ' ' || !unicode.IsPrint(c) }) {
		return &InvalidError{key, field, quote(name), "printable UTF-8 without spaces"}
	}
	return nil
}

func isHostRune(c rune) bool {
	return c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.'
}

func isPathRune(c rune) bool { return c > ' ' && c < 0x7f && c != '?' && c != '#' }

// quote returns the text quoted, on one line and shortened, for an error.
func quote(text string) string { return fmt.Sprintf("%q", shorten(text)) }

func shorten(text string) string {
	if len(text) <= maxQuotedBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxQuotedBytes], "") + "..."
}
