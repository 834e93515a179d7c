package message

import (
	"fmt"
	"math"
	"net/netip"

	"google.golang.org/protobuf/encoding/protowire"

	"craneglade/internal/controlplane/resource"
)

// The fields of a group, which holds consecutive changes of one service and its name once.
const (
	fieldGroupName protowire.Number = iota + 1
	fieldGroupService
	fieldGroupEndpoint
	fieldGroupRoute
	fieldGroupTenant
	fieldGroupDeletion
)

// The fields of a deletion.
const (
	fieldDeletionKind protowire.Number = iota + 1
	fieldDeletionName                  // omitted for a service, which has the name of the group
)

// The fields of a service.
const (
	fieldServiceRegion     protowire.Number = iota + 1
	fieldServiceDrainGrace                  // milliseconds
	fieldServiceMaxAttempts
)

// fieldName has the same number in all resources but services, which have the name of the group.
const fieldName protowire.Number = 1

// The fields of an endpoint, after the name.
const (
	fieldEndpointAddress protowire.Number = iota + 2 // 4 or 16 bytes of the IP address, then 2 bytes of the port, big-endian
	fieldEndpointZone
	fieldEndpointClass
	fieldEndpointCell
	fieldEndpointState
	fieldEndpointStarted
	fieldEndpointAddressText // instead of fieldEndpointAddress for a string that is no canonical address and port
)

// The fields of a route, after the name.
const (
	fieldRouteHost protowire.Number = iota + 2
	fieldRoutePathPrefix
)

// The fields of a tenant, after the name.
const fieldTenantQuota protowire.Number = 2 // IEEE 754, 64 bits

// EncodeChanges encodes changes without a message, for entries of a replicated log.
func EncodeChanges(changes []resource.Change) []byte {
	return appendChanges(appendVarint(nil, fieldFrameVersion, FrameVersion), fieldDeltaGroup, changes)
}

// DecodeChanges decodes the result of EncodeChanges. Errors are those of Decode.
func DecodeChanges(b []byte) ([]resource.Change, Skipped, error) {
	var d decoder
	var changes []resource.Change
	version := uint64(0)
	err := eachField(b, func(f field) error {
		switch f.number {
		case fieldFrameVersion:
			return f.readUint64(&version)
		case fieldDeltaGroup:
			return d.changeGroup(f, &changes)
		}
		d.skipped.Fields++
		return nil
	})
	if err == nil && version == 0 {
		err = malformed("no version")
	}
	if err != nil {
		return nil, Skipped{}, err
	}
	return changes, d.skipped, nil
}

// appendChanges appends changes in order, as one group for each run of changes of the same service.
func appendChanges(b []byte, number protowire.Number, changes []resource.Change) []byte {
	var group []byte
	for i := 0; i < len(changes); {
		service := changes[i].Resource.Key.Service
		group = appendNonEmptyString(group[:0], fieldGroupName, service)
		for ; i < len(changes) && changes[i].Resource.Key.Service == service; i++ {
			if changes[i].Deleted {
				group = appendDeletion(group, changes[i].Resource.Key)
			} else {
				group = appendResource(group, &changes[i].Resource)
			}
		}
		b = appendBytes(b, number, group)
	}
	return b
}

// appendResources appends resources in order, as one group for each run of resources of the same service.
func appendResources(b []byte, number protowire.Number, all []resource.Resource) []byte {
	var group []byte
	for i := 0; i < len(all); {
		service := all[i].Key.Service
		group = appendNonEmptyString(group[:0], fieldGroupName, service)
		for ; i < len(all) && all[i].Key.Service == service; i++ {
			group = appendResource(group, &all[i])
		}
		b = appendBytes(b, number, group)
	}
	return b
}

func appendDeletion(b []byte, key resource.Key) []byte {
	deletion := appendNonZeroVarint(nil, fieldDeletionKind, uint64(key.Kind))
	if key.Kind != resource.KindService {
		deletion = appendNonEmptyString(deletion, fieldDeletionName, key.Name)
	}
	return appendBytes(b, fieldGroupDeletion, deletion)
}

func appendResource(b []byte, r *resource.Resource) []byte {
	var buffer [256]byte
	switch {
	case r.Service != nil:
		return appendBytes(b, fieldGroupService, appendService(buffer[:0], r.Service))
	case r.Endpoint != nil:
		return appendBytes(b, fieldGroupEndpoint, appendEndpoint(buffer[:0], r.Key.Name, r.Endpoint))
	case r.Route != nil:
		return appendBytes(b, fieldGroupRoute, appendRoute(buffer[:0], r.Key.Name, r.Route))
	case r.Tenant != nil:
		return appendBytes(b, fieldGroupTenant, appendTenant(buffer[:0], r.Key.Name, r.Tenant))
	}
	return b
}

func appendService(b []byte, s *resource.Service) []byte {
	b = appendNonEmptyString(b, fieldServiceRegion, s.Region)
	b = appendNonZeroVarint(b, fieldServiceDrainGrace, milliseconds(s.DrainGrace))
	return appendNonZeroVarint(b, fieldServiceMaxAttempts, uint64(s.MaxAttempts))
}

func appendEndpoint(b []byte, name string, e *resource.Endpoint) []byte {
	b = appendNonEmptyString(b, fieldName, name)
	b = appendAddress(b, e.Address)
	b = appendNonEmptyString(b, fieldEndpointZone, e.Zone)
	b = appendNonEmptyString(b, fieldEndpointClass, e.Class)
	b = appendNonZeroVarint(b, fieldEndpointCell, e.Cell)
	b = appendNonZeroVarint(b, fieldEndpointState, uint64(e.State))
	return appendNonZeroVarint(b, fieldEndpointStarted, e.StartedMS)
}

func appendAddress(b []byte, address string) []byte {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil || parsed.Addr().Zone() != "" || parsed.String() != address {
		return appendNonEmptyString(b, fieldEndpointAddressText, address)
	}
	packed := append(parsed.Addr().AsSlice(), byte(parsed.Port()>>8), byte(parsed.Port()))
	return appendBytes(b, fieldEndpointAddress, packed)
}

func appendRoute(b []byte, name string, r *resource.Route) []byte {
	b = appendNonEmptyString(b, fieldName, name)
	b = appendNonEmptyString(b, fieldRouteHost, r.Host)
	return appendNonEmptyString(b, fieldRoutePathPrefix, r.PathPrefix)
}

func appendTenant(b []byte, name string, t *resource.Tenant) []byte {
	return appendFixed64(appendNonEmptyString(b, fieldName, name), fieldTenantQuota, math.Float64bits(t.Quota))
}

// changeGroup decodes a group of changes.
func (d *decoder) changeGroup(parent field, changes *[]resource.Change) error {
	return d.eachInGroup(parent, func(r resource.Resource, deleted bool) error {
		*changes = append(*changes, resource.Change{Resource: r, Deleted: deleted})
		return nil
	})
}

// resourceGroup decodes a group of resources, which must not have deletions.
func (d *decoder) resourceGroup(parent field, all *[]resource.Resource) error {
	return d.eachInGroup(parent, func(r resource.Resource, deleted bool) error {
		if deleted {
			return malformed("a deletion in a snapshot")
		}
		*all = append(*all, r)
		return nil
	})
}

// eachInGroup calls visit with each set or deleted resource of a known kind in a group.
func (d *decoder) eachInGroup(parent field, visit func(r resource.Resource, deleted bool) error) error {
	service := ""
	return d.fields(parent, func(f field) error {
		if f.number == fieldGroupName {
			return f.readInterned(&service)
		}
		if d.resources++; d.resources > MaxResources {
			return fmt.Errorf("%w: more than %d resources", ErrTooLarge, MaxResources)
		}
		r := resource.Resource{Key: resource.Key{Service: service}}
		var err error
		switch f.number {
		case fieldGroupService:
			err = d.service(f, &r)
		case fieldGroupEndpoint:
			err = d.endpoint(f, &r)
		case fieldGroupRoute:
			err = d.route(f, &r)
		case fieldGroupTenant:
			err = d.tenant(f, &r)
		case fieldGroupDeletion:
			err = d.deletion(f, &r)
		default:
			d.skipped.Resources++
			return nil
		}
		if err != nil {
			return err
		}
		if !r.Key.Kind.Known() { // a deletion of a resource whose kind only a later version knows
			d.skipped.Resources++
			return nil
		}
		return visit(r, f.number == fieldGroupDeletion)
	})
}

func (d *decoder) deletion(parent field, r *resource.Resource) error {
	kind := uint64(0)
	err := d.fields(parent, func(f field) error {
		switch f.number {
		case fieldDeletionKind:
			return f.readUint64(&kind)
		case fieldDeletionName:
			return f.readString(&r.Key.Name)
		}
		return errUnknownField
	})
	if kind <= math.MaxUint8 {
		r.Key.Kind = resource.Kind(kind)
	}
	if r.Key.Kind == resource.KindService {
		r.Key.Name = r.Key.Service
	}
	return err
}

func (d *decoder) service(parent field, r *resource.Resource) error {
	s := &resource.Service{}
	r.Key.Kind, r.Key.Name, r.Service = resource.KindService, r.Key.Service, s
	return d.fields(parent, func(f field) error {
		switch f.number {
		case fieldServiceRegion:
			return f.readInterned(&s.Region)
		case fieldServiceDrainGrace:
			return f.readDuration(&s.DrainGrace)
		case fieldServiceMaxAttempts:
			return f.readUint32(&s.MaxAttempts)
		}
		return errUnknownField
	})
}

func (d *decoder) endpoint(parent field, r *resource.Resource) error {
	e := &resource.Endpoint{}
	r.Key.Kind, r.Endpoint = resource.KindEndpoint, e
	return d.fields(parent, func(f field) error {
		switch f.number {
		case fieldName:
			return f.readString(&r.Key.Name)
		case fieldEndpointAddress:
			return f.readAddress(&e.Address)
		case fieldEndpointAddressText:
			return f.readString(&e.Address)
		case fieldEndpointZone:
			return f.readInterned(&e.Zone)
		case fieldEndpointClass:
			return f.readInterned(&e.Class)
		case fieldEndpointCell:
			return f.readUint64(&e.Cell)
		case fieldEndpointState:
			var state uint64
			err := f.readUint64(&state)
			e.State = resource.EndpointState(min(state, math.MaxUint8)) // validation rejects unknown states
			return err
		case fieldEndpointStarted:
			return f.readUint64(&e.StartedMS)
		}
		return errUnknownField
	})
}

func (f field) readAddress(to *string) error {
	const portBytes = 2
	if len(f.data) < portBytes {
		return malformed("an address of %d bytes", len(f.data))
	}
	split := len(f.data) - portBytes
	ip, ok := netip.AddrFromSlice(f.data[:split])
	if !ok {
		return malformed("an address of %d bytes", len(f.data))
	}
	port := uint16(f.data[split])<<8 | uint16(f.data[split+1])
	*to = netip.AddrPortFrom(ip, port).String()
	return nil
}

func (d *decoder) route(parent field, r *resource.Resource) error {
	route := &resource.Route{}
	r.Key.Kind, r.Route = resource.KindRoute, route
	return d.fields(parent, func(f field) error {
		switch f.number {
		case fieldName:
			return f.readString(&r.Key.Name)
		case fieldRouteHost:
			return f.readString(&route.Host)
		case fieldRoutePathPrefix:
			return f.readString(&route.PathPrefix)
		}
		return errUnknownField
	})
}

func (d *decoder) tenant(parent field, r *resource.Resource) error {
	t := &resource.Tenant{}
	r.Key.Kind, r.Tenant = resource.KindTenant, t
	return d.fields(parent, func(f field) error {
		switch f.number {
		case fieldName:
			return f.readString(&r.Key.Name)
		case fieldTenantQuota:
			var bits uint64
			err := f.readUint64(&bits)
			t.Quota = math.Float64frombits(bits)
			return err
		}
		return errUnknownField
	})
}
