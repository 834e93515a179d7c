package node

import (
	"cmp"
	"fmt"
	"os"

	"craneglade/internal/admission"
	"craneglade/internal/message"
)

// readMemoryUse returns the memory that this process uses now, by /proc/self/statm (proc(5)). An error means that the system has no
// such file.
func readMemoryUse() (admission.MemoryUse, error) {
	text, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return admission.MemoryUse{}, err
	}
	var size, resident, shared int64 // pages
	if _, err := fmt.Sscan(string(text), &size, &resident, &shared); err != nil {
		return admission.MemoryUse{}, fmt.Errorf("/proc/self/statm: %w", err)
	}
	page := int64(os.Getpagesize())
	return admission.MemoryUse{Resident: resident * page, Mapped: shared * page}, nil
}

// planMemory divides the memory limit for a process that uses own already. It returns nil if there is no limit.
func (cfg *Config) planMemory(own admission.MemoryUse) *admission.MemoryPlan {
	if cfg.MemoryMB == 0 {
		return nil
	}
	plan := admission.PlanMemory(int64(cfg.MemoryMB)<<20, own, cfg.Sockets)
	plan.Descriptors = max(minSockets, plan.Descriptors)
	return &plan
}

// descriptors returns how many descriptors the node uses: its limit, or fewer if its memory does not carry as many; 0 for no limit.
func (cfg *Config) descriptors() int {
	if cfg.memory == nil {
		return cfg.Sockets
	}
	return min(cmp.Or(cfg.Sockets, cfg.memory.Descriptors), cfg.memory.Descriptors)
}

// answerSlotsPart is the part of the memory for requests that is kept for answers of unknown length.
const answerSlotsPart = 16

// answerSlots returns for how many answers of unknown length the node keeps memory; 0 without a limit.
func (cfg *Config) answerSlots() int {
	if cfg.memory == nil {
		return 0
	}
	return int(cfg.memory.Requests / answerSlotsPart / message.MaxBodyBytes)
}

// requestBytes returns the memory for bodies, heads, answers and calls, without the slots for answers of unknown length; 0 for no limit.
func (cfg *Config) requestBytes() int64 {
	if cfg.memory == nil {
		return 0
	}
	return cfg.memory.Requests - int64(cfg.answerSlots())*message.MaxBodyBytes
}
