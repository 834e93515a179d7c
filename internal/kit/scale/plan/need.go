package plan

// Bytes of heap, rounded up from runs (docs/capacity), that the estimate goes by.
const (
	resourceBytes   = 500 // one resource of a replica, garbage of the collector included
	sharedBytes     = 250 // one resource of a replica that it has in common with others, as all are in one process
	nodeBytes       = 64 << 10
	countBytes      = 400  // one count of one node in a full replica of the mesh
	memberBytes     = 300  // one member in a replica of the mesh
	listedBytes     = 4096 // one endpoint in an engine, with its list
	processBytes    = 60 << 20
	hollowNodeBytes = 1 << 20
	baseBytes       = 256 << 20
)

// MeshReplicas is how many replicas of the mesh a run plays in full, and MeshSources how many others speak for all the
// rest.
const (
	MeshReplicas = 1
	MeshSources  = 4
)

// TenantCount is how many tenants a step plays.
func (p *Plan) TenantCount(s Step) int { return int(float64(s.Tenants) * p.Fleet.TenantPart) }

// Resources is how many resources all logs of a step hold.
func (p *Plan) Resources(s Step) int { return s.Services + s.Endpoints + s.Routes + p.TenantCount(s) }

// EstimatedMemory is how many bytes a step needs about, at its peak.
func (p *Plan) EstimatedMemory(s Step) int64 {
	all := int64(p.Resources(s))
	replicas := int64(p.Fleet.Regions + p.Fleet.Zones*p.Fleet.RelaysPerZone)
	serving := int64(min(p.Fleet.NodesPerService, s.Nodes))
	hierarchy := all*resourceBytes + (replicas+serving)*all*sharedBytes + int64(s.Nodes)*nodeBytes
	mesh := int64(0)
	for _, tenants := range p.Mesh.Tenants {
		if !p.Mesh.Skips(s.Nodes, tenants) {
			mesh = max(mesh, int64(s.Nodes)*(int64(tenants)*countBytes*MeshReplicas+memberBytes*(MeshReplicas+MeshSources)))
		}
	}
	lists := int64(0)
	for _, n := range p.List.Sizes {
		lists = max(lists, int64(n)*listedBytes)
	}
	processes := int64(p.Count()-1)*processBytes + int64(p.Processes.Hosts*p.Processes.NodesPerHost)*hollowNodeBytes
	return baseBytes + max(hierarchy, mesh, lists, processes)
}

// Count is how many processes run at a time, this one included.
func (p *Plan) Count() int {
	if p.Processes.Hosts == 0 {
		return 1
	}
	return 1 + 1 + p.Processes.Hosts + p.Processes.Relays + p.Processes.Daemons // this one and the writer; backends are in this one
}
