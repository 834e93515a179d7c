package message

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"pgregory.net/rapid"

	"craneglade/internal/controlplane/resource"
)

func drawPosition(t *rapid.T) resource.Position {
	return resource.Position{Epoch: rapid.Uint64().Draw(t, "epoch"), Version: rapid.Uint64().Draw(t, "version")}
}

func drawName(t *rapid.T, label string) string {
	return rapid.StringMatching(`[a-z0-9é/-]{1,20}`).Draw(t, label)
}

// drawMilliseconds draws a duration of whole milliseconds, as it is encoded.
func drawMilliseconds(t *rapid.T) time.Duration {
	return time.Duration(rapid.Int64Range(0, math.MaxInt64/int64(time.Millisecond)).Draw(t, "duration")) * time.Millisecond
}

// drawResource draws any resource, including invalid ones.
func drawResource(t *rapid.T) resource.Resource {
	service := rapid.SampledFrom([]string{"cart", "pay", "search"}).Draw(t, "service")
	r := resource.Resource{Key: resource.Key{Service: service, Kind: resource.Kind(rapid.IntRange(1, 4).Draw(t, "kind"))}}
	r.Key.Name = rapid.StringN(0, 10, 40).Draw(t, "name")
	switch r.Key.Kind {
	case resource.KindService:
		r.Key.Name = service
		r.Service = &resource.Service{Region: rapid.String().Draw(t, "region"), DrainGrace: drawMilliseconds(t), MaxAttempts: rapid.Uint32().Draw(t, "attempts")}
	case resource.KindEndpoint:
		address := rapid.OneOf(rapid.Just("127.0.0.1:8080"), rapid.Just("[fd00::1]:443"), rapid.Just("[::ffff:10.0.0.1]:1"), rapid.Just("[fe80::1%lo]:2"),
			rapid.String()).Draw(t, "address")
		r.Endpoint = &resource.Endpoint{Address: address, Zone: rapid.String().Draw(t, "zone"), Class: rapid.String().Draw(t, "class"),
			Cell: rapid.Uint64().Draw(t, "cell"), State: resource.EndpointState(rapid.Uint8().Draw(t, "state")), StartedMS: rapid.Uint64().Draw(t, "start")}
	case resource.KindRoute:
		r.Route = &resource.Route{Host: rapid.String().Draw(t, "host"), PathPrefix: rapid.String().Draw(t, "path")}
	case resource.KindTenant:
		r.Tenant = &resource.Tenant{Quota: rapid.Float64().Draw(t, "quota")}
	}
	return r
}

func drawChange(t *rapid.T) resource.Change {
	r := drawResource(t)
	if rapid.Bool().Draw(t, "deleted") {
		return resource.Change{Resource: resource.Resource{Key: r.Key}, Deleted: true}
	}
	return resource.Change{Resource: r}
}

func drawDigest(t *rapid.T) Digest { return Digest(rapid.Uint64().Draw(t, "digest")) }

func drawMessage(t *rapid.T) Message {
	region := drawName(t, "region")
	switch rapid.IntRange(1, 6).Draw(t, "message") {
	case 1:
		services := rapid.SliceOfDistinct(rapid.String(), rapid.ID).Draw(t, "services")
		slices.Sort(services)
		return &Subscribe{Region: region, All: rapid.Bool().Draw(t, "all"), Services: nilIfEmpty(services), Have: drawPosition(t),
			Digest: drawDigest(t), Standby: rapid.Bool().Draw(t, "standby")}
	case 2:
		return &SnapshotPart{Region: region, Position: drawPosition(t), Index: rapid.Uint32().Draw(t, "index"), Last: rapid.Bool().Draw(t, "last"),
			Resources: nilIfEmpty(rapid.SliceOfN(rapid.Custom(drawResource), 0, 30).Draw(t, "resources")), Digest: drawDigest(t)}
	case 3:
		return &Delta{Region: region, From: drawPosition(t), To: drawPosition(t), Digest: drawDigest(t),
			Changes: nilIfEmpty(rapid.SliceOfN(rapid.Custom(drawChange), 0, 10).Draw(t, "changes"))}
	case 4:
		m := &Heartbeat{Region: region, Position: drawPosition(t), Digest: drawDigest(t), Age: drawMilliseconds(t)}
		m.Sent = rapid.SampledFrom([]resource.Position{m.Position, {}, drawPosition(t)}).Draw(t, "sent")
		return m
	case 5:
		return &Acknowledge{Region: region, Position: drawPosition(t), Refused: rapid.String().Draw(t, "refused")}
	}
	return &Busy{Region: region, RetryAfter: drawMilliseconds(t)}
}

// nilIfEmpty returns nil for an empty list, as Decode does.
func nilIfEmpty[T any](all []T) []T {
	if len(all) == 0 {
		return nil
	}
	return all
}

func TestFrameRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := nilIfEmpty(rapid.SliceOfN(rapid.Custom(drawMessage), 0, 5).Draw(t, "messages"))
		got, skipped, err := Decode(Encode(all...))
		if err != nil || skipped != (Skipped{}) || !reflect.DeepEqual(got, all) {
			t.Fatalf("wrote %+v\nread  %+v, skipped %+v, error %v", all, got, skipped, err)
		}
	})
}

func TestChangesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := nilIfEmpty(rapid.SliceOfN(rapid.Custom(drawChange), 0, 20).Draw(t, "changes"))
		got, skipped, err := DecodeChanges(EncodeChanges(all))
		if err != nil || skipped != (Skipped{}) || !reflect.DeepEqual(got, all) {
			t.Fatalf("wrote %+v\nread  %+v, skipped %+v, error %v", all, got, skipped, err)
		}
	})
	for _, bad := range [][]byte{nil, {0xff}, EncodeChanges(nil)[:1], appendBytes(nil, fieldDeltaGroup, nil)} {
		if got, _, err := DecodeChanges(bad); !errors.Is(err, ErrMalformed) || got != nil {
			t.Errorf("%x: %v, %v", bad, got, err)
		}
	}
}

func TestDurationsAreRoundedUp(t *testing.T) {
	got, _, err := Decode(Encode(&Heartbeat{Region: "north", Age: 1500 * time.Microsecond}, &Busy{Region: "north", RetryAfter: -time.Second}))
	if err != nil || got[0].(*Heartbeat).Age != 2*time.Millisecond || got[1].(*Busy).RetryAfter != 0 {
		t.Errorf("%+v %v", got, err)
	}
}

// nested returns a field that holds fields.
func nested(number protowire.Number, parts ...[]byte) []byte {
	return appendBytes(nil, number, slices.Concat(parts...))
}

// frame returns a frame of any version with the given fields.
func frame(version uint64, parts ...[]byte) []byte {
	return append(appendVarint(nil, fieldFrameVersion, version), slices.Concat(parts...)...)
}

// A frame of a later version has unknown fields, messages and kinds of resources between known ones. They must be skipped
// and counted, and the rest decoded.
func TestUnknownFieldsAndKindsAreSkipped(t *testing.T) {
	extra := slices.Concat(appendString(nil, 40, "a field of the future"), protowire.AppendFixed64(protowire.AppendTag(nil, 41, protowire.Fixed64Type), 1))
	tenant := resource.Resource{Key: resource.Key{Service: "cart", Kind: resource.KindTenant, Name: "t"}, Tenant: &resource.Tenant{Quota: 2}}
	endpoint := resource.Resource{Key: resource.Key{Service: "cart", Kind: resource.KindEndpoint, Name: "e"},
		Endpoint: &resource.Endpoint{Address: "127.0.0.1:80", State: resource.EndpointReady}}
	group := nested(fieldDeltaGroup,
		appendString(nil, fieldGroupName, "cart"),
		nested(fieldGroupTenant, appendTenant(nil, "t", tenant.Tenant), extra),
		nested(30, extra), // a resource of an unknown kind
		nested(fieldGroupDeletion, appendVarint(nil, fieldDeletionKind, 77), appendString(nil, fieldDeletionName, "x")),
		nested(fieldGroupDeletion, appendVarint(nil, fieldDeletionKind, 4<<8|1), appendString(nil, fieldDeletionName, "x")),
		nested(fieldGroupEndpoint, appendEndpoint(nil, "e", endpoint.Endpoint), extra),
	)
	delta := &Delta{Region: "north", From: resource.Position{Epoch: 1, Version: 1}, To: resource.Position{Epoch: 1, Version: 2}}
	b := frame(2, nested(50, extra), nested(fieldDelta, extra, delta.encode(), group), appendVarint(nil, 51, 9),
		nested(fieldHeartbeat, (&Heartbeat{Region: "north"}).encode(), extra))
	got, skipped, err := Decode(b)
	delta.Changes = []resource.Change{{Resource: tenant}, {Resource: endpoint}}
	want := []Message{delta, &Heartbeat{Region: "north"}}
	if err != nil || !reflect.DeepEqual(got, want) || skipped != (Skipped{Messages: 2, Resources: 3, Fields: 8}) {
		t.Errorf("%+v, skipped %+v, error %v", got, skipped, err)
	}
}

func TestDecodeRejectsInvalidFrames(t *testing.T) {
	good := Encode(&Delta{Region: "north", Changes: []resource.Change{{Resource: resource.Resource{
		Key: resource.Key{Service: "cart", Kind: resource.KindTenant, Name: "t"}, Tenant: &resource.Tenant{}}}}})
	region := appendString(nil, fieldRegion, "north")
	group := func(parts ...[]byte) []byte {
		return frame(1, nested(fieldDelta, region, nested(fieldDeltaGroup, parts...)))
	}
	mustCompress := func(b []byte) []byte {
		compressed, ok := compress(b)
		if !ok {
			t.Fatal("not compressed")
		}
		return compressed
	}
	zeros := make([]byte, MaxFrameBytes)
	bomb := nested(fieldSnapshotPart, region, appendBytes(nil, fieldPartCompressed, mustCompress(appendBytes(nil, 60, zeros[:MaxFrameBytes-16]))))
	for name, c := range map[string]struct {
		frame []byte
		want  error
		text  string
	}{
		"empty":               {nil, ErrMalformed, "no version"},
		"cut off":             {good[:len(good)-1], ErrMalformed, "unexpected EOF"},
		"no version":          {good[2:], ErrMalformed, "no version"},
		"no fields":           {[]byte{0xff, 0xff}, ErrMalformed, ""},
		"a message as number": {frame(1, appendVarint(nil, fieldDelta, 9)), ErrMalformed, "field 4 is a number"},
		"version as bytes":    {appendString(nil, fieldFrameVersion, "1"), ErrMalformed, "field 1 is bytes"},
		"no region":           {Encode(&Busy{}), ErrMalformed, "a region's name of 0 bytes"},
		"a long region":       {Encode(&Busy{Region: strings.Repeat("n", 129)}), ErrMalformed, "a region's name of 129 bytes"},
		"region as a number":  {frame(1, nested(fieldBusy, appendVarint(nil, fieldRegion, 3))), ErrMalformed, "field 1 is a number"},
		"unsorted":            {Encode(&Subscribe{Region: "north", Services: []string{"b", "a"}}), ErrMalformed, "not sorted"},
		"twice":               {Encode(&Subscribe{Region: "north", Services: []string{"a", "a"}}), ErrMalformed, "not sorted"},
		"a long refusal":      {Encode(&Acknowledge{Region: "north", Refused: strings.Repeat("x", 1025)}), ErrTooLarge, "a refusal of 1025 bytes"},
		"an index of 33 bits": {frame(1, nested(fieldSnapshotPart, region, appendVarint(nil, fieldPartIndex, 1<<32))), ErrMalformed, "over 32 bits"},
		"a deletion in a snapshot": {frame(1, nested(fieldSnapshotPart, region, nested(fieldPartGroup, appendDeletion(nil,
			resource.Key{Service: "cart", Kind: resource.KindTenant, Name: "t"})))), ErrMalformed, "a deletion in a snapshot"},
		"an address of 5 bytes": {group(nested(fieldGroupEndpoint, appendBytes(nil, fieldEndpointAddress, make([]byte, 5)))), ErrMalformed, "an address of 5 bytes"},
		"an address of 1 byte":  {group(nested(fieldGroupEndpoint, appendBytes(nil, fieldEndpointAddress, make([]byte, 1)))), ErrMalformed, "an address of 1 bytes"},
		"a group as a number":   {frame(1, nested(fieldDelta, region, appendVarint(nil, fieldDeltaGroup, 3))), ErrMalformed, "field 7 is a number"},
		"a tenant as a number":  {group(appendVarint(nil, fieldGroupTenant, 3)), ErrMalformed, "field 5 is a number"},
		"compressed number":     {frame(1, nested(fieldSnapshotPart, region, appendVarint(nil, fieldPartCompressed, 3))), ErrMalformed, "that are a number"},
		"compressed badly": {frame(1, nested(fieldSnapshotPart, region, appendString(nil, fieldPartCompressed, "\xff\xff\xff"))), ErrMalformed,
			"compressed resources"},
		"many messages":   {Encode(slices.Repeat([]Message{&Busy{Region: "n"}}, MaxFrameMessages+1)...), ErrTooLarge, "1024 messages"},
		"many resources":  {group(bytes.Repeat(nested(fieldGroupTenant), MaxResources+1)), ErrTooLarge, "65536 resources"},
		"a large frame":   {frame(1, nested(50, zeros)), ErrTooLarge, "4194312 bytes"},
		"large once open": {frame(1, bomb, bomb), ErrTooLarge, "compressed resources of over 10 bytes"},
		"many services": {frame(1, nested(fieldSubscribe, region, manyServices(MaxServices+1))), ErrTooLarge,
			"more than 16384 services"},
	} {
		got, skipped, err := Decode(c.frame)
		if !errors.Is(err, c.want) || got != nil || skipped != (Skipped{}) || !strings.Contains(err.Error(), c.text) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %d messages, error %v", name, len(got), err)
		}
	}
	if _, _, err := Decode(frame(1, bomb)); err != nil {
		t.Errorf("at the size limit: %v", err)
	}
}

func manyServices(count int) []byte {
	var b []byte
	for i := range count {
		b = appendString(b, fieldSubscribeService, fmt.Sprintf("%06d", i))
	}
	return b
}

// fleet returns the resources of a node's subscription: services with the given numbers of endpoints, routes and tenants.
func fleet(services, endpoints, routes, tenants int) []resource.Resource {
	var all []resource.Resource
	for i := range services {
		name := fmt.Sprintf("service-%05d", i*37)
		all = append(all, resource.Resource{Key: resource.Key{Service: name, Kind: resource.KindService, Name: name},
			Service: &resource.Service{Region: "north", DrainGrace: 5 * time.Second, MaxAttempts: 3}})
		for j := range endpoints {
			all = append(all, fleetEndpoint(name, i, j))
		}
		for j := range routes {
			all = append(all, resource.Resource{Key: resource.Key{Service: name, Kind: resource.KindRoute, Name: fmt.Sprint("route-", j)},
				Route: &resource.Route{Host: name + ".example", PathPrefix: fmt.Sprint("/v", j)}})
		}
		for j := range tenants {
			all = append(all, resource.Resource{Key: resource.Key{Service: name, Kind: resource.KindTenant, Name: fmt.Sprintf("tenant-%07d", i*7919+j*104729)},
				Tenant: &resource.Tenant{Quota: float64(10 + j%50)}})
		}
	}
	slices.SortStableFunc(all, func(a, b resource.Resource) int { return int(a.Key.Kind) - int(b.Key.Kind) })
	return all
}

func fleetEndpoint(service string, i, j int) resource.Resource {
	scattered := uint64(i*1000003+j) * 0x9e3779b97f4a7c15 // gives ports, hosts and times without a pattern, which would compress too well
	return resource.Resource{Key: resource.Key{Service: service, Kind: resource.KindEndpoint, Name: fmt.Sprintf("be-%d-%d", i, j)},
		Endpoint: &resource.Endpoint{Address: fmt.Sprintf("10.%d.%d.%d:%d", scattered>>56, scattered>>48&0xff, scattered>>40&0xff, 1024+scattered>>24&0x7fff),
			Zone: fmt.Sprint("north-", j%3), Class: "standard", Cell: scattered >> 20 & 7, State: resource.EndpointReady,
			StartedMS: 1700000000000 + scattered>>34}}
}

func TestSnapshotRoundTripAndTruncation(t *testing.T) {
	position := resource.Position{Epoch: 3, Version: 99}
	for _, all := range [][]resource.Resource{nil, fleet(1, 1, 0, 0), fleet(300, 18, 4, 30)} {
		b := EncodeSnapshot("north", position, all)
		region, at, got, skipped, err := DecodeSnapshot(b)
		if err != nil || region != "north" || at != position || skipped != (Skipped{}) || !reflect.DeepEqual(got, all) {
			t.Fatalf("%d of %d resources, %q %s, skipped %+v, error %v", len(got), len(all), region, at, skipped, err)
		}
		for _, bad := range [][]byte{b[:len(b)-1], b[:len(b)/2], append(slices.Clone(b), 0), b[1:], nil} {
			if _, _, got, _, err := DecodeSnapshot(bad); !errors.Is(err, ErrMalformed) && !errors.Is(err, ErrTooLarge) || got != nil {
				t.Errorf("%d of %d bytes: %d resources, error %v", len(bad), len(b), len(got), err)
			}
		}
	}
}

func TestDecodeSnapshotRejectsInvalidParts(t *testing.T) {
	part := func(index uint32, version uint64, last bool, digest Digest) []byte {
		return protowire.AppendBytes(nil, Encode(&SnapshotPart{Region: "north", Position: resource.Position{Epoch: 1, Version: version},
			Index: index, Last: last, Digest: digest}))
	}
	for name, b := range map[string][]byte{
		"doubled":       slices.Concat(part(0, 1, false, 0), part(0, 1, false, 0), part(1, 1, true, 0)),
		"lost":          slices.Concat(part(0, 1, false, 0), part(2, 1, true, 0)),
		"of two":        slices.Concat(part(0, 1, false, 0), part(1, 2, true, 0)),
		"wrong digest":  part(0, 1, true, 7),
		"other message": protowire.AppendBytes(nil, Encode(&Busy{Region: "north"})),
		"no message":    protowire.AppendBytes(nil, Encode()),
	} {
		if _, _, _, _, err := DecodeSnapshot(b); !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(Encode(&Subscribe{Region: "north", Services: []string{"cart", "pay"}, Have: resource.Position{Epoch: 1, Version: 2}, Digest: 5, Standby: true}))
	f.Add(Encode(&SnapshotPart{Region: "north", Last: true, Digest: 7, Resources: fleet(2, 3, 1, 1)}))
	f.Add(Encode(&SnapshotPart{Region: "north", Index: 4, Resources: fleet(2, 30, 1, 1)})) // compressed
	f.Add(Encode(&Delta{Region: "north", To: resource.Position{Epoch: 1, Version: 2}, Changes: []resource.Change{
		{Resource: fleetEndpoint("cart", 1, 2)}, {Resource: resource.Resource{Key: resource.Key{Service: "cart", Kind: resource.KindTenant, Name: "t"}}, Deleted: true}}}))
	f.Add(Encode(&Heartbeat{Region: "north", Age: time.Second}, &Acknowledge{Region: "south", Refused: "no"}, &Busy{Region: "east", RetryAfter: time.Second}))
	f.Fuzz(func(t *testing.T, b []byte) {
		all, _, err := Decode(b)
		if err != nil {
			if !errors.Is(err, ErrMalformed) && !errors.Is(err, ErrTooLarge) || all != nil {
				t.Fatalf("%d messages and the error %v", len(all), err)
			}
			return
		}
		written := Encode(all...)
		again, skipped, err := Decode(written)
		if err != nil || skipped != (Skipped{}) || !bytes.Equal(Encode(again...), written) {
			t.Fatalf("read   %+v\nreread %+v\nskipped %+v, error %v", all, again, skipped, err)
		}
	})
}
