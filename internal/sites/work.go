package sites

import (
	"fmt"
	"slices"
)

// Case is a plan worked through for one loss.
type Case struct {
	Lost          []string      `json:"lost"` // none: a usual day
	Carried       float64       `json:"carried"`
	Refused       float64       `json:"refused"` // mean requests a second
	Kinds         []KindRefused `json:"refused_by_kind,omitempty"`
	Sites         []SiteLoad    `json:"sites"`
	MaxLoadFactor float64       `json:"fits_times"` // at so many times the load nothing has to be refused yet
}

// KindRefused is what is refused of one kind.
type KindRefused struct {
	Class     string  `json:"class"`
	OverQuota bool    `json:"past_share"`
	Fraction  float64 `json:"part"` // of what is asked
}

// SiteLoad is what one site carries.
type SiteLoad struct {
	Site  string  `json:"site"`
	Own   float64 `json:"own"`
	Moved float64 `json:"moved"`
	Limit float64 `json:"full"` // what it may be filled to
}

// Evaluate works the plan through: a usual day, the loss of each site and, where there are more than two, of each pair. The
// load is so many times the plan's, its kinds those of the mix; Share is a kind's part of the load.
func (p *Plan) Evaluate(mix []KindShare, times float64) ([]Case, error) {
	var kinds []Kind
	var shares []float64
	total := 0.0
	for _, m := range mix {
		kinds, shares = append(kinds, m.Kind), append(shares, m.Share)
		total += m.Share
	}
	if !(total > 0) || !(times >= 0) {
		return nil, fmt.Errorf("the kinds' shares of the load add up to %v, and the load is %v times the plan's", total, times)
	}
	asked := make([][]float64, len(p.Sites))
	for i, s := range p.Sites {
		for _, x := range shares {
			asked[i] = append(asked[i], s.Load*times*x/total)
		}
	}
	order := p.RefusalOrder(kinds)
	var out []Case
	work := func(lost ...int) {
		states := make([]Availability, len(p.Sites))
		c := Case{}
		for i, s := range p.Sites {
			states[i] = Availability{Fraction: 1}
			if slices.Contains(lost, i) {
				states[i] = Availability{Degraded: true}
				c.Lost = append(c.Lost, s.Name)
			}
		}
		d := p.Divide(states, asked, order)
		c.Carried, c.Refused, c.MaxLoadFactor = sum(d.Own)+sum(d.Moved), sum(d.Refused), p.MaxLoadFactor(states, asked, order)
		for _, k := range order {
			if d.Asked[k] > 0 && d.Refused[k] > 1e-9*d.Asked[k] {
				c.Kinds = append(c.Kinds, KindRefused{kinds[k].Class, kinds[k].OverQuota, d.Refused[k] / d.Asked[k]})
			}
		}
		for i, s := range p.Sites {
			c.Sites = append(c.Sites, SiteLoad{s.Name, d.Own[i], d.Moved[i], d.Limit[i]})
		}
		out = append(out, c)
	}
	work()
	for i := range p.Sites {
		work(i)
	}
	for i := range p.Sites {
		for j := i + 1; j < len(p.Sites) && len(p.Sites) > 2; j++ {
			work(i, j)
		}
	}
	return out, nil
}

// KindShare is a kind with its part of the load.
type KindShare struct {
	Kind
	Share float64
}
