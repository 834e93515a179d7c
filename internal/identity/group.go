package identity

// Group tells which backends drop repeats of what one of them has received: those of its zone, or those of its cell. What is not known equals
// nothing, not even what is not known of another.
type Group struct {
	Zone                     string
	Cell                     int64
	ZoneUnknown, CellUnknown bool
}

// Shares reports whether the backends of both groups drop each other's repeats, where those of a zone do, or else those of a cell.
func (g Group) Shares(o Group, byZone bool) bool {
	if byZone {
		return g.Zone == o.Zone && !g.ZoneUnknown && !o.ZoneUnknown
	}
	return g.Cell == o.Cell && !g.CellUnknown && !o.CellUnknown
}
