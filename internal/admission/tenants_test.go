package admission

import (
	"testing"
	"time"
)

func TestSharesChange(t *testing.T) {
	tenants := NewTenants(map[string]float64{"a": 1, "b": 1})
	past := func(tenant string, requests int) (last bool) {
		for range requests {
			last = tenants.Count(time.Second, tenant)
		}
		return last
	}
	if !past("a", 20) || past("c", 20) {
		t.Fatal("a tenant past its share is not, or one without a share is")
	}
	tenants.Change([]ShareChange{{Tenant: "a", Share: 1000}, {Tenant: "b", Removed: true}, {Tenant: "c", Share: 1}})
	if past("a", 1) || past("b", 20) {
		t.Error("a tenant with a larger share, or with none any more, is past it")
	}
	if !past("c", 20) {
		t.Error("a tenant with a new share is never past it")
	}
	tenants.Change([]ShareChange{{Tenant: "a", Share: 1}})
	if !past("a", 1) {
		t.Error("what was counted of a tenant is forgotten with its share's change")
	}
}
