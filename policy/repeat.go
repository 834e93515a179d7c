package policy

import "craneglade/internal/identity"

// Repeats of keyed requests that may have run.

// maxSendLagSeconds is how long after its send the connection of an attempt may be open, a stall of this node included.
const maxSendLagSeconds = 0.15

// repeatGroup returns the group that the backend is listed in.
func (s *backend) repeatGroup() identity.Group {
	return identity.Group{Zone: s.Zone, Cell: s.Cell, ZoneUnknown: s.ZoneUnknown, CellUnknown: s.CellUnknown}
}

// mayRepeatAt reports whether a request may go to a backend in view of its attempts that may have run.
func (r *request) mayRepeatAt(now float64, s *backend) bool {
	a, c := r.mayHaveRun, r.class
	if a == nil || c.Effect != Keyed || c.Group == GroupAll {
		return true
	}
	return a.reachedListedProcess(now) && s.reaches(now, now) &&
		s.repeatGroup().Shares(a.repeatGroup, c.Group == GroupZone)
}

// reachedListedProcess reports whether an attempt can have reached no process but the one that it was sent to, as the
// list had it then and has it still.
func (a *attempt) reachedListedProcess(now float64) bool {
	s := a.backend
	return a.repeatGroup == s.repeatGroup() && s.process.Reaches(a.connectedAt) &&
		(a.open || s.reaches(now, a.connectedAt))
}

// reaches reports whether a connection that was open at a time is one to the process that the list names. An attempt
// that is late, with nothing else answered since, shows a process that may have ended meanwhile.
func (s *backend) reaches(now, opened float64) bool {
	for _, a := range s.attempts {
		since := a.sentAt + maxSendLagSeconds
		if a.open && opened > since && now-a.sentAt > a.request.class.hedgeAfter() && s.process.Silent(since) {
			return false
		}
	}
	return s.process.Reaches(opened)
}

// noteEnd records that another process may have the addresses of a removed backend since a time. Only the attempts of
// open requests still refer to it.
func (b *Balancer) noteEnd(id uint32, since float64) {
	for _, r := range b.requests {
		for _, a := range r.attempts {
			if a.backend.ID == id {
				a.backend.process.Ended(since)
			}
		}
	}
}

// noteList records that discovery has answered, with the list that is in force now.
func (b *Balancer) noteList(now float64) {
	for _, s := range b.sorted {
		s.process.ListAnswered(now)
	}
}
