package resource

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// Versions of the program compare digests made of these hashes, so the values must never change.
func TestHashIsStableAcrossVersions(t *testing.T) {
	for _, c := range []struct {
		resource Resource
		want     uint64
	}{
		{service("cart"), 0xf2d0bcd5687cc3f0},
		{endpoint("cart", "e"), 0x48e62791e03b9cbf},
		{route("cart", "r"), 0x49fbb8eab690460f},
		{tenant("cart", "t"), 0x46a33722566e9ca6},
	} {
		if got := c.resource.Hash(); got != c.want {
			t.Errorf("%s: %#x, want %#x", c.resource.Key, got, c.want)
		}
	}
}

// A field left out of the hash would hide a difference between two replicas: changing any one field must change the hash,
// and an equal copy must have the same hash.
func TestHashCoversEveryField(t *testing.T) {
	seen := map[uint64]string{}
	record := func(r Resource, name string) {
		if other, duplicate := seen[r.Hash()]; duplicate {
			t.Errorf("%s has the same hash as %s", name, other)
		}
		seen[r.Hash()] = name
	}
	for _, make := range []func() Resource{
		func() Resource { return service("cart") }, func() Resource { return endpoint("cart", "e") },
		func() Resource { return route("cart", "r") }, func() Resource { return tenant("cart", "t") },
	} {
		plain := make()
		record(plain, plain.Key.String())
		if again := make(); again.Hash() != plain.Hash() {
			t.Errorf("%s: an equal copy has a different hash", plain.Key)
		}
		for i := range fieldsOf(&plain).NumField() {
			r := make()
			fields := fieldsOf(&r)
			modifyField(fields.Field(i))
			record(r, plain.Key.String()+" "+fields.Type().Field(i).Name)
		}
	}
}

// fieldsOf returns the struct of the resource's value for reflection.
func fieldsOf(r *Resource) reflect.Value {
	for _, v := range []any{r.Service, r.Endpoint, r.Route, r.Tenant} {
		if value := reflect.ValueOf(v); !value.IsNil() {
			return value.Elem()
		}
	}
	panic("a resource without a value")
}

func modifyField(field reflect.Value) {
	switch field.Kind() {
	case reflect.String:
		field.SetString(field.String() + "x")
	case reflect.Float64:
		field.SetFloat(field.Float() + 1)
	case reflect.Int64:
		field.SetInt(field.Int() + 1e9)
	default:
		field.SetUint(field.Uint() + 1)
	}
}

// Moving a character from the end of one part of a key to the start of the next must change the hash.
func TestHashSeparatesKeyParts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringN(2, 20, 60).Draw(t, "text")
		cut := rapid.IntRange(0, len(text)-1).Draw(t, "cut")
		a := Resource{Key: Key{text[:cut], KindTenant, text[cut:]}, Tenant: &Tenant{}}
		b := Resource{Key: Key{text[:cut+1], KindTenant, text[cut+1:]}, Tenant: &Tenant{}}
		if a.Hash() == b.Hash() {
			t.Errorf("%q has the same hash as %q", a.Key, b.Key)
		}
	})
}

func BenchmarkHash(b *testing.B) {
	r := endpoint("configurator-7", "be-12345")
	for b.Loop() {
		r.Hash()
	}
}
