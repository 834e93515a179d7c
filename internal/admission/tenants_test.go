package admission

import (
	"testing"
	"time"
)

func TestShareChanges(t *testing.T) {
	tenants := NewTenants(map[string]float64{"a": 1, "b": 1})
	overQuota := func(tenant string, requests int) (last bool) {
		for range requests {
			last = tenants.Count(time.Second, tenant)
		}
		return last
	}
	if !overQuota("a", 20) || overQuota("c", 20) {
		t.Fatal("a tenant above its share is not over quota, or one without a share is")
	}
	tenants.Change([]ShareChange{{Tenant: "a", Share: 1000}, {Tenant: "b", Removed: true}, {Tenant: "c", Share: 1}})
	if overQuota("a", 1) || overQuota("b", 20) {
		t.Error("a tenant whose share was raised or removed is over quota")
	}
	if !overQuota("c", 20) {
		t.Error("a tenant with a new share is never over quota")
	}
	tenants.Change([]ShareChange{{Tenant: "a", Share: 1}})
	if !overQuota("a", 1) {
		t.Error("the request count of a tenant is lost when its share changes")
	}
}
