package settings

import (
	"fmt"
	"net"
	"time"

	"github.com/miekg/dns"

	"craneglade/internal/tomlfile"
)

// check sets defaults and returns an error for an invalid setting.
func (d *DNS) check(keys *tomlfile.Keys) error {
	if len(d.Sites) == 0 {
		if keys.Has("dns.servers") || keys.Has("dns.timeout") || keys.Has("dns.hold") || keys.Has("dns.calm") {
			return keys.Problem("dns.site", "missing, and the other keys of dns have no effect without it")
		}
		return nil
	}
	if len(d.Servers) == 0 {
		return keys.Problem("dns.servers", `missing: give one or more, such as ["127.0.0.1:53"]`)
	}
	for i, s := range d.Servers {
		host, port, err := net.SplitHostPort(s)
		if err != nil || net.ParseIP(host) == nil || port == "" || port == "0" {
			return keys.Problem("dns.servers", "%q (number %d) is not an IP address and a port, such as 127.0.0.1:53", s, i+1)
		}
	}
	for _, t := range []struct {
		key                        string
		value                      *tomlfile.Duration
		defaultValue, lower, upper time.Duration
	}{
		{"timeout", &d.Timeout, 500 * time.Millisecond, 10 * time.Millisecond, 10 * time.Second},
		{"hold", &d.SourceTimeout, time.Minute, 30 * time.Second, 24 * time.Hour}, // lists are fetched at least every 20 s
		{"calm", &d.FlapPenalty, 2 * time.Second, 0, time.Minute},
	} {
		if !keys.Has("dns." + t.key) {
			*t.value = tomlfile.Duration(t.defaultValue)
		}
		if v := t.value.D(); v < t.lower || v > t.upper {
			return keys.Problem("dns."+t.key, "%v is outside %v to %v", v, t.lower, t.upper)
		}
	}
	seen := map[string]bool{}
	for i, s := range d.Sites {
		p := fmt.Sprintf("dns.site[%d].", i)
		if _, ok := dns.IsDomainName(s.Name); !ok || s.Name == "" || seen[dns.CanonicalName(s.Name)] {
			return keys.Problem(p+"name", "%q is not a domain name or a duplicate", s.Name)
		}
		seen[dns.CanonicalName(s.Name)] = true
		if s.Zone == "" {
			return keys.Problem(p+"zone", "missing: give the zone of the backends of %s, as in the list", s.Name)
		}
	}
	return nil
}
