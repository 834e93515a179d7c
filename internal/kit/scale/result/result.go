// Package result holds the results of a scale run: figures by mechanism, role and size, saved in one file per step so that
// an interrupted run loses none, and the slopes of the figures over the size of the fleet.
package result

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"craneglade/internal/kit/scale/plan"
)

// Figure is one measured value.
type Figure struct {
	Mechanism string  `json:"mechanism"` // such as "control plane", or "mesh, 4 tenants"
	Role      string  `json:"role"`      // what the value belongs to: "node", "relay", "writer", "change", "decision"
	Name      string  `json:"name"`      // what was measured
	Unit      string  `json:"unit"`
	Value     float64 `json:"value"`
	WallClock bool    `json:"wall,omitempty"` // measured by the wall clock: comparable only within a run on one machine
}

// Check is the outcome of a condition that had to hold.
type Check struct {
	Name   string `json:"name"`
	Passed bool   `json:"passed"`
	Detail string `json:"detail"`
}

// Step holds what was measured at one size.
type Step struct {
	Part    string    `json:"part"` // of the run: "mesh", "list", "control", "fault NAME", "processes"
	Plan    string    `json:"plan"` // digest of the plan
	Size    plan.Step `json:"size"`
	Figures []Figure  `json:"figures"`
	Checks  []Check   `json:"checks,omitempty"`
	Notes   []string  `json:"notes,omitempty"` // needed to interpret the figures
}

// The axes of series.
const (
	ByNodes     = "nodes"
	ByEndpoints = "endpoints"
)

// Axis returns the axis of the step's figures and the step's position on it. Steps without nodes are measured by endpoints.
func (s *Step) Axis() (name string, size int) {
	if s.Size.Nodes == 0 {
		return ByEndpoints, s.Size.Endpoints
	}
	return ByNodes, s.Size.Nodes
}

// Add adds a figure.
func (s *Step) Add(mechanism, role, name, unit string, value float64) {
	s.Figures = append(s.Figures, Figure{Mechanism: mechanism, Role: role, Name: name, Unit: unit, Value: value})
}

// AddWallClock adds a figure that was measured by the wall clock.
func (s *Step) AddWallClock(mechanism, role, name, unit string, value float64) {
	s.Figures = append(s.Figures, Figure{Mechanism: mechanism, Role: role, Name: name, Unit: unit, Value: value, WallClock: true})
}

// Check adds a check.
func (s *Step) Check(name string, passed bool, format string, args ...any) {
	s.Checks = append(s.Checks, Check{name, passed, fmt.Sprintf(format, args...)})
}

// Passed reports whether all checks of all steps passed.
func Passed(steps []Step) bool {
	for _, s := range steps {
		for _, c := range s.Checks {
			if !c.Passed {
				return false
			}
		}
	}
	return true
}

// fileName returns the name of a step's file.
func fileName(s *Step) string {
	_, size := s.Axis()
	return fmt.Sprintf("step-%s-%06d.json", strings.ReplaceAll(s.Part, " ", "-"), size)
}

// Save writes a step to its file in a directory, atomically.
func Save(dir string, s *Step) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	text, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return err
	}
	path := filepath.Join(dir, fileName(s))
	if err := os.WriteFile(path+".tmp", append(text, '\n'), 0o644); err != nil {
		return err
	}
	return os.Rename(path+".tmp", path)
}

// Read reads the steps in a directory, sorted by part and size. A directory that does not exist holds none.
func Read(dir string) ([]Step, error) {
	entries, err := os.ReadDir(dir)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	var out []Step
	for _, e := range entries {
		if ok, _ := filepath.Match("step-*.json", e.Name()); !ok {
			continue
		}
		path := filepath.Join(dir, e.Name())
		text, err := os.ReadFile(path)
		if err != nil {
			return nil, err
		}
		var s Step
		if err := json.Unmarshal(text, &s); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		out = append(out, s)
	}
	Sort(out)
	return out, nil
}

// Sort sorts steps by part and size.
func Sort(steps []Step) {
	slices.SortStableFunc(steps, func(a, b Step) int {
		_, sizeA := a.Axis()
		_, sizeB := b.Axis()
		return cmp.Or(cmp.Compare(a.Part, b.Part), cmp.Compare(sizeA, sizeB))
	})
}
