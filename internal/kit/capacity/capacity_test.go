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

// Each derived table of the page is what the figures of docs/capacity/measured.toml give. After a change of these:
// go test ./internal/kit/capacity -run TestThePageFollowsFromTheFigures -update
func TestThePageFollowsFromTheFigures(t *testing.T) {
	d := load(t)
	text, err := os.ReadFile(pagePath)
	if err != nil {
		t.Fatal(err)
	}
	page := string(text)
	for name, table := range d.Tables() {
		begin, end := "<!-- derived: "+name+" -->\n", "<!-- end -->"
		_, rest, found := strings.Cut(page, begin)
		old, _, closed := strings.Cut(rest, end)
		if !found || !closed {
			t.Errorf("the page has no table %s", name)
			continue
		}
		if old != table && *update {
			page = strings.Replace(page, begin+old, begin+table, 1)
		} else if old != table {
			t.Errorf("table %s of the page is not what the figures give: %s", name, difference(old, table))
		}
	}
	if *update {
		if err := os.WriteFile(pagePath, []byte(page), 0o644); err != nil {
			t.Fatal(err)
		}
	}
}

// difference is the first line in which a table of the page differs from the one that the figures give.
func difference(page, figures string) string {
	old, fresh := strings.Split(page, "\n"), strings.Split(figures, "\n")
	for i := range min(len(old), len(fresh)) {
		if old[i] != fresh[i] {
			return fmt.Sprintf("row %d is\n%s\nand they give\n%s", i, old[i], fresh[i])
		}
	}
	return fmt.Sprintf("it has %d rows and not %d", len(old), len(fresh))
}

// The files that figures were measured by are there.
func TestFiguresNameTheirFiles(t *testing.T) {
	for _, s := range load(t).Series {
		if _, err := os.Stat(filepath.Join("../../..", s.File)); err != nil {
			t.Errorf("series %s: %v", s.Name, err)
		}
	}
}

func TestPartsOfServicesAddUp(t *testing.T) {
	for _, c := range []struct {
		services      int
		skew, largest float64
	}{{1, 0.8, 0.01}, {2, 0.8, 0.01}, {50, 0.8, 0.01}, {9300, 0.8, 0.01}, {9300, 1.2, 0.01}, {9300, 0, 0.5}} {
		sum, last := 0.0, math.Inf(1)
		for _, part := range ServiceParts(c.services, c.skew, c.largest) {
			if part > last+1e-12 {
				t.Errorf("%+v: a service is larger than one before it", c)
			}
			sum, last = sum+part, part
		}
		if math.Abs(sum-1) > 1e-9 {
			t.Errorf("%+v: the parts add up to %v", c, sum)
		}
	}
	if parts := ServiceParts(9300, 1.2, 0.01); math.Abs(parts[0]-0.01) > 1e-12 {
		t.Errorf("the largest has %v", parts[0])
	}
}

func TestTheLineGoesFromStartToTarget(t *testing.T) {
	d := load(t)
	if f := d.FleetOf(d.Start.Nodes); f.Backends != d.Start.Backends || f.Services != d.Start.Services {
		t.Errorf("it starts at %+v", f)
	}
	if f := d.FleetOf(d.Target.Nodes); f.Backends != d.Target.Backends || f.Tenants != d.Target.Tenants || f.RequestsPerSecond != d.Target.RequestsPerSecond {
		t.Errorf("it ends at %+v", f)
	}
}

func TestEstimates(t *testing.T) {
	line := &Series{By: "x", Sizes: []float64{10, 100}, Runs: [][]float64{{1, 1, 1}, {10, 12, 8}}}
	for size, want := range map[float64]float64{1: 0.1, 10: 1, 50: 5, 100: 10, 1000: 100} {
		if got := line.Estimate(size); math.Abs(got-want) > 1e-9 {
			t.Errorf("at %v: %v, want %v", size, got, want)
		}
	}
	if got := line.Reaches(20); math.Abs(got-200) > 1e-6 {
		t.Errorf("20 is reached at %v", got)
	}
	if _, exponent := line.Power(); math.Abs(exponent-1) > 1e-9 {
		t.Errorf("it grows with the power %v", exponent)
	}
	each := &Series{By: "x", Sizes: []float64{4}, Runs: [][]float64{{8, 8, 8}}}
	if got := each.Estimate(10); got != 20 {
		t.Errorf("by each: %v", got)
	}
}

// What passes its limit first stands first, and a crossing is where its value passes the limit.
func TestBreaksAreInTheirOrder(t *testing.T) {
	d := load(t)
	all := d.Breaks()
	for i := 1; i < len(all); i++ {
		if rank(all[i]) < rank(all[i-1]) || rank(all[i]) == rank(all[i-1]) && (all[i].Below < all[i-1].Below || all[i].Fleet.Part < all[i-1].Fleet.Part) {
			t.Errorf("%q stands behind %q", all[i].Mechanism, all[i-1].Mechanism)
		}
	}
	for _, m := range d.mechanisms() {
		if m.value(d.Along(0)) > m.limitAt || m.value(d.Along(1)) <= m.limitAt {
			continue
		}
		f := d.crossing(m)
		if m.value(f) < m.limitAt*(1-1e-6) || f.Part > 1e-4 && m.value(d.Along(f.Part*0.98)) > m.limitAt*1.05 {
			t.Errorf("%s: %v at %+v, limit %v", m.name, m.value(f), f, m.limitAt)
		}
	}
}

func TestBadFiguresAreRefused(t *testing.T) {
	good, err := os.ReadFile(measuredPath)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ text, want string }{
		{string(good) + "\nnodse = 1\n", "nodse"},
		{"[[assumption]]\nname = \"a\"\nvalue = 0\n", `assumption "a"`},
		{"[[series]]\nname = \"s\"\nunit = \"s\"\ncommand = \"c\"\nfile = \"f\"\nsizes = [1]\nruns = [[1, 2]]\n", "2 runs at 1"},
		{"[[series]]\nname = \"s\"\nunit = \"s\"\ncommand = \"c\"\nfile = \"f\"\nsizes = [2, 1]\nruns = [[1, 2, 3], [1, 2, 3]]\n", "sizes have to grow"},
		{"[target\n", "toml"},
	} {
		path := filepath.Join(t.TempDir(), "measured.toml")
		if err := os.WriteFile(path, []byte(c.text), 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := Load(path)
		if err == nil || !strings.Contains(err.Error(), c.want) || !strings.HasPrefix(err.Error(), path) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q gives %v, want one line that names the file and %s", c.text[max(0, len(c.text)-40):], err, c.want)
		}
	}
}

// Another value of an assumption changes what follows from it, and not the data itself.
func TestSensitivity(t *testing.T) {
	d := load(t)
	before := d.Assumed("nodes_per_service")
	if all := d.sensitivity("nodes_per_service"); len(all) < 3 || !strings.HasPrefix(all[0], "services a node ") {
		t.Errorf("nodes_per_service moves %q", all)
	}
	if d.Assumed("nodes_per_service") != before {
		t.Error("the data has changed")
	}
	if twice := d.with("nodes_per_service", 2*before); math.Abs(twice.Shuffled(d.Along(1)).Services/d.Shuffled(d.Along(1)).Services-2) > 0.1 {
		t.Error("twice the nodes of each service are not twice the services of each node")
	}
}

func TestIntervalIsTheMedian(t *testing.T) {
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
