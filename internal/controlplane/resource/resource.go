// Package resource defines the configuration that the control plane distributes: services, routes, tenants and endpoints
// as typed, versioned resources. A resource belongs to one service, which is the unit of subscription: a node is sent the
// resources of the services that it serves and no others.
//
// There is no I/O, clock or goroutine here. Resources are values: nothing changes one after it was handed on.
package resource

import (
	"cmp"
	"fmt"
	"time"
)

// Kind is the type of a resource. Kinds are sent in the order of their numbers, so that a node that starts can serve
// before it has heard of every tenant.
type Kind uint8

// The kinds of resources.
const (
	KindService Kind = iota + 1
	KindEndpoint
	KindRoute
	KindTenant
	kindEnd // one past the last kind
)

// String is the kind's name in messages to operators.
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

// Known reports whether this version knows the kind.
func (k Kind) Known() bool { return k >= KindService && k < kindEnd }

// Key names a resource within the log of one region.
type Key struct {
	Service string
	Kind    Kind
	Name    string // within the service; the service's own name for KindService
}

// Compare orders keys by service, kind and name.
func (k Key) Compare(other Key) int {
	return cmp.Or(cmp.Compare(k.Service, other.Service), cmp.Compare(k.Kind, other.Kind), cmp.Compare(k.Name, other.Name))
}

// String is the key in messages to operators, such as `endpoint "be-7" of service "configurator"`.
func (k Key) String() string {
	if k.Kind == KindService {
		return fmt.Sprintf("service %q", k.Service)
	}
	return fmt.Sprintf("%s %q of service %q", k.Kind, k.Name, k.Service)
}

// Position is a place in the log of one region. Epochs are fenced: a log has one writer in each, and no entry of an older
// epoch is appended after one of a newer.
type Position struct {
	Epoch   uint64
	Version uint64 // grows by one with each transaction, within and across epochs
}

// Compare orders positions by epoch and version.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Epoch, other.Epoch), cmp.Compare(p.Version, other.Version))
}

// IsZero reports whether the position is that of a log in which nothing was ever written.
func (p Position) IsZero() bool { return p == Position{} }

func (p Position) String() string { return fmt.Sprintf("%d.%d", p.Epoch, p.Version) }

// Resource is one item of configuration. Exactly the field of its kind is set.
type Resource struct {
	Key      Key
	Service  *Service
	Endpoint *Endpoint
	Route    *Route
	Tenant   *Tenant
}

// Service is a group of endpoints that answer the same requests.
type Service struct {
	Region      string        // the home region, whose writer alone changes the service
	DrainGrace  time.Duration // after which nothing new goes to an endpoint that drains; whole milliseconds
	MaxAttempts uint32        // for one request; at least 1
}

// EndpointState tells what may be sent to an endpoint.
type EndpointState uint8

// The states of an endpoint. One that is gone is deleted.
const (
	EndpointReady    EndpointState = iota + 1
	EndpointDraining               // finishes what it has, takes nothing new
)

// Endpoint is one process that serves requests of the service.
type Endpoint struct {
	Address   string // IP address and port
	Zone      string
	Class     string // the kind of machine
	Cell      uint64
	State     EndpointState
	StartedMS uint64 // Unix milliseconds of its start; 0 for long ago
}

// Route sends requests that match it to the service.
type Route struct {
	Host       string // in lower case; "" for any
	PathPrefix string // from "/"
}

// Tenant is one customer of the service.
type Tenant struct {
	Quota float64 // requests a second, over all nodes; not negative
}

// Change sets or deletes one resource.
type Change struct {
	Resource Resource // only the key, where Deleted
	Deleted  bool
}

// Transaction is a set of changes that is taken whole or refused whole.
type Transaction struct {
	Position Position // zero until a log has taken it
	Changes  []Change // each key at most once
}
