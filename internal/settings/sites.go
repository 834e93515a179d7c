package settings

import (
	"errors"

	"craneglade/internal/sites"
	"craneglade/internal/tomlfile"
)

// Sites configures what is done when a whole site is lost. Without the table nothing is done.
type Sites struct {
	Watch          bool       `toml:"watch"`  // watch the health state of each site, also without a plan
	MaxUtilization float64    `toml:"full"`   // fraction of its capacity up to which a site is filled
	RefuseFirst    []string   `toml:"refuse"` // classes in the order in which their requests are refused
	Sites          []PlanSite `toml:"site"`

	Plan *sites.Plan `toml:"-"` // nil without sites
}

// PlanSite is a site of the plan.
type PlanSite struct {
	Name            string           `toml:"name"`     // the name of its zone in the list
	Capacity        float64          `toml:"capacity"` // mean requests per second that all of its backends can serve when warm
	Backends        int              `toml:"boxes"`
	Nodes           int              `toml:"nodes"`
	Load            float64          `toml:"load"`    // mean requests per second of its own clients on a normal busy day
	Reserve         float64          `toml:"reserve"` // fraction of capacity that is never used for the load of a lost site
	OverflowTargets []OverflowTarget `toml:"to"`
}

// OverflowTarget is a site that takes a fraction of a lost site's load.
type OverflowTarget struct {
	Site     string  `toml:"site"`
	Fraction float64 `toml:"part"`
	MaxRate  float64 `toml:"most"` // maximum mean requests per second; by default limited only by headroom
}

// On reports whether sites are watched or a plan is set.
func (s *Sites) On() bool { return s.Watch || s.Plan != nil }

// Names returns the names of the sites of the plan.
func (s *Sites) Names() (out []string) {
	for _, x := range s.Sites {
		out = append(out, x.Name)
	}
	return out
}

// check creates the plan and returns an error for an invalid setting.
func (s *Sites) check(keys *tomlfile.Keys) error {
	if !keys.Has("sites.full") {
		s.MaxUtilization = sites.DefaultMaxUtilization
	}
	if len(s.Sites) == 0 {
		for _, k := range []string{"full", "refuse"} {
			if keys.Has("sites." + k) {
				return keys.Problem("sites."+k, "no effect without [[sites.site]]")
			}
		}
		return nil
	}
	if keys.Has("sites.watch") && !s.Watch {
		return keys.Problem("sites.watch", "a plan requires it: omit it, or remove [[sites.site]]")
	}
	p := &sites.Plan{MaxUtilization: s.MaxUtilization, RefuseFirst: s.RefuseFirst}
	for _, x := range s.Sites {
		site := sites.Site{Name: x.Name, Capacity: x.Capacity, Backends: x.Backends, Nodes: x.Nodes, Load: x.Load, Reserve: x.Reserve}
		for _, w := range x.OverflowTargets {
			site.Overflow = append(site.Overflow, sites.OverflowTarget(w))
		}
		p.Sites = append(p.Sites, site)
	}
	if err := p.Validate(); err != nil {
		var wrong *sites.Problem
		if errors.As(err, &wrong) {
			return keys.Problem("sites."+wrong.Key, "%s", wrong.Text)
		}
	}
	s.Watch, s.Plan = true, p
	return nil
}
