package run

import (
	"encoding/json"
	"fmt"

	"craneglade/internal/kit/deployment"
	"craneglade/internal/kit/plan"
	"craneglade/internal/kit/stand"
)

// config returns the contents of a node's configuration file, as DEPLOY describes it.
func config(p *plan.Plan, n *node, known stand.List) ([]byte, error) {
	type m = map[string]any
	s := p.Scenario
	return json.MarshalIndent(m{"name": n.Name, "listen": n.addr, "discovery": n.agentServer.Addr,
		"seed":   fmt.Sprintf("%016x", p.Seed+uint64(n.starts)<<32+uint64(n.index)),
		"limits": m{"cores": s.Nodes.Cores, "memory_mb": s.Nodes.MemoryMB, "sockets": s.Nodes.Sockets},
		"known":  known, "settings": deployment.Settings(p, n.index, n.Site)}, "", " ")
}
