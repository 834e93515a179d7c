package admission

// connectionBytes is the memory that an open connection needs besides what is reserved for its requests: buffers, and the stacks of
// its goroutines.
const connectionBytes = 16 << 10

// MemoryUse is the memory of this process before it serves anybody, in bytes.
type MemoryUse struct {
	Resident int64 // all of it
	Mapped   int64 // the part of Resident that are pages of files, such as the program's own
}

// MemoryPlan divides a node's memory limit. Sizes are in bytes.
type MemoryPlan struct {
	Runtime     int64 // for the Go runtime: stacks, heap and garbage
	Requests    int64 // for bodies, heads, answers and calls
	Descriptors int   // connections and other descriptors that the rest carries
}

// PlanMemory divides limit bytes for a process that uses own before it serves anybody; own is zero if that is unknown. descriptors is
// the limit on its descriptors, 0 for none.
//
// The limit counts pages of files too. On a large machine requests get three eighths of it. On a small one, connections get at most
// three eighths of what the process leaves at its start, and requests half of the rest, as garbage needs as much.
func PlanMemory(limit int64, own MemoryUse, descriptors int) MemoryPlan {
	free := max(0, limit-own.Resident)
	carried := int(free * 3 / 8 / connectionBytes)
	if descriptors == 0 || carried < descriptors {
		descriptors = carried
	}
	plan := MemoryPlan{Runtime: max(limit/8, min(limit*3/4, limit-own.Mapped-limit/16)), Requests: limit * 3 / 8, Descriptors: descriptors}
	if own.Resident > 0 {
		rest := free - int64(descriptors)*connectionBytes
		plan.Requests = max(limit/16, min(plan.Requests, rest/2))
	}
	return plan
}
