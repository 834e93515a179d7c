// Package resource defines the configuration that the control plane distributes: services, routes, tenants and endpoints
// as typed, versioned resources. A resource belongs to one service, which is the unit of subscription: a node receives
// only the resources of the services that it serves.
//
// The package does no I/O, reads no clock and starts no goroutines. Resources are immutable once they are passed on.
package resource

import (
	"cmp"
	"fmt"
	"time"
)

// Kind is the type of a resource. Kinds are sent in the order of their numbers, tenants last, because a starting node
// needs the other kinds first to serve.
type Kind uint8

// The kinds of resources.
const (
	KindService Kind = iota + 1
	KindEndpoint
	KindRoute
	KindTenant
	kindEnd // one past the last known kind
)

// String returns the kind's name as shown to operators.
func (k Kind) String() string {
	switch k {
	case KindService:
		return "service"
	case KindEndpoint:
		return "endpoint"
	case KindRoute:
		return "route"
	case KindTenant:
		return "tenant"
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// Known reports whether this version of the program knows the kind.
func (k Kind) Known() bool { return k >= KindService && k < kindEnd }

// Key identifies a resource within the log of one region.
type Key struct {
	Service string
	Kind    Kind
	Name    string // unique among those of its kind and service; the service's own name for KindService
}

// Compare orders keys by service, kind and name.
func (k Key) Compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Service, other.Service), cmp.Compare(k.Kind, other.Kind), cmp.Compare(k.Name, other.Name))
}

// String returns the key as shown to operators, such as `endpoint "be-7" of service "configurator"`.
func (k Key) String() string {
	if k.Kind == KindService {
		return fmt.Sprintf("service %q", k.Service)
	}
	return fmt.Sprintf("%s %q of service %q", k.Kind, k.Name, k.Service)
}

// Position is a position in the log of one region. A log has one writer in each epoch, and fencing rejects an entry of an
// older epoch after one of a newer epoch.
type Position struct {
	Epoch   uint64
	Version uint64 // increases by one with each transaction, within and across epochs
}

// Compare orders positions by epoch and version.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Epoch, other.Epoch), cmp.Compare(p.Version, other.Version))
}

// IsZero reports whether the position is that of an empty log, before its first transaction.
func (p Position) IsZero() bool { return p == Position{} }

// String returns the position as "epoch.version".
func (p Position) String() string { return fmt.Sprintf("%d.%d", p.Epoch, p.Version) }

// Resource is one item of configuration. Of the pointers, only the one that matches Key.Kind is set.
type Resource struct {
	Key      Key
	Service  *Service
	Endpoint *Endpoint
	Route    *Route
	Tenant   *Tenant
}

// Service is a group of endpoints that serve the same requests.
type Service struct {
	Region      string        // the home region; only its writer changes the service
	DrainGrace  time.Duration // time after which a draining endpoint receives no new requests; whole milliseconds
	MaxAttempts uint32        // per request; at least 1
}

// EndpointState says whether an endpoint may receive new requests.
type EndpointState uint8

// The states of an endpoint. A removed endpoint has no state: its resource is deleted.
const (
	EndpointReady    EndpointState = iota + 1
	EndpointDraining               // finishes its requests in flight; receives no new ones after the drain grace
)

// Endpoint is one process that serves requests of the service.
type Endpoint struct {
	Address   string // IP address and port
	Zone      string
	Class     string // machine type
	Cell      uint64
	State     EndpointState
	StartedMS uint64 // start time in Unix milliseconds; 0 for long ago
}

// Route directs requests that match its host and path prefix to the service.
type Route struct {
	Host       string // in lower case; "" matches any host
	PathPrefix string // starts with "/"
}

// Tenant is one customer of the service.
type Tenant struct {
	Quota float64 // requests per second over all nodes; not negative
}

// Change sets or deletes one resource.
type Change struct {
	Resource Resource // only Key is set if Deleted
	Deleted  bool
}

// Transaction is a set of changes that is applied atomically or rejected as a whole.
type Transaction struct {
	Position Position // zero until the transaction is appended to a log
	Changes  []Change // at most one per key
}
