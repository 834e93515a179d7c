package sites

import (
	"fmt"
	"slices"
)

// Case is the result of a plan for one loss.
type Case struct {
	Lost          []string      `json:"lost"` // empty for a normal day
	Carried       float64       `json:"carried"`
	Refused       float64       `json:"refused"` // mean requests a second
	Kinds         []KindRefused `json:"refused_by_kind,omitempty"`
	Sites         []SiteLoad    `json:"sites"`
	MaxLoadFactor float64       `json:"fits_times"` // multiple of the load up to which nothing is refused
}

// KindRefused is the refused fraction of one kind.
type KindRefused struct {
	Class     string  `json:"class"`
	OverQuota bool    `json:"past_share"`
	Fraction  float64 `json:"part"` // of the demand
}

// SiteLoad is the load of one site, in mean requests a second.
type SiteLoad struct {
	Site  string  `json:"site"`
	Own   float64 `json:"own"`
	Moved float64 `json:"moved"`
	Limit float64 `json:"full"` // maximum load
}

// Evaluate computes the plan's result for a normal day, for the loss of each site and, with more than two sites, of each
// pair. The load is the plan's times loadFactor, divided among the kinds of mix by their Share.
func (p *Plan) Evaluate(mix []KindShare, loadFactor float64) ([]Case, error) {
	var kinds []Kind
	var fractions []float64
	total := 0.0
	for _, m := range mix {
		kinds, fractions = append(kinds, m.Kind), append(fractions, m.Share)
		total += m.Share
	}
	if !(total > 0) || !(loadFactor >= 0) {
		return nil, fmt.Errorf("invalid load: the shares of the kinds add up to %v, and the load is %v times the plan's", total, loadFactor)
	}
	demand := make([][]float64, len(p.Sites))
	for i, s := range p.Sites {
		for _, x := range fractions {
			demand[i] = append(demand[i], s.Load*loadFactor*x/total)
		}
	}
	order := p.RefusalOrder(kinds)
	var out []Case
	evaluate := func(lost ...int) {
		available := make([]Availability, len(p.Sites))
		c := Case{}
		for i, s := range p.Sites {
			available[i] = Availability{Fraction: 1}
			if slices.Contains(lost, i) {
				available[i] = Availability{Degraded: true}
				c.Lost = append(c.Lost, s.Name)
			}
		}
		d := p.Divide(available, demand, order)
		c.Carried, c.Refused, c.MaxLoadFactor = sum(d.Own)+sum(d.Moved), sum(d.Refused), p.MaxLoadFactor(available, demand, order)
		for _, k := range order {
			if d.Demand[k] > 0 && d.Refused[k] > 1e-9*d.Demand[k] {
				c.Kinds = append(c.Kinds, KindRefused{kinds[k].Class, kinds[k].OverQuota, d.Refused[k] / d.Demand[k]})
			}
		}
		for i, s := range p.Sites {
			c.Sites = append(c.Sites, SiteLoad{s.Name, d.Own[i], d.Moved[i], d.Limit[i]})
		}
		out = append(out, c)
	}
	evaluate()
	for i := range p.Sites {
		evaluate(i)
	}
	for i := range p.Sites {
		for j := i + 1; j < len(p.Sites) && len(p.Sites) > 2; j++ {
			evaluate(i, j)
		}
	}
	return out, nil
}

// KindShare is a kind with its share of the load.
type KindShare struct {
	Kind
	Share float64
}
