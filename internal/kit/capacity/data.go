// Package capacity derives what the target fleet needs of each role from measured figures and stated assumptions: the
// derived tables of docs/CAPACITY.md. The figures are read from one file, docs/capacity/measured.toml; nothing is measured
// here.
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

// Data holds the measured figures and the assumptions. It is not safe for concurrent use.
type Data struct {
	Target      Target       `toml:"target"`
	Start       Start        `toml:"start"`
	Limits      Limits       `toml:"limits"`
	Assumptions []Assumption `toml:"assumption"`
	Series      []Series     `toml:"series"`

	sharesCache map[sharesKey][]float64 // results of ServiceShares
}

// Target is the fleet that the system has to support.
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

// Start is the fleet at the start of the line to the target: the present size.
type Start struct {
	Nodes    float64 `toml:"nodes"`
	Backends float64 `toml:"backends"`
	Services float64 `toml:"services"`
	Routes   float64 `toml:"routes"`
	Tenants  float64 `toml:"tenants"`
}

// Limits holds the limits that the target sets.
type Limits struct {
	AddedSeconds          float64 `toml:"added_seconds"`    // to a request, at the 99th percentile
	InForceSeconds        float64 `toml:"in_force_seconds"` // for a change, everywhere
	ControlCore           float64 `toml:"control_core"`     // fraction of a core of a node
	ControlBytes          float64 `toml:"control_bytes"`    // of a node's memory
	ControlBytesPerSecond float64 `toml:"control_bytes_per_second"`
	ControlMachines       float64 `toml:"control_machines"`
	LockSeconds           float64 `toml:"lock_seconds"`     // for which a change may block the request path
	ListBytes             float64 `toml:"list_bytes"`       // of a full list (internal/discovery)
	ExchangeEntries       float64 `toml:"exchange_entries"` // of a full state exchange (internal/shared/packet)
	Descriptors           float64 `toml:"descriptors"`      // of a node's process
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
	Note    string      `toml:"note"` // needed to interpret the figures
	Command string      `toml:"command"`
	File    string      `toml:"file"`
}

// Load reads and validates a file of figures.
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
		return nil, fmt.Errorf("%s:%d: unknown key %s", path, row, strict.Errors[0].Key())
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
			return fmt.Errorf("assumption %q needs a unique name, a positive value, a description and its effect if it is wrong by a factor of two", a.Name)
		}
		seen[a.Name] = true
	}
	for _, s := range d.Series {
		if s.Name == "" || seen[s.Name] || s.Command == "" || s.File == "" || s.Unit == "" {
			return fmt.Errorf("series %q needs a unique name, a unit, a command and a file", s.Name)
		}
		seen[s.Name] = true
		if len(s.Sizes) == 0 || len(s.Sizes) != len(s.Runs) || !slices.IsSorted(s.Sizes) {
			return fmt.Errorf("series %q: sizes must be ascending, with runs for each", s.Name)
		}
		for i, runs := range s.Runs {
			if len(runs) < 3 || slices.Min(runs) <= 0 {
				return fmt.Errorf("series %q: %d runs at %v, need at least 3 with positive values", s.Name, len(runs), s.Sizes[i])
			}
		}
	}
	return nil
}

// Assumed returns the value of an assumption.
func (d *Data) Assumed(name string) float64 {
	for _, a := range d.Assumptions {
		if a.Name == name {
			return a.Value
		}
	}
	panic("unknown assumption " + name)
}

// Measured returns the series of a name.
func (d *Data) Measured(name string) *Series {
	for i := range d.Series {
		if d.Series[i].Name == name {
			return &d.Series[i]
		}
	}
	panic("unknown series " + name)
}

// Interval is the median, minimum and maximum of several runs.
type Interval struct{ Median, Min, Max float64 }

func intervalOf(runs []float64) Interval {
	sorted := slices.Sorted(slices.Values(runs))
	n := len(sorted)
	return Interval{(sorted[(n-1)/2] + sorted[n/2]) / 2, sorted[0], sorted[n-1]}
}

// At returns the interval at a size that was measured.
func (s *Series) At(size float64) Interval {
	i := slices.Index(s.Sizes, size)
	if i < 0 {
		panic(fmt.Sprintf("series %s was not measured at %v", s.Name, size))
	}
	return intervalOf(s.Runs[i])
}

// Value returns the median of a series of one size.
func (s *Series) Value() float64 { return intervalOf(s.Runs[0]).Median }

// Power fits value = c * size^exponent to the medians by least squares of the logarithms. The exponent is the growth of a
// cost: 0 for constant, 1 for linear.
func (s *Series) Power() (c, exponent float64) {
	x, y := make([]float64, len(s.Sizes)), make([]float64, len(s.Sizes))
	for i, size := range s.Sizes {
		x[i], y[i] = math.Log(size), math.Log(intervalOf(s.Runs[i]).Median)
	}
	alpha, beta := stat.LinearRegression(x, y, nil, false)
	return math.Exp(alpha), beta
}

// Estimate returns the value at any size, by interpolation or extrapolation along the straight line, in logarithms, through
// the two nearest sizes. A series of one size is proportional to the size if By is set, and constant otherwise.
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

// SizeReaching returns the size at which a growing series reaches a value.
func (s *Series) SizeReaching(value float64) float64 {
	low, high := 1e-3, 1e12
	for range 200 {
		middle := math.Sqrt(low * high)
		if s.Estimate(middle) < value {
			low = middle
		} else {
			high = middle
		}
	}
	return high
}
