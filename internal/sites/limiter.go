package sites

import "math/rand/v2"

// Limiter applies Directives to single requests: which zones a request may go to, and whether it is admitted. The zero
// value allows everything.
type Limiter struct {
	zones map[string]*zoneLimit
	admit map[string][2]float64
}

type zoneLimit struct {
	Zone
	tokens, refilledAt float64 // sends that are allowed now, as of refilledAt
}

// burstSeconds is the burst that a zone's rate allows, in seconds of that rate.
const burstSeconds = 0.25

// Set replaces the directives. Zones that stay limited keep their tokens.
func (l *Limiter) Set(now float64, zones map[string]Zone, admit map[string][2]float64) {
	previous := l.zones
	l.zones, l.admit = make(map[string]*zoneLimit, len(zones)), admit
	for name, z := range zones {
		l.zones[name] = &zoneLimit{Zone: z, tokens: 1, refilledAt: now}
		if old := previous[name]; old != nil {
			l.zones[name].tokens, l.zones[name].refilledAt = old.tokens, old.refilledAt
		}
	}
}

// Draw returns a request's random draw, which makes Allows decide alike for all of its attempts. No random number is taken
// while no zone is limited.
func (l *Limiter) Draw(rng *rand.Rand) float64 {
	if len(l.zones) == 0 {
		return 0
	}
	return rng.Float64()
}

// Admits reports whether a request is within the admitted fraction of its class.
func (l *Limiter) Admits(class string, overQuota bool, rng *rand.Rand) bool {
	fractions, limited := l.admit[class]
	fraction := fractions[0]
	if overQuota {
		fraction = fractions[1]
	}
	return !limited || fraction >= 1 || rng.Float64() < fraction
}

// Allows reports whether a request with this draw may go to a zone now.
func (l *Limiter) Allows(now float64, zone string, draw float64) bool {
	z := l.zones[zone]
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
func (l *Limiter) CountSend(zone string) {
	if z := l.zones[zone]; z != nil {
		z.tokens--
	}
}
