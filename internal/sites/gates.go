package sites

import "math/rand/v2"

// Limiter carry Orders out request by request: which zones a request may go to, and whether it is admitted. The zero value
// lets everything through.
type Limiter struct {
	zones map[string]*zoneLimit
	admit map[string][2]float64
}

type zoneLimit struct {
	Zone
	tokens, refilledAt float64 // sends that may go there now
}

// burstSeconds is how many seconds' worth of its rate a zone may be sent at once.
const burstSeconds = 0.25

// Set has the gates follow other orders. What a zone may be sent at once goes on.
func (g *Limiter) Set(now float64, zones map[string]Zone, admit map[string][2]float64) {
	old := g.zones
	g.zones, g.admit = make(map[string]*zoneLimit, len(zones)), admit
	for name, z := range zones {
		g.zones[name] = &zoneLimit{Zone: z, tokens: 1, refilledAt: now}
		if old := old[name]; old != nil {
			g.zones[name].tokens, g.zones[name].refilledAt = old.tokens, old.refilledAt
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
func (g *Limiter) Admits(class string, overQuota bool, rng *rand.Rand) bool {
	fractions, limited := g.admit[class]
	fraction := fractions[0]
	if overQuota {
		fraction = fractions[1]
	}
	return !limited || fraction >= 1 || rng.Float64() < fraction
}

// Allows tells whether a request of some luck may go to a zone now.
func (g *Limiter) Allows(now float64, zone string, draw float64) bool {
	z := g.zones[zone]
	if z == nil {
		return true
	}
	if z.Rate >= 0 {
		z.tokens = min(1+burstSeconds*z.Rate, z.tokens+z.Rate*(now-z.refilledAt))
		z.refilledAt = now
	}
	return draw < z.Fraction && (z.Rate < 0 || z.tokens >= 1)
}

// CountSend counts a send to a zone.
func (g *Limiter) CountSend(zone string) {
	if z := g.zones[zone]; z != nil {
		z.tokens--
	}
}
