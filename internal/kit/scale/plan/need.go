package plan

// Bytes of heap for the estimate, rounded up from runs (docs/capacity).
const (
	resourceBytes       = 500 // one resource of a replica, including garbage
	sharedResourceBytes = 250 // one resource of a replica that shares memory with others, as all are in one process
	nodeBytes           = 64 << 10
	meshCountBytes      = 400  // one node's count in a full replica of the mesh
	meshMemberBytes     = 300  // one member in a replica of the mesh
	listedEndpointBytes = 4096 // one endpoint in an engine, with its list
	processBytes        = 60 << 20
	hollowNodeBytes     = 1 << 20
	baseBytes           = 256 << 20
)

// MeshReplicas is the number of mesh replicas that a run simulates in full, and MeshSources the number of replicas that
// stand for all the others.
const (
	MeshReplicas = 1
	MeshSources  = 4
)

// TenantCount returns the number of tenants in a step, after TenantFraction.
func (p *Plan) TenantCount(s Step) int { return int(float64(s.Tenants) * p.Fleet.TenantFraction) }

// ResourceCount returns the number of resources in all logs of a step.
func (p *Plan) ResourceCount(s Step) int {
	return s.Services + s.Endpoints + s.Routes + p.TenantCount(s)
}

// EstimatedMemory returns the approximate bytes that a step needs at its peak.
func (p *Plan) EstimatedMemory(s Step) int64 {
	all := int64(p.ResourceCount(s))
	replicas := int64(p.Fleet.Regions + p.Fleet.Zones*p.Fleet.RelaysPerZone)
	serving := int64(min(p.Fleet.NodesPerService, s.Nodes))
	hierarchy := all*resourceBytes + (replicas+serving)*all*sharedResourceBytes + int64(s.Nodes)*nodeBytes
	mesh := int64(0)
	for _, tenants := range p.Mesh.Tenants {
		if !p.Mesh.Skips(s.Nodes, tenants) {
			mesh = max(mesh, int64(s.Nodes)*(int64(tenants)*meshCountBytes*MeshReplicas+meshMemberBytes*(MeshReplicas+MeshSources)))
		}
	}
	lists := int64(0)
	for _, n := range p.List.Sizes {
		lists = max(lists, int64(n)*listedEndpointBytes)
	}
	processes := int64(p.ProcessCount()-1)*processBytes + int64(p.Processes.Hosts*p.Processes.NodesPerHost)*hollowNodeBytes
	return baseBytes + max(hierarchy, mesh, lists, processes)
}

// ProcessCount returns the number of processes that run at the same time, including this one.
func (p *Plan) ProcessCount() int {
	if p.Processes.Hosts == 0 {
		return 1
	}
	return 1 + 1 + p.Processes.Hosts + p.Processes.Relays + p.Processes.Daemons // this one and the writer; backends run in this one
}
