package policy

// Repeats of keyed requests that may have run.

// repeatGroup tells which backends drop a repeat of a request: those with the same zone or the same cell, by
// Class.Group.
type repeatGroup struct {
	zone string
	cell int64
}

// repeatGroup returns the group that the backend is listed in.
func (s *backend) repeatGroup() repeatGroup { return repeatGroup{s.Zone, s.Cell} }

// dropsRepeat reports whether the backend drops a repeat of what attempt a sent, if the backends of a group share that.
func (s *backend) dropsRepeat(a *attempt, g Group) bool {
	if g == GroupAll {
		return true
	}
	sentTo := a.repeatGroup
	if sentTo != a.backend.repeatGroup() {
		return false // the list has changed its mind since: where the attempt may have run is not known
	}
	if g == GroupZone {
		return s.Zone == sentTo.zone
	}
	return s.Cell == sentTo.cell
}

// mayRepeatAt reports whether a request may go to a backend in view of its attempts that may have run.
func (r *request) mayRepeatAt(s *backend) bool {
	return r.mayHaveRun == nil || r.class.Effect != Keyed || s.dropsRepeat(r.mayHaveRun, r.class.Group)
}
