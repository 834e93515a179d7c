package capacity

import (
	"flag"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const (
	measuredPath = "../../../docs/capacity/measured.toml"
	pagePath     = "../../../docs/CAPACITY.md"
)

var update = flag.Bool("update", false, "write the derived tables into docs/CAPACITY.md")

func load(t testing.TB) *Data {
	t.Helper()
	d, err := Load(measuredPath)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

// Each derived table of the page must be what the figures of docs/capacity/measured.toml give. To update the page: go test
// ./internal/kit/capacity -run TestPageMatchesDerivedTables -update
func TestPageMatchesDerivedTables(t *testing.T) {
	d := load(t)
	text, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	page := string(text)
	for name, table := range d.Tables() {
		begin, end := "<!-- derived: "+name+" -->\n", "<!-- end -->"
		_, after, found := strings.Cut(page, begin)
		old, _, closed := strings.Cut(after, end)
		if !found || !closed {
			t.Errorf("the page has no table %s", name)
			continue
		}
		if old != table && *update {
			page = strings.Replace(page, begin+old, begin+table, 1)
		} else if old != table {
			t.Errorf("table %s of the page differs from the derived one: %s", name, difference(old, table))
		}
	}
	if *update {
		if err := os.WriteFile(pagePath, []byte(page), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

// difference describes the first line in which a table of the page differs from the derived one.
func difference(page, figures string) string {
	old, fresh := strings.Split(page, "\n"), strings.Split(figures, "\n")
	for i := range min(len(old), len(fresh)) {
		if old[i] != fresh[i] {
			return fmt.Sprintf("row %d is\n%s\nwant\n%s", i, old[i], fresh[i])
		}
	}
	return fmt.Sprintf("it has %d rows, want %d", len(old), len(fresh))
}

// The files from which the figures were measured must exist.
func TestSeriesFilesExist(t *testing.T) {
	for _, s := range load(t).Series {
		if _, err := os.Stat(filepath.Join("../../..", s.File)); err != nil {
			t.Errorf("series %s: %v", s.Name, err)
		}
	}
}

func TestServiceSharesSumToOne(t *testing.T) {
	for _, c := range []struct {
		services      int
		skew, largest float64
	}{{1, 0.8, 0.01}, {2, 0.8, 0.01}, {50, 0.8, 0.01}, {9300, 0.8, 0.01}, {9300, 1.2, 0.01}, {9300, 0, 0.5}} {
		sum, last := 0.0, math.Inf(1)
		for _, share := range ServiceShares(c.services, c.skew, c.largest) {
			if share > last+1e-12 {
				t.Errorf("%+v: shares are not in descending order", c)
			}
			sum, last = sum+share, share
		}
		if math.Abs(sum-1) > 1e-9 {
			t.Errorf("%+v: the shares add up to %v", c, sum)
		}
	}
	if shares := ServiceShares(9300, 1.2, 0.01); math.Abs(shares[0]-0.01) > 1e-12 {
		t.Errorf("largest share is %v", shares[0])
	}
}

func TestFleetAtEndsOfLine(t *testing.T) {
	d := load(t)
	if f := d.FleetWithNodes(d.Start.Nodes); f.Backends != d.Start.Backends || f.Services != d.Start.Services {
		t.Errorf("fleet at the start: %+v", f)
	}
	if f := d.FleetWithNodes(d.Target.Nodes); f.Backends != d.Target.Backends || f.Tenants != d.Target.Tenants || f.RequestsPerSecond != d.Target.RequestsPerSecond {
		t.Errorf("fleet at the target: %+v", f)
	}
}

func TestEstimate(t *testing.T) {
	line := &Series{By: "x", Sizes: []float64{10, 100}, Runs: [][]float64{{1, 1, 1}, {10, 12, 8}}}
	for size, want := range map[float64]float64{1: 0.1, 10: 1, 50: 5, 100: 10, 1000: 100} {
		if got := line.Estimate(size); math.Abs(got-want) > 1e-9 {
			t.Errorf("at %v: %v, want %v", size, got, want)
		}
	}
	if got := line.SizeReaching(20); math.Abs(got-200) > 1e-6 {
		t.Errorf("20 reached at %v, want 200", got)
	}
	if _, exponent := line.Power(); math.Abs(exponent-1) > 1e-9 {
		t.Errorf("exponent %v, want 1", exponent)
	}
	proportional := &Series{By: "x", Sizes: []float64{4}, Runs: [][]float64{{8, 8, 8}}}
	if got := proportional.Estimate(10); got != 20 {
		t.Errorf("proportional: %v, want 20", got)
	}
}

// Breaks must be sorted by where they occur, and a value must exceed its limit at its crossing but not clearly before it.
func TestBreaksAreOrdered(t *testing.T) {
	d := load(t)
	all := d.Breaks()
	for i := 1; i < len(all); i++ {
		if breakRank(all[i]) < breakRank(all[i-1]) || breakRank(all[i]) == breakRank(all[i-1]) && (all[i].ExceededAtNodes < all[i-1].ExceededAtNodes || all[i].Fleet.Fraction < all[i-1].Fleet.Fraction) {
			t.Errorf("%q is listed after %q", all[i].Mechanism, all[i-1].Mechanism)
		}
	}
	for _, m := range d.mechanisms() {
		if m.value(d.FleetAt(0)) > m.threshold || m.value(d.FleetAt(1)) <= m.threshold {
			continue
		}
		f := d.limitCrossing(m)
		if m.value(f) < m.threshold*(1-1e-6) || f.Fraction > 1e-4 && m.value(d.FleetAt(f.Fraction*0.98)) > m.threshold*1.05 {
			t.Errorf("%s: %v at %+v, limit %v", m.name, m.value(f), f, m.threshold)
		}
	}
}

func TestInvalidDataErrors(t *testing.T) {
	good, err := os.ReadFile(measuredPath)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ text, want string }{
		{string(good) + "\nnodse = 1\n", "nodse"},
		{"[[assumption]]\nname = \"a\"\nvalue = 0\n", `assumption "a"`},
		{"[[series]]\nname = \"s\"\nunit = \"s\"\ncommand = \"c\"\nfile = \"f\"\nsizes = [1]\nruns = [[1, 2]]\n", "2 runs at 1"},
		{"[[series]]\nname = \"s\"\nunit = \"s\"\ncommand = \"c\"\nfile = \"f\"\nsizes = [2, 1]\nruns = [[1, 2, 3], [1, 2, 3]]\n", "sizes must be ascending"},
		{"[target\n", "toml"},
	} {
		path := filepath.Join(t.TempDir(), "measured.toml")
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := Load(path)
		if err == nil || !strings.Contains(err.Error(), c.want) || !strings.HasPrefix(err.Error(), path) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: got %v, want one line with the file and %s", c.text[max(0, len(c.text)-40):], err, c.want)
		}
	}
}

// Another value of an assumption must change what depends on it, but not the data itself.
func TestSensitivity(t *testing.T) {
	d := load(t)
	before := d.Assumed("nodes_per_service")
	if all := d.sensitivity("nodes_per_service"); len(all) < 3 || !strings.HasPrefix(all[0], "services a node ") {
		t.Errorf("results that depend on nodes_per_service: %q", all)
	}
	if d.Assumed("nodes_per_service") != before {
		t.Error("withAssumption changed the data")
	}
	if doubled := d.withAssumption("nodes_per_service", 2*before); math.Abs(doubled.ShuffleSharded(d.FleetAt(1)).Services/d.ShuffleSharded(d.FleetAt(1)).Services-2) > 0.1 {
		t.Error("doubling the nodes of a service does not double the services of a node")
	}
}

func TestIntervalOfRuns(t *testing.T) {
	for _, c := range []struct {
		runs []float64
		want Interval
	}{{[]float64{3, 1, 2}, Interval{2, 1, 3}}, {[]float64{4, 1, 2, 9}, Interval{3, 1, 9}}} {
		if got := intervalOf(c.runs); got != c.want {
			t.Errorf("%v: %+v, want %+v", c.runs, got, c.want)
		}
	}
}

func TestFormat(t *testing.T) {
	for _, c := range []struct {
		value      float64
		unit, want string
	}{{1234567, "", "1,230,000"}, {999, "", "999"}, {12.345, "", "12.3"}, {0.00123, "", "0.00123"}, {20, "", "20"}, {1000, "", "1,000"},
		{0.0000042, "s", "4.2 us"}, {0.25, "s", "250 ms"}, {7, "s", "7 s"}, {3600, "s", "60 min"}, {36000, "s", "10 h"},
		{8192, "B/s", "8.19 kB/s"}, {2.5e9, "B", "2.5 GB"}, {0, "B", "0 B"}, {3, "cores", "3 cores"}} {
		if got := format(c.value, c.unit); got != c.want {
			t.Errorf("%v %s: %q, want %q", c.value, c.unit, got, c.want)
		}
	}
}
