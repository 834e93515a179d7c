package resource

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"
)

// The hash is part of what versions tell each other: these values never change.
func TestHashIsThatOfEveryVersion(t *testing.T) {
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

// Any field that differs makes another hash; an equal copy makes the same.
func TestHashSeesEveryField(t *testing.T) {
	seen := map[uint64]string{}
	note := func(r Resource, what string) {
		if other, twice := seen[r.Hash()]; twice {
			t.Errorf("%s hashes as %s", what, other)
		}
		seen[r.Hash()] = what
	}
	for _, make := range []func() Resource{
		func() Resource { return service("cart") }, func() Resource { return endpoint("cart", "e") },
		func() Resource { return route("cart", "r") }, func() Resource { return tenant("cart", "t") },
	} {
		plain := make()
		note(plain, plain.Key.String())
		if again := make(); again.Hash() != plain.Hash() {
			t.Errorf("%s: a copy hashes differently", plain.Key)
		}
		for i := range fieldsOf(&plain).NumField() {
			r := make()
			fields := fieldsOf(&r)
			bump(fields.Field(i))
			note(r, plain.Key.String()+" "+fields.Type().Field(i).Name)
		}
	}
}

// fieldsOf is the struct of the value of a resource.
func fieldsOf(r *Resource) reflect.Value {
	for _, v := range []any{r.Service, r.Endpoint, r.Route, r.Tenant} {
		if value := reflect.ValueOf(v); !value.IsNil() {
			return value.Elem()
		}
	}
	panic("a resource without a value")
}

func bump(field reflect.Value) {
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

// Texts of a key can't be shifted from one to the next.
func TestHashSeparatesTexts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.StringN(2, 20, 60).Draw(t, "text")
		cut := rapid.IntRange(0, len(text)-1).Draw(t, "cut")
		a := Resource{Key: Key{text[:cut], KindTenant, text[cut:]}, Tenant: &Tenant{}}
		b := Resource{Key: Key{text[:cut+1], KindTenant, text[cut+1:]}, Tenant: &Tenant{}}
		if a.Hash() == b.Hash() {
			t.Errorf("%q hashes as %q", a.Key, b.Key)
		}
	})
}

func BenchmarkHash(b *testing.B) {
	r := endpoint("configurator-7", "be-12345")
	for b.Loop() {
		r.Hash()
	}
}
