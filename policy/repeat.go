package policy

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
// list had it then and has it still. A connection belongs to the process that had the address when it was opened.
func (a *attempt) reachedListedProcess() bool {
	reachedBy := a.sentAt + maxSendLagSeconds
	if a.connectedAt > 0 {
		reachedBy = a.connectedAt
	}
	return reachedBy < a.backend.endedAt && a.repeatGroup == a.backend.repeatGroup()
}

// noteConnection records what the connection of an ended attempt tells of its backend's process. If it was refused, the
// process has ended, and the list has yet to tell what answers at its address later.
func (a *attempt) noteConnection(ev *Event) {
	a.connectedAt = ev.ConnectedAt.Seconds()
	if ev.RefusedAt > 0 {
		a.backend.endedAt = min(a.backend.endedAt, ev.RefusedAt.Seconds())
	}
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
