package sites

import (
	"errors"
	"math"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// threeSites is a plan of three equal sites.
func threeSites() *Plan {
	p := &Plan{MaxUtilization: 0.9}
	for _, name := range []string{"tacoma", "everett", "olympia"} {
		p.Sites = append(p.Sites, Site{Name: name, Capacity: 100, Backends: 8, Nodes: 4, Load: 60})
	}
	return p
}

func TestValidate(t *testing.T) {
	for _, c := range []struct {
		want string // start of the error text; "" for a valid plan
		of   func(p *Plan)
	}{
		{"", func(*Plan) {}},
		{"", func(p *Plan) { p.Sites[0].Overflow = []OverflowTarget{{"everett", 0.7, 0}, {"olympia", 0.3, 20}} }},
		{"site: there are 1", func(p *Plan) { p.Sites = p.Sites[:1] }},
		{"full: 1.2", func(p *Plan) { p.MaxUtilization = 1.2 }},
		{"full: NaN", func(p *Plan) { p.MaxUtilization = math.NaN() }},
		{"refuse: \"a\"", func(p *Plan) { p.RefuseFirst = []string{"a", "a"} }},
		{"site[1].name: \"tacoma\"", func(p *Plan) { p.Sites[1].Name = "tacoma" }},
		{"site[2].capacity", func(p *Plan) { p.Sites[2].Capacity = 0 }},
		{"site[0].boxes", func(p *Plan) { p.Sites[0].Backends = 0 }},
		{"site[0].nodes", func(p *Plan) { p.Sites[0].Nodes = 0 }},
		{"site[0].load", func(p *Plan) { p.Sites[0].Load = -1 }},
		{"site[0].reserve", func(p *Plan) { p.Sites[0].Reserve = 1 }},
		{"site[0].to[0].site: \"seattle\"", func(p *Plan) { p.Sites[0].Overflow = []OverflowTarget{{"seattle", 1, 0}} }},
		{"site[0].to[0].site: a site's load", func(p *Plan) { p.Sites[0].Overflow = []OverflowTarget{{"tacoma", 1, 0}} }},
		{"site[0].to[1].site: \"everett\" is listed twice", func(p *Plan) { p.Sites[0].Overflow = []OverflowTarget{{"everett", 0.5, 0}, {"everett", 0.5, 0}} }},
		{"site[0].to[0].part", func(p *Plan) { p.Sites[0].Overflow = []OverflowTarget{{"everett", 0, 0}} }},
		{"site[0].to[0].most", func(p *Plan) { p.Sites[0].Overflow = []OverflowTarget{{"everett", 1, -3}} }},
		{"site[0].to: the parts add up to 0.800", func(p *Plan) { p.Sites[0].Overflow = []OverflowTarget{{"everett", 0.8, 0}} }},
	} {
		p := threeSites()
		c.of(p)
		err := p.Validate()
		if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.HasPrefix(err.Error(), c.want)) {
			t.Errorf("%v, want %q", err, c.want)
		}
		var wrong *Problem
		if err != nil && (!errors.As(err, &wrong) || strings.Contains(err.Error(), "\n")) {
			t.Errorf("%v is no *Problem of one line", err)
		}
	}
}

// Classes that the plan names are refused first. The rest follows by rising utility per work, which is lower for requests
// over quota.
func TestRefusalOrder(t *testing.T) {
	kinds := []Kind{{"save", false, 10, 1}, {"save", true, 2, 1}, {"quote", false, 2, 0.5}, {"quote", true, 0.4, 0.5}, {"look", false, 9, 3}, {"look", true, 1.8, 3}}
	names := func(order []int) (out []string) {
		for _, i := range order {
			n := kinds[i].Class
			if kinds[i].OverQuota {
				n += "+"
			}
			out = append(out, n)
		}
		return out
	}
	p := threeSites()
	if got := names(p.RefusalOrder(kinds)); !slices.Equal(got, []string{"look+", "quote+", "save+", "look", "quote", "save"}) {
		t.Errorf("by utility: %v", got)
	}
	p.RefuseFirst = []string{"save", "quote"}
	if got := names(p.RefusalOrder(kinds)); !slices.Equal(got, []string{"save+", "save", "quote+", "quote", "look+", "look"}) {
		t.Errorf("by the plan: %v", got)
	}
}

// A lost site's load is divided by the plan's fractions, up to the maximum of each target; the rest goes to the others.
func TestDivideByFractions(t *testing.T) {
	p := threeSites()
	p.Sites[0].Overflow = []OverflowTarget{{"everett", 0.7, 20}, {"olympia", 0.3, 0}}
	demand := [][]float64{{40}, {50}, {50}}
	d := p.Divide([]Availability{{Degraded: true}, {Fraction: 1}, {Fraction: 1}}, demand, []int{0})
	if d.Flows[0][1] != 20 || d.Flows[0][2] != 20 || d.Own[0] != 0 || d.Refused[0] != 0 {
		t.Errorf("moved %v, refused %v", d.Flows[0], d.Refused)
	}
	if d.MaxFlows[0][1] != 20 || d.MaxFlows[0][2] != 40 {
		t.Errorf("at most %v", d.MaxFlows[0])
	}
}

// A reserve stays unused by other sites even while the site's own clients do not need it. Where all targets are full,
// requests of the lost site's clients are refused though those of others are not.
func TestReserveIsNotLent(t *testing.T) {
	p := threeSites()
	p.Sites[1].Reserve, p.Sites[2].Reserve = 0.8, 0.8
	d := p.Divide([]Availability{{Degraded: true}, {Fraction: 1}, {Fraction: 1}}, [][]float64{{60, 0}, {10, 20}, {10, 20}}, []int{0, 1})
	if d.Moved[1] > 10.0001 || d.Moved[2] > 10.0001 {
		t.Errorf("moved %v, with 10 available beside the reserve", d.Moved)
	}
	if a := d.Admitted[0][0]; math.Abs(a-20.0/60) > 1e-6 || d.Admitted[1][0] != 1 {
		t.Errorf("admitted %.3f at the lost site and %.3f elsewhere", a, d.Admitted[1][0])
	}
}

// A returning site carries what it can of its own load.
func TestReturningSiteCarriesItsFraction(t *testing.T) {
	p := threeSites()
	d := p.Divide([]Availability{{Degraded: true, Fraction: 0.25}, {Fraction: 1}, {Fraction: 1}}, [][]float64{{60}, {60}, {60}}, []int{0})
	if math.Abs(d.Own[0]-22.5) > 1e-9 || math.Abs(sum(d.Flows[0])-37.5) > 1e-9 {
		t.Errorf("own %.2f, moved %.2f", d.Own[0], sum(d.Flows[0]))
	}
}

func drawPlan(t *rapid.T) (*Plan, []Availability, [][]float64, []int) {
	n := rapid.IntRange(2, 5).Draw(t, "sites")
	kinds := rapid.IntRange(1, 6).Draw(t, "kinds")
	amount := rapid.Float64Range(0, 200)
	p := &Plan{MaxUtilization: rapid.Float64Range(0.5, 1).Draw(t, "full")}
	var states []Availability
	var demand [][]float64
	for i := range n {
		s := Site{Name: string(rune('a' + i)), Capacity: rapid.Float64Range(1, 300).Draw(t, "capacity"), Backends: 1, Nodes: 1,
			Reserve: rapid.SampledFrom([]float64{0, 0, 0.3, 0.7}).Draw(t, "reserve")}
		if rapid.Bool().Draw(t, "targets") {
			for j := range n {
				if j != i && rapid.Bool().Draw(t, "target") {
					s.Overflow = append(s.Overflow, OverflowTarget{string(rune('a' + j)), 0, rapid.SampledFrom([]float64{0, 0, 15}).Draw(t, "most")})
				}
			}
			for k := range s.Overflow {
				s.Overflow[k].Fraction = 1 / float64(len(s.Overflow))
			}
		}
		p.Sites = append(p.Sites, s)
		fraction := rapid.SampledFrom([]float64{0, 0.2, 0.5, 1, 1}).Draw(t, "fraction")
		states = append(states, Availability{Degraded: fraction < 1, Fraction: fraction})
		var row []float64
		for range kinds {
			row = append(row, amount.Draw(t, "asked"))
		}
		demand = append(demand, row)
	}
	return p, states, demand, rapid.Permutation(indices(kinds)).Draw(t, "order")
}

func indices(n int) (out []int) {
	for i := range n {
		out = append(out, i)
	}
	return out
}

// For any loss and demand, the carried and refused load add up to the demand, no site gets more than its headroom, no target
// more than its maximum, and no kind is refused while a kind before it in the order of refusal is admitted.
func TestDivideInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, states, demand, order := drawPlan(t)
		if err := p.Validate(); err != nil {
			t.Fatal(err)
		}
		d := p.Divide(states, demand, order)
		const eps = 1e-6
		carried, refused, all := sum(d.Own)+sum(d.Moved), sum(d.Refused), sum(d.Demand)
		if math.Abs(carried+refused-all) > eps*(1+all) {
			t.Fatalf("%.4f carried and %.4f refused of %.4f", carried, refused, all)
		}
		for i, s := range p.Sites {
			if d.Moved[i] > d.Headroom[i]+eps {
				t.Fatalf("%s: %.3f moved there, with headroom for %.3f", s.Name, d.Moved[i], d.Headroom[i])
			}
			if d.Moved[i] > 0 && (states[i].Degraded || d.Own[i]+d.Moved[i] > s.Capacity*p.MaxUtilization+eps || s.Reserve*s.Capacity+d.Moved[i] > s.Capacity*p.MaxUtilization+eps) {
				t.Fatalf("%s: %.3f moved to it beside %.3f of its own, a capacity of %.3f and a reserve of %.2f", s.Name, d.Moved[i], d.Own[i], s.Capacity, s.Reserve)
			}
			for to, x := range d.Flows[i] {
				if x > d.MaxFlows[i][to]+eps || x > 0 && len(s.Overflow) > 0 && !slices.ContainsFunc(s.Overflow, func(w OverflowTarget) bool { return w.Site == p.Sites[to].Name }) {
					t.Fatalf("%s to %s: %.3f moved, at most %.3f", s.Name, p.Sites[to].Name, x, d.MaxFlows[i][to])
				}
			}
			for k, a := range order[1:] {
				if first := order[k]; demand[i][a] > 0 && d.Admitted[i][first] > 0 && d.Admitted[i][a] < 1 {
					t.Fatalf("%s: kind %d is admitted to %.3f, and kind %d, which goes after it, to %.3f", s.Name, first, d.Admitted[i][first], a, d.Admitted[i][a])
				}
			}
		}
	})
}

// The load may grow until the remaining sites are full, after no loss, one and several.
func TestMaxLoadFactor(t *testing.T) {
	p := threeSites()
	demand := [][]float64{{30}, {30}, {30}}
	for _, c := range []struct {
		lost []int
		want float64
	}{{nil, 3}, {[]int{0}, 2}, {[]int{0, 1}, 1}, {[]int{0, 1, 2}, 0}} {
		states := []Availability{{Fraction: 1}, {Fraction: 1}, {Fraction: 1}}
		for _, i := range c.lost {
			states[i] = Availability{Degraded: true}
		}
		if got := p.MaxLoadFactor(states, demand, []int{0}); math.Abs(got-c.want) > 0.01 {
			t.Errorf("%v lost: load factor %.3f, want %.3f", c.lost, got, c.want)
		}
	}
	if got := p.MaxLoadFactor([]Availability{{Fraction: 1}, {Fraction: 1}, {Fraction: 1}}, [][]float64{{0}, {0}, {0}}, []int{0}); !math.IsInf(got, 1) {
		t.Errorf("no demand: %.3f", got)
	}
}
