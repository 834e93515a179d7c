package settings

import (
	"errors"

	"craneglade/internal/sites"
	"craneglade/internal/tomlfile"
)

// Sites say what is done when a whole site is lost. Without the table nothing is.
type Sites struct {
	Watch          bool       `toml:"watch"`  // each site's standing is watched, also without a plan
	MaxUtilization float64    `toml:"full"`   // part of its capacity up to which a site is filled
	ShedOrder      []string   `toml:"refuse"` // classes in the order in which they are refused
	Sites          []PlanSite `toml:"site"`

	Plan *sites.Plan `toml:"-"` // nil without a site
}

// PlanSite is one site of the plan.
type PlanSite struct {
	Name            string           `toml:"name"`     // as the list calls its zone
	Capacity        float64          `toml:"capacity"` // mean requests a second that all of its boxes carry when they are warm
	Backends        int              `toml:"boxes"`
	Nodes           int              `toml:"nodes"`
	Load            float64          `toml:"load"`    // mean requests a second of its own clients on a usual busy day
	Reserve         float64          `toml:"reserve"` // part of capacity that is never given to what comes from a lost site
	OverflowTargets []OverflowTarget `toml:"to"`
}

// OverflowTarget is where part of a lost site's load goes.
type OverflowTarget struct {
	Site string  `toml:"site"`
	Part float64 `toml:"part"`
	Most float64 `toml:"most"` // mean requests a second; without it as much as there is room for
}

// On tells whether anything is to be done.
func (s *Sites) On() bool { return s.Watch || s.Plan != nil }

// Names are the sites of the plan.
func (s *Sites) Names() (out []string) {
	for _, x := range s.Sites {
		out = append(out, x.Name)
	}
	return out
}

// check makes the plan and says what is wrong with it.
func (s *Sites) check(keys *tomlfile.Keys) error {
	if !keys.Has("sites.full") {
		s.MaxUtilization = sites.Usual
	}
	if len(s.Sites) == 0 {
		for _, k := range []string{"full", "refuse"} {
			if keys.Has("sites." + k) {
				return keys.Problem("sites."+k, "it does nothing without [[sites.site]]")
			}
		}
		return nil
	}
	if keys.Has("sites.watch") && !s.Watch {
		return keys.Problem("sites.watch", "a plan needs it: leave it out, or take [[sites.site]] away")
	}
	p := &sites.Plan{Full: s.MaxUtilization, Refuse: s.ShedOrder}
	for _, x := range s.Sites {
		site := sites.Site{Name: x.Name, Capacity: x.Capacity, Boxes: x.Backends, Nodes: x.Nodes, Load: x.Load, Reserve: x.Reserve}
		for _, w := range x.OverflowTargets {
			site.To = append(site.To, sites.Way(w))
		}
		p.Sites = append(p.Sites, site)
	}
	if err := p.Check(); err != nil {
		var wrong *sites.Problem
		if errors.As(err, &wrong) {
			return keys.Problem("sites."+wrong.Key, "%s", wrong.Text)
		}
	}
	s.Watch, s.Plan = true, p
	return nil
}
