package plan

import (
	"path/filepath"
	"strings"
	"testing"
)

const validPlan = `seed = 7
[fleet]
regions = 2
zones = 4
[[step]]
nodes = 12
endpoints = 120
services = 10
routes = 40
tenants = 100
[[step]]
nodes = 60
endpoints = 600
services = 50
routes = 200
tenants = 500
[[fault]]
kind = "stall"
length = "20s"
part = 0.01
heal = "7s"
`

func TestParse(t *testing.T) {
	p, err := Parse("plan.toml", []byte(validPlan))
	if err != nil {
		t.Fatal(err)
	}
	if p.Seed != 7 || len(p.Steps) != 2 || p.Largest().Nodes != 60 || p.Faults[0].Fraction != 0.01 {
		t.Errorf("parsed %+v", p)
	}
	if p.Limits.Memory != MaxMemory || p.Limits.Processes != MaxProcesses {
		t.Errorf("limits without a section: %+v", p.Limits)
	}
}

func TestErrorsNameFileLineAndKey(t *testing.T) {
	for name, c := range map[string]struct{ old, new, want string }{
		"unknown key":          {"zones = 4", "zoens = 4", `plan.toml:4: fleet.zoens: no such key; did you mean zones?`},
		"zones to regions":     {"zones = 4", "zones = 5", `plan.toml:4: fleet.zones: 5 zones can't be dealt out evenly to 2 regions`},
		"sizes go down":        {"nodes = 60", "nodes = 11", `plan.toml:12: step[1].nodes: 11 nodes after 12`},
		"fewer than services":  {"endpoints = 120", "endpoints = 9", `plan.toml:7: step[0].endpoints: 9 is outside 10 to`},
		"unknown fault":        {`kind = "stall"`, `kind = "stalls"`, `plan.toml:18: fault[0].kind: "stalls" is none of`},
		"fault without a part": {"part = 0.01\n", "", `plan.toml:17: fault[0].part: a stall needs it`},
		"fault with too much":  {"part = 0.01", "part = 0.01\ntimes = 3.0", `plan.toml:21: fault[0].times: a stall has none: leave it out`},
		"no unit":              {`length = "20s"`, `length = 20`, `plan.toml:19: fault[0].length: a number without a unit`},
		"memory over the most": {"seed = 7", "seed = 7\n[limits]\nmemory = \"13GiB\"", `plan.toml:3: limits.memory: 13312 MiB is outside`},
		"processes over":       {"seed = 7", "seed = 7\n[limits]\nprocesses = 201", `plan.toml:3: limits.processes: 201 is outside 1 to 200`},
		"needs more memory":    {"tenants = 500", "tenants = 5000000", `plan.toml:12: step[1].nodes: this size needs about`},
		"needs processes":      {"seed = 7", "seed = 7\n[processes]\nhosts = 120\nrelays = 50\ndaemons = 40", `plan.toml:2: processes: the run needs 212 processes, and limits.processes allows 200`},
	} {
		t.Run(name, func(t *testing.T) {
			text := strings.Replace(validPlan, c.old, c.new, 1)
			if text == validPlan {
				t.Fatal("the replacement changes nothing")
			}
			p, err := Parse("plan.toml", []byte(text))
			if err == nil || !strings.HasPrefix(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got %v, want one line with prefix %s", err, c.want)
			}
			if p != nil {
				t.Error("an invalid plan was returned")
			}
		})
	}
}

func TestShippedPlansLoad(t *testing.T) {
	files, err := filepath.Glob("../../../../deploy/scale/*.toml")
	if err != nil || len(files) == 0 {
		t.Fatal("no plans found", err)
	}
	for _, f := range files {
		if _, err := Load(f); err != nil {
			t.Error(err)
		}
	}
}
