// Package deployment derives from a plan the settings object of a node's configuration and the head of a trace. The
// rehearsal and the laboratory share it, so that a plan means the same in both.
package deployment

import (
	"time"

	"craneglade/internal/kit/plan"
	"craneglade/internal/kit/trace"
)

const (
	// AnswerSlack is how long after its client's deadline a final answer still counts.
	AnswerSlack = 20 * time.Millisecond
	// LimitSlack is added to every time limit, for the latency of sockets.
	LimitSlack = 50 * time.Millisecond
)

// Settings returns the settings object of a node, as DEPLOY describes it. ordinal counts from 0; site is the node's own.
func Settings(p *plan.Plan, ordinal int, site string) map[string]any {
	type m = map[string]any
	s := p.Scenario
	effects := map[string]string{"safe": "free", "keyed": "guarded", "unsafe": "single_shot"}
	groups := map[string]string{"all": "all", "site": "zone", "cell": "cell"}
	var classes, tenants []m
	for _, c := range s.Classes {
		g := m{"name": c.Name, "aim_s": c.LatencyTarget.S(), "deadline_s": c.Deadline.S(), "gain": c.Utility, "late_worth": 0.0,
			"effect": effects[c.Effect], "group": groups[c.Group], "streaming": false}
		if c.Effect == "keyed" {
			g["repeat_window_s"] = c.Window.S()
		}
		classes = append(classes, g)
	}
	share := 0.0
	for _, t := range s.Tenants {
		share += t.Share
	}
	for i, t := range s.Tenants {
		tenants = append(tenants, m{"name": t.Name, "share": t.Share / share, "quota_per_s": p.Quota(i)})
	}
	maxWarmUp, minColdFraction := 0.0, 1.0
	for _, k := range s.MachineKinds {
		maxWarmUp, minColdFraction = max(maxWarmUp, k.WarmUp.S()), min(minColdFraction, k.ColdFraction)
	}
	var zones []string
	for _, x := range s.Sites {
		zones = append(zones, x.Name)
	}
	return m{"balancers": s.Nodes.Count, "ordinal": ordinal, "zone": site, "zones": zones, "discovery": s.List.Mode,
		"grades": classes, "projects": tenants, "over_share_worth": s.Traffic.OverQuotaUtility, "weights": "silent", "worth_by": "request",
		"tariffs": m{"cross_zone": s.Prices.CrossSite},
		"clients": m{"marks_retry": false},
		"policy_limits": m{"cancel": true, "conn_idle_s": s.Conn.IdleTimeout.S(), "connect_timeout_s": s.Conn.ConnectTimeout.S(),
			"max_attempts": s.Rules.Attempts, "max_open": 20000, "max_retry_after_s": s.Clients.MaxRetryAfter.S(), "parallel_tries": true,
			"peers": false, "probes": false, "retry_after": true, "streams_per_conn": 1},
		"report": m{"how": "piggyback", "names": []string{"concurrent", "depth"}},
		"invariants": m{"answer_slack_s": AnswerSlack.Seconds(), "cold_s": maxWarmUp, "cold_share": minColdFraction,
			"drain_grace_s": s.Rules.DrainGrace.S(), "fall_s": s.Rules.OverloadDuration.S(), "overload_factor": s.Rules.OverloadFactor,
			"must_ask_in_s": 10.0}}
}

// Head returns the first line of a trace. started is a time in the format of RFC 3339.
func Head(p *plan.Plan, name, started string, nodes []trace.Node) trace.Head {
	s := p.Scenario
	h := trace.Head{Scenario: name, Seed: p.Seed, Length: trace.Microseconds(s.Length.D()), Started: started, Nodes: nodes,
		OverQuotaUtility: s.Traffic.OverQuotaUtility,
		Rules: trace.Rules{AnswerSlack: trace.Microseconds(AnswerSlack), DrainGrace: trace.Microseconds(s.Rules.DrainGrace.D()),
			OverloadFactor: s.Rules.OverloadFactor, OverloadDuration: trace.Microseconds(s.Rules.OverloadDuration.D()), Slack: trace.Microseconds(LimitSlack)}}
	for _, c := range s.Classes {
		k := trace.Class{Name: c.Name, Effect: c.Effect, LatencyTarget: trace.Microseconds(c.LatencyTarget.D()), Utility: c.Utility}
		if c.Effect == "keyed" {
			k.Group, k.Window = c.Group, trace.Microseconds(c.Window.D())
		}
		h.Classes = append(h.Classes, k)
	}
	return h
}
