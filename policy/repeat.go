package policy

import "math"

// Repeats of keyed requests that may have run.

// maxSendLagSeconds is how long after its send an attempt may reach its backend, a stall of this process included.
const maxSendLagSeconds = 0.15

// repeatGroup tells which backends drop a repeat of a request: those with the same zone or the same cell, by
// Class.Group. What is not known equals nothing.
type repeatGroup struct {
	zone                     string
	cell                     int64
	zoneUnknown, cellUnknown bool
}

// repeatGroup returns the group that the backend is listed in.
func (s *backend) repeatGroup() repeatGroup {
	return repeatGroup{s.Zone, s.Cell, s.ZoneUnknown, s.CellUnknown}
}

// sharedWith reports whether the backends of both groups drop each other's repeats for a class with a Group.
func (g repeatGroup) sharedWith(o repeatGroup, kind Group) bool {
	if kind == GroupZone {
		return g.zone == o.zone && !g.zoneUnknown && !o.zoneUnknown
	}
	return g.cell == o.cell && !g.cellUnknown && !o.cellUnknown
}

// mayRepeatAt reports whether a request may go to a backend in view of its attempts that may have run.
func (r *request) mayRepeatAt(now float64, s *backend) bool {
	a, c := r.mayHaveRun, r.class
	if a == nil || c.Effect != Keyed || c.Group == GroupAll {
		return true
	}
	return a.reachedListedProcess() && now < s.endedAt && s.repeatGroup().sharedWith(a.repeatGroup, c.Group)
}

// reachedListedProcess reports whether an attempt can have reached no process but the one that it was sent to, as the
// list had it then and has it still.
func (a *attempt) reachedListedProcess() bool {
	return a.sentAt+maxSendLagSeconds < a.backend.endedAt && a.repeatGroup == a.backend.repeatGroup()
}

// noteEnd records that another process may have the addresses of a backend since a time. It may be one that is not
// listed any more, and that only open requests still refer to.
func (b *Balancer) noteEnd(id uint32, endedAt float64) {
	if s := b.backends[id]; s != nil {
		s.endedAt = min(s.endedAt, endedAt)
	}
	for _, r := range b.requests {
		for _, a := range r.attempts {
			if a.backend.ID == id {
				a.backend.endedAt = min(a.backend.endedAt, endedAt)
			}
		}
	}
}

// neverEnded is endedAt of a backend whose process is known to have its addresses.
var neverEnded = math.Inf(1)
