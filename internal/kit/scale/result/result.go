// Package result is what a scale run measures: figures by mechanism, role and size, kept in one file for each step so that a
// run that is interrupted loses none, and the slopes of the figures against the size of the fleet.
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

// Figure is one thing measured in a step.
type Figure struct {
	Mechanism string  `json:"mechanism"` // such as "control plane", or "mesh, 4 tenants"
	Role      string  `json:"role"`      // whose it is: "node", "relay", "writer", "change", "decision"
	Name      string  `json:"name"`      // what was measured
	Unit      string  `json:"unit"`
	Value     float64 `json:"value"`
	Wall      bool    `json:"wall,omitempty"` // measured by the wall clock of a machine: comparable within one run only
}

// Check is something that had to hold, and whether it did.
type Check struct {
	Name   string `json:"name"`
	Passed bool   `json:"passed"`
	Detail string `json:"detail"`
}

// Step is what was measured at one size.
type Step struct {
	Part    string    `json:"part"` // which part of the run: "mesh", "list", "control", "fault NAME", "processes"
	Plan    string    `json:"plan"` // its digest
	Size    plan.Step `json:"size"`
	Figures []Figure  `json:"figures"`
	Checks  []Check   `json:"checks,omitempty"`
	Notes   []string  `json:"notes,omitempty"` // what is to be known to read the figures
}

// The axes that figures are drawn against.
const (
	ByNodes     = "nodes"
	ByEndpoints = "endpoints"
)

// Axis is what the step's figures are drawn against, and its place there. A step without nodes is about endpoints.
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

// AddWall adds a figure by the wall clock.
func (s *Step) AddWall(mechanism, role, name, unit string, value float64) {
	s.Figures = append(s.Figures, Figure{Mechanism: mechanism, Role: role, Name: name, Unit: unit, Value: value, Wall: true})
}

// Check adds something that had to hold.
func (s *Step) Check(name string, passed bool, format string, args ...any) {
	s.Checks = append(s.Checks, Check{name, passed, fmt.Sprintf(format, args...)})
}

// Passed tells whether all checks of all steps passed.
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

// fileOf is the name of a step's file.
func fileOf(s *Step) string {
	_, size := s.Axis()
	return fmt.Sprintf("step-%s-%06d.json", strings.ReplaceAll(s.Part, " ", "-"), size)
}

// Save writes a step to its file in a directory: the whole of it, or nothing.
func Save(dir string, s *Step) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	text, err := json.MarshalIndent(s, "", " ")
	if err != nil {
		return err
	}
	path := filepath.Join(dir, fileOf(s))
	if err := os.WriteFile(path+".tmp", append(text, '\n'), 0o644); err != nil {
		return err
	}
	return os.Rename(path+".tmp", path)
}

// Read reads the steps that a directory holds, by part and size. A directory that does not exist holds none.
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

// Sort orders steps by part and size.
func Sort(steps []Step) {
	slices.SortStableFunc(steps, func(a, b Step) int {
		_, sizeA := a.Axis()
		_, sizeB := b.Axis()
		return cmp.Or(cmp.Compare(a.Part, b.Part), cmp.Compare(sizeA, sizeB))
	})
}
