package sites

import "math/rand/v2"

// Limiter carry Orders out request by request: which zones a request may go to, and whether it is admitted. The zero value
// lets everything through.
type Limiter struct {
	zones map[string]*gate
	admit map[string][2]float64
}

type gate struct {
	Zone
	left, at float64 // sends that may go there now
}

// burst is how many seconds' worth of its rate a zone may be sent at once.
const burst = 0.25

// Set has the gates follow other orders. What a zone may be sent at once goes on.
func (g *Limiter) Set(now float64, zones map[string]Zone, admit map[string][2]float64) {
	was := g.zones
	g.zones, g.admit = make(map[string]*gate, len(zones)), admit
	for name, z := range zones {
		g.zones[name] = &gate{Zone: z, left: 1, at: now}
		if old := was[name]; old != nil {
			g.zones[name].left, g.zones[name].at = old.left, old.at
		}
	}
}

// Draw is a request's luck, by which Open decides each time alike. Nothing is drawn while no zone is closed or limited.
func (g *Limiter) Draw(rng *rand.Rand) float64 {
	if len(g.zones) == 0 {
		return 0
	}
	return rng.Float64()
}

// Admits tells whether a request is among the part of its class that is admitted.
func (g *Limiter) Admits(class string, over bool, rng *rand.Rand) bool {
	a, told := g.admit[class]
	part := a[0]
	if over {
		part = a[1]
	}
	return !told || part >= 1 || rng.Float64() < part
}

// Allows tells whether a request of some luck may go to a zone now.
func (g *Limiter) Allows(now float64, zone string, luck float64) bool {
	z := g.zones[zone]
	if z == nil {
		return true
	}
	if z.Rate >= 0 {
		z.left = min(1+burst*z.Rate, z.left+z.Rate*(now-z.at))
		z.at = now
	}
	return luck < z.Fraction && (z.Rate < 0 || z.left >= 1)
}

// CountSend counts a send to a zone.
func (g *Limiter) CountSend(zone string) {
	if z := g.zones[zone]; z != nil {
		z.left--
	}
}
