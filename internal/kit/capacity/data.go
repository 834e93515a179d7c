// Package capacity works out what the target fleet asks of each role from measured figures and stated assumptions: the
// derived tables of docs/CAPACITY.md. The figures are in one file, docs/capacity/measured.toml; nothing is measured here.
//
// There is no clock or goroutine here, and no I/O but reading that file.
package capacity

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"os"
	"slices"

	"github.com/pelletier/go-toml/v2"
	"gonum.org/v1/gonum/stat"
)

// Data is what is measured and assumed. It is not safe for concurrent use.
type Data struct {
	Target      Target       `toml:"target"`
	Start       Start        `toml:"start"`
	Limits      Limits       `toml:"limits"`
	Assumptions []Assumption `toml:"assumption"`
	Series      []Series     `toml:"series"`

	known map[partsKey][]float64 // parts of services that were worked out
}

// Target is the fleet that the system has to carry.
type Target struct {
	Nodes             float64 `toml:"nodes"`
	Backends          float64 `toml:"backends"`
	Services          float64 `toml:"services"`
	RequestsPerSecond float64 `toml:"requests_per_second"` // at the peak
	Routes            float64 `toml:"routes"`
	Tenants           float64 `toml:"tenants"`
	Regions           float64 `toml:"regions"`
	Zones             float64 `toml:"zones"`
	ChangesPerDay     float64 `toml:"changes_per_day"`  // of configuration
	RestartsPerDay    float64 `toml:"restarts_per_day"` // of machines
}

// Start is the fleet at the other end of the line, which is played today.
type Start struct {
	Nodes    float64 `toml:"nodes"`
	Backends float64 `toml:"backends"`
	Services float64 `toml:"services"`
	Routes   float64 `toml:"routes"`
	Tenants  float64 `toml:"tenants"`
}

// Limits are what the target allows.
type Limits struct {
	AddedSeconds    float64 `toml:"added_seconds"`    // to a request, for 99 in 100
	InForceSeconds  float64 `toml:"in_force_seconds"` // for a change, everywhere
	ControlCore     float64 `toml:"control_core"`     // part of a core of a node
	ControlBytes    float64 `toml:"control_bytes"`    // of a node's memory
	ControlPerS     float64 `toml:"control_bytes_per_second"`
	ControlMachines float64 `toml:"control_machines"`
	LockSeconds     float64 `toml:"lock_seconds"`     // for which a change may hold the request path
	ListBytes       float64 `toml:"list_bytes"`       // of a whole list (internal/discovery)
	ExchangeEntries float64 `toml:"exchange_entries"` // of a whole exchange (internal/shared/packet)
	Descriptors     float64 `toml:"descriptors"`      // of a node's process
}

// Assumption is a number that the target leaves open.
type Assumption struct {
	Name    string  `toml:"name"`
	Value   float64 `toml:"value"`
	What    string  `toml:"what"`
	IfTwice string  `toml:"if_twice"`
}

// Series is one quantity, measured in several runs at each of some sizes.
type Series struct {
	Name    string      `toml:"name"`
	What    string      `toml:"what"`
	By      string      `toml:"by"`   // what the sizes count; empty for a single figure
	Unit    string      `toml:"unit"` // seconds, bytes or a count
	Sizes   []float64   `toml:"sizes"`
	Runs    [][]float64 `toml:"runs"` // by size
	Note    string      `toml:"note"` // what is to be known to read the figures
	Command string      `toml:"command"`
	File    string      `toml:"file"`
}

// Load reads and checks a file of figures.
func Load(path string) (*Data, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	data := &Data{}
	err = toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(data)
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		row, _ := strict.Errors[0].Position()
		return nil, fmt.Errorf("%s:%d: %s is no key of this file", path, row, strict.Errors[0].Key())
	}
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if err := data.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return data, nil
}

func (d *Data) check() error {
	seen := map[string]bool{}
	for _, a := range d.Assumptions {
		if a.Name == "" || seen[a.Name] || a.Value <= 0 || a.What == "" || a.IfTwice == "" {
			return fmt.Errorf("assumption %q: it needs a name of its own, a value over 0, what it is and its effect if wrong by two", a.Name)
		}
		seen[a.Name] = true
	}
	for _, s := range d.Series {
		if s.Name == "" || seen[s.Name] || s.Command == "" || s.File == "" || s.Unit == "" {
			return fmt.Errorf("series %q: it needs a name of its own, a unit, a command and a file", s.Name)
		}
		seen[s.Name] = true
		if len(s.Sizes) == 0 || len(s.Sizes) != len(s.Runs) || !slices.IsSorted(s.Sizes) {
			return fmt.Errorf("series %q: sizes have to grow, with runs for each", s.Name)
		}
		for i, runs := range s.Runs {
			if len(runs) < 3 || slices.Min(runs) <= 0 {
				return fmt.Errorf("series %q: %d runs at %v, at least 3 over 0 are needed", s.Name, len(runs), s.Sizes[i])
			}
		}
	}
	return nil
}

// Assumed is the value of an assumption.
func (d *Data) Assumed(name string) float64 {
	for _, a := range d.Assumptions {
		if a.Name == name {
			return a.Value
		}
	}
	panic("no assumption is called " + name)
}

// Measured is a series by its name.
func (d *Data) Measured(name string) *Series {
	for i := range d.Series {
		if d.Series[i].Name == name {
			return &d.Series[i]
		}
	}
	panic("no series is called " + name)
}

// Interval is the median of runs, and the least and the largest of them.
type Interval struct{ Median, Least, Most float64 }

func intervalOf(runs []float64) Interval {
	sorted := slices.Sorted(slices.Values(runs))
	n := len(sorted)
	return Interval{(sorted[(n-1)/2] + sorted[n/2]) / 2, sorted[0], sorted[n-1]}
}

// At is the series at a size that was measured.
func (s *Series) At(size float64) Interval {
	i := slices.Index(s.Sizes, size)
	if i < 0 {
		panic(fmt.Sprintf("series %s was not measured at %v", s.Name, size))
	}
	return intervalOf(s.Runs[i])
}

// Value is the median of a series of one size.
func (s *Series) Value() float64 { return intervalOf(s.Runs[0]).Median }

// Power fits value = c * size^exponent through the medians by least squares of the logarithms. The exponent tells how a
// cost grows: 0 for flat, 1 for linear.
func (s *Series) Power() (c, exponent float64) {
	x, y := make([]float64, len(s.Sizes)), make([]float64, len(s.Sizes))
	for i, size := range s.Sizes {
		x[i], y[i] = math.Log(size), math.Log(intervalOf(s.Runs[i]).Median)
	}
	alpha, beta := stat.LinearRegression(x, y, nil, false)
	return math.Exp(alpha), beta
}

// Estimate is the series at any size: between and beyond what was measured along the straight line, in logarithms, through
// the two nearest sizes. A series of one size is taken as proportional to the size where By is set.
func (s *Series) Estimate(size float64) float64 {
	n := len(s.Sizes)
	if n == 1 {
		if s.By == "" {
			return s.Value()
		}
		return s.Value() / s.Sizes[0] * size
	}
	i := min(max(1, slices.IndexFunc(s.Sizes, func(x float64) bool { return x >= size })), n-1)
	if size > s.Sizes[n-1] {
		i = n - 1
	}
	x0, x1 := s.Sizes[i-1], s.Sizes[i]
	y0, y1 := intervalOf(s.Runs[i-1]).Median, intervalOf(s.Runs[i]).Median
	slope := math.Log(y1/y0) / math.Log(x1/x0)
	return y0 * math.Pow(size/x0, slope)
}

// Reaches is the size at which a growing series comes to a value.
func (s *Series) Reaches(value float64) float64 {
	least, most := 1e-3, 1e12
	for range 200 {
		middle := math.Sqrt(least * most)
		if s.Estimate(middle) < value {
			least = middle
		} else {
			most = middle
		}
	}
	return most
}
