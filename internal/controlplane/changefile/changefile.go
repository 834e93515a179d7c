// Package changefile parses and formats the files of changes that operators apply to the log of a region, in TOML or JSON.
//
// A file lists the resources to set, in one array of tables per kind, and the resources to delete. All changes of a file
// are one transaction.
//
// The package does no I/O, reads no clock and starts no goroutines.
package changefile

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"craneglade/internal/controlplane/resource"
	"craneglade/internal/tomlfile"
)

// File is the content of a file of changes. TOML and JSON have the same keys.
type File struct {
	Services  []Service  `toml:"service" json:"service,omitempty"`
	Endpoints []Endpoint `toml:"endpoint" json:"endpoint,omitempty"`
	Routes    []Route    `toml:"route" json:"route,omitempty"`
	Tenants   []Tenant   `toml:"tenant" json:"tenant,omitempty"`
	Deletions []Deletion `toml:"delete" json:"delete,omitempty"`
}

// Service is a resource.Service with its key.
type Service struct {
	Name        string `toml:"name" json:"name"`
	Region      string `toml:"region" json:"region"`
	DrainGrace  string `toml:"drain_grace" json:"drain_grace"` // such as "2s"
	MaxAttempts uint32 `toml:"max_attempts" json:"max_attempts"`
}

// Endpoint is a resource.Endpoint with its key.
type Endpoint struct {
	Service   string `toml:"service" json:"service"`
	Name      string `toml:"name" json:"name"`
	Address   string `toml:"address" json:"address"`
	Zone      string `toml:"zone" json:"zone,omitempty"`
	Class     string `toml:"class" json:"class,omitempty"`
	Cell      uint64 `toml:"cell" json:"cell,omitempty"`
	State     string `toml:"state" json:"state"` // ready or draining
	StartedMS uint64 `toml:"started_ms" json:"started_ms,omitempty"`
}

// Route is a resource.Route with its key.
type Route struct {
	Service    string `toml:"service" json:"service"`
	Name       string `toml:"name" json:"name"`
	Host       string `toml:"host" json:"host,omitempty"`
	PathPrefix string `toml:"path_prefix" json:"path_prefix"`
}

// Tenant is a resource.Tenant with its key.
type Tenant struct {
	Service string  `toml:"service" json:"service"`
	Name    string  `toml:"name" json:"name"`
	Quota   float64 `toml:"quota" json:"quota"` // requests per second
}

// Deletion is the key of a resource to delete.
type Deletion struct {
	Service string `toml:"service" json:"service"`
	Kind    string `toml:"kind" json:"kind"` // service, endpoint, route or tenant
	Name    string `toml:"name" json:"name"`
}

// The names of an endpoint's states.
const (
	ready    = "ready"
	draining = "draining"
)

// Parse parses the text of a file of changes. A name that ends in .json means JSON, any other TOML. An error is one line
// with the name and the cause. resource.ValidateChanges may still reject the changes.
func Parse(name string, text []byte) ([]resource.Change, error) {
	f := &File{}
	if strings.HasSuffix(name, ".json") {
		if err := parseJSON(text, f); err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
	} else if _, err := tomlfile.Decode(name, text, f); err != nil {
		return nil, err
	}
	changes, err := f.Changes()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return changes, nil
}

func parseJSON(text []byte, f *File) error {
	in := json.NewDecoder(bytes.NewReader(text))
	in.DisallowUnknownFields()
	if err := in.Decode(f); err != nil {
		line := 1 + bytes.Count(text[:min(int64(len(text)), in.InputOffset())], []byte("\n"))
		return fmt.Errorf("line %d or later: %w", line, err)
	}
	if _, err := in.Token(); !errors.Is(err, io.EOF) {
		return errors.New("unexpected data after the JSON object of changes")
	}
	return nil
}

// Changes returns the changes of the file, as those of one transaction. An error names the resource and the field.
func (f *File) Changes() ([]resource.Change, error) {
	var changes []resource.Change
	set := func(r resource.Resource) { changes = append(changes, resource.Change{Resource: r}) }
	for i := range f.Services {
		r, err := f.Services[i].resource()
		if err != nil {
			return nil, err
		}
		set(r)
	}
	for i := range f.Endpoints {
		r, err := f.Endpoints[i].resource()
		if err != nil {
			return nil, err
		}
		set(r)
	}
	for _, x := range f.Routes {
		set(resource.Resource{Key: resource.Key{Service: x.Service, Kind: resource.KindRoute, Name: x.Name},
			Route: &resource.Route{Host: x.Host, PathPrefix: x.PathPrefix}})
	}
	for _, x := range f.Tenants {
		set(resource.Resource{Key: resource.Key{Service: x.Service, Kind: resource.KindTenant, Name: x.Name},
			Tenant: &resource.Tenant{Quota: x.Quota}})
	}
	for _, x := range f.Deletions {
		kind, err := ParseKind(x.Kind)
		if err != nil {
			return nil, fmt.Errorf("delete %q of service %q: kind: %w", x.Name, x.Service, err)
		}
		changes = append(changes, resource.Change{Deleted: true,
			Resource: resource.Resource{Key: resource.Key{Service: x.Service, Kind: kind, Name: x.Name}}})
	}
	return changes, nil
}

func (s *Service) resource() (resource.Resource, error) {
	key := resource.Key{Service: s.Name, Kind: resource.KindService, Name: s.Name}
	grace, err := time.ParseDuration(s.DrainGrace)
	if err != nil {
		return resource.Resource{}, fmt.Errorf(`%v: drain_grace: %q; a number and a unit, such as "2s"`, key, s.DrainGrace)
	}
	return resource.Resource{Key: key,
		Service: &resource.Service{Region: s.Region, DrainGrace: grace, MaxAttempts: s.MaxAttempts}}, nil
}

func (e *Endpoint) resource() (resource.Resource, error) {
	key := resource.Key{Service: e.Service, Kind: resource.KindEndpoint, Name: e.Name}
	endpoint := &resource.Endpoint{Address: e.Address, Zone: e.Zone, Class: e.Class, Cell: e.Cell, StartedMS: e.StartedMS}
	switch e.State {
	case ready:
		endpoint.State = resource.EndpointReady
	case draining:
		endpoint.State = resource.EndpointDraining
	default:
		return resource.Resource{}, fmt.Errorf("%v: state: %q; %s or %s", key, e.State, ready, draining)
	}
	return resource.Resource{Key: key, Endpoint: endpoint}, nil
}

// ParseKind returns the kind with the name.
func ParseKind(name string) (resource.Kind, error) {
	for kind := resource.Kind(1); kind.Known(); kind++ {
		if kind.String() == name {
			return kind, nil
		}
	}
	return 0, fmt.Errorf("%q; service, endpoint, route or tenant", name)
}

// Format returns a file of changes in JSON that sets the resources.
func Format(resources []resource.Resource) ([]byte, error) {
	f := &File{}
	for i := range resources {
		f.add(&resources[i])
	}
	return json.MarshalIndent(f, "", "  ")
}

func (f *File) add(r *resource.Resource) {
	key := r.Key
	switch key.Kind {
	case resource.KindService:
		f.Services = append(f.Services, Service{key.Name, r.Service.Region, r.Service.DrainGrace.String(), r.Service.MaxAttempts})
	case resource.KindEndpoint:
		e, state := r.Endpoint, ready
		if e.State == resource.EndpointDraining {
			state = draining
		}
		f.Endpoints = append(f.Endpoints, Endpoint{key.Service, key.Name, e.Address, e.Zone, e.Class, e.Cell, state, e.StartedMS})
	case resource.KindRoute:
		f.Routes = append(f.Routes, Route{key.Service, key.Name, r.Route.Host, r.Route.PathPrefix})
	case resource.KindTenant:
		f.Tenants = append(f.Tenants, Tenant{key.Service, key.Name, r.Tenant.Quota})
	}
}
